//! Applying one record to a snapshot of 14 models and 10 to 10,000 customers.
//!
//! `swap` is what every node does with a change; `plan` is what the node that
//! accepts it does on top: the checks across records and the transaction.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use yuccareel::config_apply::ConfigApply;
use yuccareel::config_change::ConfigChange;
use yuccareel::config_plan::ConfigPlan;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::config_store;
use yuccareel::record_reader::{LocatedRecord, RecordBatch};
use yuccareel::records::RoutingRecord;

const MODELS: usize = 14;

fn model(index: usize) -> String {
    format!(
        "[[record]]\nschema = 2\nkind = \"model\"\nname = \"model-{index}\"\n\
         versions = [{{ name = \"v1\" }}, {{ name = \"v2\" }}]\ndefault_version = \"v1\"\n\
         input_cost_per_1k = 100\noutput_cost_per_1k = 300\nprior_quality = 0.8\n\
         warm_concurrency = 16\n"
    )
}

fn customer(index: usize, weight: u32) -> String {
    let hash = format!("{index:064x}");
    let (first, second) = (index % MODELS, (index + 1) % MODELS);
    format!(
        "[[record]]\nschema = 2\nkind = \"customer\"\nname = \"customer-{index}\"\n\
         token_sha256 = [\"{hash}\"]\nquality_target = 0.9\nweight = {weight}\n\
         allowed = [{{ model = \"model-{first}\" }}, {{ model = \"model-{second}\", versions = [\"v1\"] }}]\n\
         limits = {{ requests_per_s = 50, concurrency = 20, spend_per_day = 1000 }}\n"
    )
}

fn read(text: &str) -> Vec<LocatedRecord> {
    let mut batch = RecordBatch::default();
    batch.read_file("bench.toml", text.as_bytes());
    assert!(batch.findings.is_empty(), "{:?}", batch.findings);
    batch.records
}

fn snapshot(customers: usize) -> ConfigSnapshot {
    let models = (0..MODELS).map(model);
    let text: String = models.chain((0..customers).map(|index| customer(index, 1))).collect();
    ConfigSnapshot::from_records(1, read(&text).into_iter().map(|located| located.record))
}

fn change(record: RoutingRecord) -> ConfigChange {
    ConfigChange {
        sequence: 2,
        apply_id: Arc::from("bench"),
        author: "bench".to_owned(),
        written_at_ms: 0,
        puts: vec![record],
        removals: Vec::new(),
    }
}

fn bench_apply(criterion: &mut Criterion) {
    for customers in [10, 1_000, 10_000] {
        let base = snapshot(customers);
        let put = read(&customer(5, 2)).remove(0);
        let change = change(put.record.clone());
        let id = BenchmarkId::new("swap", customers);
        criterion.bench_with_input(id, &base, |bencher, base| {
            bencher.iter(|| {
                let mut next = base.clone();
                config_store::add_change(&mut next, black_box(change.clone()));
                next
            });
        });
        let apply = ConfigApply {
            apply_id: Arc::from("bench"),
            author: "bench".to_owned(),
            written_at_ms: 0,
            puts: vec![put],
            removals: Vec::new(),
            expected_sequence: None,
        };
        assert!(ConfigPlan::new(&base, 7, &apply).is_ok_and(|plan| plan.is_some()));
        let id = BenchmarkId::new("plan", customers);
        criterion.bench_with_input(id, &base, |bencher, base| {
            bencher.iter(|| ConfigPlan::new(base, 7, black_box(&apply)));
        });
    }
}

criterion_group!(benches, bench_apply);
criterion_main!(benches);

//! Cost of batching bills, and throughput of claims over the key-value stand-in.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use yuccareel::standins::kv::KvStandin;
use yuccareel::{bill_line, claim_record, claim_store, claim_table, open_bills};

/// Bills of one flush at 1,300 nodes and 190,000 requests/s.
const BILLS: u128 = 2_000;
/// Claims in one group commit.
const CLAIMS: u64 = 200;

fn bill(request: u128, customers: u128) -> bill_line::BillLine {
    let step = bill_line::BillStep {
        model: "inspection-large".into(),
        version: "2026-11".into(),
        prompt_tokens: 3_000,
        completion_tokens: 400,
        cost: 5_200,
    };
    let customer = format!("customer-{:04}", request % customers).into();
    bill_line::BillLine { request, customer, steps: [step].into_iter().collect() }
}

fn batch_bills(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("batch_2000_bills");
    group.throughput(Throughput::Elements(BILLS as u64));
    for customers in [10, 1_000] {
        let lines: Vec<_> = (0..BILLS).map(|request| bill(request, customers)).collect();
        group.bench_function(format!("{customers}_customers"), |bencher| {
            bencher.iter(|| {
                let mut open = open_bills::OpenBills::default();
                for line in &lines {
                    open.push(line.clone());
                }
                open.next_batch().map(|batch| black_box(batch.to_bytes()).len())
            });
        });
    }
    group.finish();
}

/// Claims and finishes rounds of calls, each with two group commits.
async fn claim_rounds(rounds: u64) -> Duration {
    let kv = KvStandin::default();
    let store = claim_store::ClaimStore::new("a@1".into(), Arc::new(kv), Arc::new(|| 1_000_000));
    store.set_members(["a@1".into()]);
    store.tick().await.expect("stand-in has no faults");
    let begun = Instant::now();
    for round in 0..rounds {
        let requests: Vec<_> = (0..CLAIMS)
            .map(|place| claim_record::ClaimRequest {
                key: claim_record::claim_key("grower", "/bookings", &format!("{round}-{place}")),
                fingerprint: [1; 32],
                request: u128::from(round * CLAIMS + place),
                serving: "a@1".into(),
            })
            .collect();
        let claims =
            futures::future::join_all(requests.iter().cloned().map(|one| store.claim(one)));
        let (verdicts, flushed) = tokio::join!(claims, store.flush());
        flushed.expect("stand-in has no faults");
        assert!(verdicts.iter().all(|one| matches!(one, claim_table::ClaimVerdict::Run)));
        for request in requests {
            let body = Bytes::from_static(b"{\"booking\":\"8841\",\"state\":\"confirmed\"}");
            let answer = claim_record::ClaimAnswer::new(201, "application/json", body);
            store.finish(request.key, request.request, answer).expect("claim is held");
        }
        store.flush().await.expect("stand-in has no faults");
    }
    begun.elapsed()
}

fn claim_calls(criterion: &mut Criterion) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime starts");
    let mut group = criterion.benchmark_group("claim_and_finish");
    group.throughput(Throughput::Elements(CLAIMS));
    group.sample_size(20);
    group.bench_function("200_calls", |bencher| {
        bencher.iter_custom(|rounds| runtime.block_on(claim_rounds(rounds)));
    });
    group.finish();
}

criterion_group!(benches, batch_bills, claim_calls);
criterion_main!(benches);

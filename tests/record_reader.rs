//! Reading and writing records.

use std::fmt::Write as _;
use std::sync::Arc;

use proptest::prelude::*;
use yuccareel::record_reader::{self, RecordBatch};
use yuccareel::records::cascade::{CascadeRecord, CascadeStep};
use yuccareel::records::customer::{AllowedModel, CustomerLimits, CustomerRecord};
use yuccareel::records::data_centre::{DataCentreRecord, DataCentreState};
use yuccareel::records::model::{ModelRecord, ModelVersion, VersionState};
use yuccareel::records::rollout::RolloutRecord;
use yuccareel::records::service::{ServiceRecord, ServiceRoute};
use yuccareel::records::{RoutingRecord, customer::AllowedModel as Allowed};

mod support;

/// Guards against faults that hide each other or lose their place.
#[test]
fn every_fault_has_its_place() {
    struct Case {
        name: &'static str,
        text: &'static str,
    }
    let cases = [
        Case { name: "syntax", text: "[[record]]\nschema = = 2" },
        Case { name: "no records", text: "title = \"x\"" },
        Case { name: "record is no list", text: "record = 3" },
        Case {
            name: "newer schema",
            text: "[[record]]\nschema = 3\nkind = \"wheel\"\nname = \"a\"",
        },
        Case { name: "schema 0", text: "[[record]]\nschema = 0\nkind = \"cascade\"\nname = \"a\"" },
        Case {
            name: "unknown kind",
            text: "[[record]]\nschema = 2\nkind = \"wheel\"\nname = \"a\"",
        },
        Case { name: "no kind", text: "[[record]]\nschema = 2\nname = \"a\"\nsteps = []" },
        Case {
            name: "model",
            text: "[[record]]\nschema = 2\nkind = \"model\"\nname = \"a/b\"\ndefault_version = 1\n\
                versions = [{ name = \"v1\", state = \"gone\", size = 3 }, 4]\n\
                input_cost_per_1k = -1\noutput_cost_per_1k = 1.5\nprior_quality = nan\n\
                warm_concurrency = 0\nprice = 2",
        },
        Case {
            name: "customer of schema 2 with fields of schema 1",
            text: "[[record]]\nschema = 2\nkind = \"customer\"\nname = \"a\"\nmodels = [\"m\"]\n\
                token_sha256 = [\"secret\"]\nquality_target = 1.1\n\
                limits = { requests_per_s = \"9\", concurrency = 1 }",
        },
        Case {
            name: "customer of schema 1 with fields of schema 2",
            text: "[[record]]\nschema = 1\nkind = \"customer\"\nname = \"a\"\nweight = 2\n\
                token_sha256 = []\nquality_target = 1\nallowed = []\n\
                limits = { requests_per_s = 9, concurrency = 1, spend_per_day = 1979-05-27 }",
        },
        Case {
            name: "service",
            text: "[[record]]\nschema = 2\nkind = \"service\"\nname = \"s\"\npath_prefix = \"/a/../v1\"\n\
                timeout_ms = 0\nroutes = [{ method = \"post\", path = \"x\", repeatable = 0 }]",
        },
        Case {
            name: "step with model and cascade",
            text: "[[record]]\nschema = 2\nkind = \"cascade\"\nname = \"c\"\n\
                steps = [{ model = \"m\", cascade = \"c\" }, {}]",
        },
    ];
    let mut report = String::new();
    for case in &cases {
        let mut batch = RecordBatch::default();
        batch.read_file("f.toml", case.text.as_bytes());
        assert!(batch.records.is_empty(), "{}", case.name);
        writeln!(report, "-- {}", case.name).unwrap();
        for finding in &batch.findings {
            writeln!(report, "{:?} {finding}", finding.fault).unwrap();
        }
    }
    insta::assert_snapshot!(report);
}

/// Guards against a schema 1 record that changes its meaning when it is lifted.
#[test]
fn schema_1_is_lifted() {
    let records = support::read(support::GOOD);
    let (mut service, mut customer) = (None, None);
    for located in records {
        match located.record {
            RoutingRecord::Service(record) => service = Some(record),
            RoutingRecord::Customer(record) => customer = Some(record),
            _ => {}
        }
    }
    let (service, customer) = (service.unwrap(), customer.unwrap());
    for (method, repeatable) in
        [("GET", true), ("PUT", true), ("DELETE", true), ("POST", false), ("PATCH", false)]
    {
        assert_eq!(service.repeatable(method, "/hire/book"), repeatable, "{method}");
    }
    let all = |model: &str| Allowed { model: Arc::from(model), versions: None };
    assert_eq!(customer.allowed, [all("small"), all("large")]);
    assert_eq!(customer.weight, 1);
}

fn name() -> impl Strategy<Value = Arc<str>> {
    "[a-zA-Z0-9][a-zA-Z0-9._:-]{0,11}".prop_map(|text| Arc::from(text.as_str()))
}

fn share() -> impl Strategy<Value = f64> {
    0.0..=1.0
}

fn customer() -> impl Strategy<Value = RoutingRecord> {
    let versions = prop::option::of(prop::collection::vec(name(), 0..3));
    let allowed = (name(), versions).prop_map(|(model, versions)| AllowedModel { model, versions });
    let limits = (0.0..1e6, 1u32..1_000_000, 0u64..=1_000_000_000_000_000).prop_map(
        |(requests_per_s, concurrency, spend_per_day)| CustomerLimits {
            requests_per_s,
            concurrency,
            spend_per_day,
        },
    );
    let hashes = prop::collection::vec("[0-9a-f]{64}", 0..3);
    let allowed = prop::collection::vec(allowed, 0..3);
    (name(), hashes, allowed, share(), prop::option::of(name()), 1u32..=1000, limits).prop_map(
        |(name, token_sha256, allowed, quality_target, cascade, weight, limits)| {
            RoutingRecord::Customer(CustomerRecord {
                name,
                token_sha256,
                allowed,
                quality_target,
                cascade,
                weight,
                limits,
            })
        },
    )
}

fn model() -> impl Strategy<Value = RoutingRecord> {
    let state = prop_oneof![Just(VersionState::Active), Just(VersionState::Withdrawn)];
    let version = (name(), state).prop_map(|(name, state)| ModelVersion { name, state });
    let cost = 0u64..=1_000_000_000;
    let versions = prop::collection::vec(version, 0..4);
    (name(), versions, name(), cost.clone(), cost, share(), 1u32..9, 1u32..99).prop_map(
        |(name, versions, default_version, input, output, prior_quality, cold, warm)| {
            RoutingRecord::Model(ModelRecord {
                name,
                versions,
                default_version,
                input_cost_per_1k: input,
                output_cost_per_1k: output,
                prior_quality,
                cold_concurrency: cold,
                warm_concurrency: warm,
            })
        },
    )
}

fn rollout() -> impl Strategy<Value = RoutingRecord> {
    let stages = prop::collection::vec(share(), 0..4);
    let replicas = prop::collection::vec(name(), 0..4);
    let flags = (any::<bool>(), replicas);
    (name(), name(), name(), name(), stages, 0u64..9, share(), flags).prop_map(
        |(name, model, from, to, stages, number, share, (paused, replicas))| {
            RoutingRecord::Rollout(RolloutRecord {
                name,
                model,
                from,
                to,
                stages,
                stage_dwell_s: number,
                stage_min_requests: number,
                max_error_rise: share,
                max_quality_fall: share,
                paused,
                replicas,
            })
        },
    )
}

fn other() -> impl Strategy<Value = RoutingRecord> {
    let step =
        prop_oneof![name().prop_map(CascadeStep::Model), name().prop_map(CascadeStep::Cascade)];
    let cascade = (name(), prop::collection::vec(step, 0..4))
        .prop_map(|(name, steps)| RoutingRecord::Cascade(CascadeRecord { name, steps }));
    let state = prop_oneof![Just(DataCentreState::Active), Just(DataCentreState::Drained)];
    let distances = prop::collection::btree_map(name(), 0u32..1_000_000, 0..3);
    let data_centre =
        (name(), "[a-z]{1,9}", state, distances).prop_map(|(name, region, state, distance_us)| {
            RoutingRecord::DataCentre(DataCentreRecord { name, region, state, distance_us })
        });
    let route = ("GET|POST|\\*", "(/[a-z]{1,4}){0,2}", any::<bool>())
        .prop_map(|(method, path, repeatable)| ServiceRoute { method, path, repeatable });
    let routes = prop::collection::vec(route, 0..3);
    let service = (name(), "(/[a-z]{1,4}){1,2}", routes, 1u64..=600_000).prop_map(
        |(name, path_prefix, routes, timeout_ms)| {
            RoutingRecord::Service(ServiceRecord { name, path_prefix, routes, timeout_ms })
        },
    );
    prop_oneof![cascade, data_centre, service]
}

fn json_value() -> impl Strategy<Value = serde_json::Value> {
    use serde_json::Value;
    let word = "schema|kind|name|limits|allowed|versions|customer|model|steps|[a-z]{0,3}";
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        (0u64..4).prop_map(Value::from),
        word.prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 8, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            prop::collection::btree_map(word, inner, 0..8)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    /// Guards against a field that is written but not read back, in either format.
    #[test]
    fn written_records_read_back(records in prop::collection::vec(
        prop_oneof![customer(), model(), rollout(), other()], 1..6,
    )) {
        let toml = record_reader::write_toml(&records).unwrap();
        let values: Vec<_> = records.iter().map(record_reader::record_value).collect();
        for (file, text) in [("a.toml", toml), ("a.json", serde_json::to_string(&values).unwrap())] {
            let mut batch = RecordBatch::default();
            batch.read_file(file, text.as_bytes());
            prop_assert_eq!(&batch.findings, &Vec::new());
            let read: Vec<_> = batch.records.into_iter().map(|located| located.record).collect();
            prop_assert_eq!(&read, &records);
        }
    }

    /// Guards against a panic on bytes that no operator meant to write.
    #[test]
    fn arbitrary_bytes_do_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        splice in "[\\[\\]{}=\",.0-9a-z\n -]{0,12}",
        start in 0..support::GOOD.len(),
        length in 0usize..40,
    ) {
        for file in ["a.toml", "a.json"] {
            RecordBatch::default().read_file(file, &bytes);
        }
        let end = (start + length).min(support::GOOD.len());
        let text = [&support::GOOD[..start], &splice, &support::GOOD[end..]].concat();
        RecordBatch::default().read_file("spliced.toml", text.as_bytes());
    }

    /// Guards against a panic on valid documents of an unexpected shape, and against
    /// one that is neither accepted nor reported.
    #[test]
    fn arbitrary_documents_do_not_panic(record in json_value()) {
        let mut batch = RecordBatch::default();
        batch.read_value(&Arc::from("a.json"), 0, &record);
        prop_assert_eq!(batch.records.len() + usize::from(!batch.findings.is_empty()), 1);
    }
}

//! Snapshot, history and limits of the stored configuration.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use yuccareel::config_apply::{ApplyError, ApplyOutcome, ConfigApply, ConfigError};
use yuccareel::config_keys::{self, ValueError};
use yuccareel::config_plan;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::config_store::ConfigStore;
use yuccareel::kv_client;
use yuccareel::kv_store::{KvOperation, KvStore as _, KvTransaction};
use yuccareel::record_reader::LocatedRecord;
use yuccareel::records::RoutingRecord;
use yuccareel::standins::{kv, kv_http, server};

#[path = "support/config.rs"]
mod config;
mod support;

/// Guards against a second operator who overwrites a change that he has not seen, and
/// Guards against a change that is reported as failed although it stands, as done although
/// Guards against a lost answer that is taken for a conflict once another operator
/// Guards against a snapshot whose records are newer than its sequence number.
#[tokio::test(start_paused = true)]
async fn snapshot_belongs_to_one_revision() {
    let (standin, store) = config::stores();
    config::commit(&store, &config::put("zero", "a")).await.unwrap();
    standin.faults.lock().delay_ms = 5;
    let writer = async {
        let mut base: Arc<ConfigSnapshot> = Arc::default();
        for index in 1..=4 {
            let name = format!("{index}");
            store.apply(base.clone(), &config::put(&name, "a"), &|| Ok(())).await.unwrap();
            base = Arc::new(store.load_snapshot().await.unwrap().0);
        }
    };
    let reader = async {
        for _ in 0..20 {
            let (snapshot, _) = store.load_snapshot().await.unwrap();
            let region = &snapshot.data_centres["a"].region;
            let expected = if region == "zero" { 0 } else { region.parse().unwrap() };
            assert_eq!(snapshot.sequence, expected + 1);
        }
    };
    tokio::join!(writer, reader);
}

/// Guards against a history that grows without bound or loses a change that is retained.
#[tokio::test(start_paused = true)]
async fn history_keeps_the_last_thousand() {
    let (standin, store) = config::stores();
    let mut base: Arc<ConfigSnapshot> = Arc::default();
    for index in 0..config_plan::HISTORY_LENGTH + 5 {
        let own = config::put(&format!("r{index}"), "a");
        let ApplyOutcome::Committed(change) = store.apply(base, &own, &|| Ok(())).await.unwrap()
        else {
            panic!("unchanged");
        };
        let records = change.puts.clone();
        base = Arc::new(ConfigSnapshot::from_records(change.sequence, records));
    }
    let entries = standin.table.lock().with_prefix(config_keys::HISTORY_PREFIX);
    assert_eq!(entries.len() as u64, config_plan::HISTORY_LENGTH);
    let changes = store.load_changes(5, 1_005).await.unwrap();
    assert_eq!((changes[0].sequence, changes.len()), (6, 1_000));
    let missing = store.load_changes(4, 1_005).await.unwrap_err();
    assert_eq!(missing, ConfigError::ChangeMissing(5));
    let old = ConfigApply { expected_sequence: Some(2), ..config::put("old", "a") };
    let refused = store.apply(base, &old, &|| Ok(())).await.unwrap_err();
    assert_eq!(refused, ApplyError::ExpectedUnknown { expected: 2, head: 1_005 });
    assert_eq!(store.history(2).await.unwrap()[1]["sequence"], 1_004);
}

/// Data centre with many distances.
fn wide(distances: u32) -> LocatedRecord {
    let mut located = config::data_centre("wide", "r");
    if let RoutingRecord::DataCentre(record) = &mut located.record {
        record.distance_us =
            (0..distances).map(|index| (Arc::from(format!("name{index}")), 1)).collect();
    }
    located
}

/// Guards against changes that the service refuses only after they were split or half written.
#[tokio::test]
async fn limits_are_checked_before_writing() {
    struct Case {
        name: &'static str,
        puts: Vec<LocatedRecord>,
        limit: usize,
    }
    let many = (0..127).map(|index| config::data_centre(&format!("dc{index}"), "r")).collect();
    let cases = [
        Case { name: "operations", puts: many, limit: config_plan::OPERATIONS_MAX },
        Case { name: "value", puts: vec![wide(80_000)], limit: config_plan::VALUE_BYTES_MAX },
        Case {
            name: "change",
            puts: vec![wide(60_000)],
            limit: config_plan::TRANSACTION_BYTES_MAX,
        },
    ];
    let (standin, store) = config::stores();
    for case in cases {
        let error = config::commit(&store, &config::apply(case.name, case.puts)).await.unwrap_err();
        let ApplyError::TooLarge { found, limit, .. } = error else { panic!("{error}") };
        assert!(limit == case.limit && found > limit, "{}: {found} of {limit}", case.name);
    }
    assert_eq!(standin.calls().1, 0);
}

/// Guards against a write that repeats what is already in effect, and against a faulty one.
#[tokio::test]
async fn unchanged_and_faulty_records_write_nothing() {
    let (standin, store) = config::stores();
    let good = support::read(support::GOOD);
    config::commit(&store, &config::apply("good", good.clone())).await.unwrap();
    let again = config::commit(&store, &config::apply("again", good)).await.unwrap();
    assert_eq!(again, ApplyOutcome::Unchanged(1));
    let removal = vec![("model".to_owned(), Arc::from("large"))];
    let faulty = ConfigApply { removals: removal, ..config::apply("faulty", vec![]) };
    let error = config::commit(&store, &faulty).await.unwrap_err();
    assert!(matches!(&error, ApplyError::Findings(findings) if findings.len() == 2), "{error:?}");
    assert_eq!(standin.calls().1, 1);
}

/// Guards against a record of a newer schema that is dropped, misread or overwritten.
#[tokio::test]
async fn newer_schema_does_no_harm() {
    let (standin, store) = config::stores();
    config::commit(&store, &config::put("zero", "a")).await.unwrap();
    let (before, stored) = store.load_snapshot().await.unwrap();
    let value = br#"{"schema":3,"kind":"wheel","name":"w"}"#;
    let change = br#"{"sequence":2,"apply_id":"n","author":"n","written_at_ms":1,
        "puts":[{"schema":3,"kind":"wheel","name":"w"}],"removals":[]}"#;
    let head = br#"{"sequence":2,"apply_id":"n","author":"n","names":[["wheel","w"]]}"#;
    let operation =
        |key: String, value: &'static [u8]| KvOperation::Put(key, Bytes::from_static(value), 0);
    let operations = vec![
        operation(config_keys::record_key("wheel", "w"), value),
        operation(config_keys::HEAD_KEY.to_owned(), head),
        operation(config_keys::history_key(2), change),
    ];
    standin.commit(KvTransaction { compares: vec![], operations }).await.unwrap();
    let is_newer = |error: &ConfigError| {
        matches!(error, ConfigError::Value(ValueError::NewerSchema { schema: 3, .. }))
    };
    assert!(is_newer(&store.load_snapshot().await.unwrap_err()));
    assert!(is_newer(&store.load_changes(1, 2).await.unwrap_err()));
    let refused =
        store.apply(Arc::new(before), &config::put("own", "a"), &|| Ok(())).await.unwrap_err();
    assert!(matches!(&refused, ApplyError::Store(cause) if is_newer(cause)), "{refused}");
    assert_eq!(store.history(9).await.unwrap()[0]["puts"][0]["schema"], 3);
    let mut heads = store.watch_head(stored.revision).await.unwrap();
    let next = tokio::time::timeout(Duration::from_secs(5), heads.next()).await.unwrap();
    assert_eq!(next.unwrap().unwrap().head.sequence, 2);
}

/// Guards against a store restored from an old copy that takes the configuration back.
#[tokio::test]
async fn store_behind_the_node_is_refused() {
    let (standin, store) = config::stores();
    config::commit(&store, &config::put("zero", "a")).await.unwrap();
    let ahead = Arc::new(ConfigSnapshot { sequence: 9, ..ConfigSnapshot::default() });
    let error = store.apply(ahead, &config::put("own", "a"), &|| Ok(())).await.unwrap_err();
    assert_eq!(error, ApplyError::Store(ConfigError::StoreBehind { stored: 1, in_effect: 9 }));
    assert_eq!(standin.calls().1, 1);
}

/// Guards against a key-value gateway that reads revision 0 or the padded keys differently.
#[tokio::test]
async fn changes_pass_through_the_gateway() {
    let (address, _task) = server::serve(kv_http::router(kv::KvStandin::default())).await;
    let client = kv_client::HttpKvStore::new(reqwest::Client::new(), format!("http://{address}"));
    let store = ConfigStore::new(Arc::new(client));
    for (sequence, name) in [(1, "a"), (2, "b"), (3, "a")] {
        let outcome = config::commit(&store, &config::put(&format!("r{sequence}"), name)).await;
        assert_eq!(outcome.unwrap().sequence(), sequence);
    }
    let (snapshot, stored) = store.load_snapshot().await.unwrap();
    assert_eq!((snapshot.sequence, stored.head.sequence), (3, 3));
    assert_eq!(snapshot.data_centres["a"].region, "r3");
    let changes = store.load_changes(1, 3).await.unwrap();
    assert_eq!(changes.iter().map(|change| change.sequence).collect::<Vec<_>>(), [2, 3]);
    assert_eq!(store.history(1).await.unwrap()[0]["apply_id"], "r3");
}

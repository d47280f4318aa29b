//! Commits under races, lost answers and outages of the key-value service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use yuccareel::config_apply::{ApplyError, ApplyOutcome, ConfigApply, ConfigError};
use yuccareel::config_keys::{self, ValueError};
use yuccareel::config_plan;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::config_store::ConfigStore;
use yuccareel::kv_store::{KvOperation, KvStore as _, KvTransaction};
use yuccareel::record_reader::LocatedRecord;
use yuccareel::records::RoutingRecord;
use yuccareel::standins::kv;

mod support;

/// Data centre record with a region that tells two writes apart.
fn data_centre(name: &str, region: &str) -> LocatedRecord {
    let text = format!(
        "[[record]]\nschema = 2\nkind = \"data_centre\"\nname = \"{name}\"\nregion = \"{region}\"\n"
    );
    let mut record = support::read(&text).remove(0);
    record.file = Arc::from("data_centre.toml");
    record
}

fn apply(id: &str, puts: Vec<LocatedRecord>) -> ConfigApply {
    ConfigApply {
        apply_id: Arc::from(id),
        author: format!("author of {id}"),
        written_at_ms: 1,
        puts,
        removals: Vec::new(),
        expected_sequence: None,
    }
}

fn put(id: &str, name: &str) -> ConfigApply {
    apply(id, vec![data_centre(name, id)])
}

fn stores() -> (kv::KvStandin, ConfigStore) {
    let standin = kv::KvStandin::default();
    (standin.clone(), ConfigStore::new(Arc::new(standin)))
}

async fn commit(store: &ConfigStore, apply: &ConfigApply) -> Result<ApplyOutcome, ApplyError> {
    store.apply(Arc::default(), apply).await
}

async fn region(store: &ConfigStore, name: &str) -> Option<String> {
    let (snapshot, _) = store.load_snapshot().await.unwrap();
    snapshot.data_centres.get(name).map(|record| record.region.clone())
}

/// Guards against a second operator who overwrites a change that he has not seen, and
/// against one who is stopped by a change to another record.
#[tokio::test(start_paused = true)]
async fn expected_sequence_decides_between_two_operators() {
    struct Case {
        name: &'static str,
        second: ConfigApply,
        winner: Option<&'static str>,
    }
    let cases = [
        Case { name: "same record", second: put("second", "a"), winner: Some("first") },
        Case { name: "other record", second: put("second", "b"), winner: None },
        Case {
            name: "removal of the same record",
            second: ConfigApply {
                removals: vec![("data_centre".to_owned(), Arc::from("a"))],
                ..apply("second", vec![])
            },
            winner: Some("first"),
        },
    ];
    for case in cases {
        let (_, store) = stores();
        commit(&store, &put("zero", "a")).await.unwrap();
        commit(&store, &put("first", "a")).await.unwrap();
        let second = ConfigApply { expected_sequence: Some(1), ..case.second };
        match (commit(&store, &second).await, case.winner) {
            (Ok(outcome), None) => assert_eq!(outcome.sequence(), 3, "{}", case.name),
            (Err(ApplyError::Conflict(conflict)), Some(winner)) => {
                assert_eq!(&*conflict.apply_id, winner, "{}", case.name);
                assert_eq!(conflict.author, format!("author of {winner}"), "{}", case.name);
                assert_eq!(conflict.sequence, 2, "{}", case.name);
                assert_eq!(region(&store, "a").await.unwrap(), winner, "{}", case.name);
            }
            (outcome, _) => panic!("{}: {outcome:?}", case.name),
        }
    }
}

/// Guards against lost updates and gaps in the sequence when operators collide.
#[tokio::test(start_paused = true)]
async fn concurrent_writers_to_one_record_have_one_winner_per_round() {
    let (standin, store) = stores();
    standin.faults.lock().delay_ms = 5;
    let writers = (0..6).map(|index| {
        let store = store.clone();
        async move { commit(&store, &put(&format!("w{index}"), "a")).await }
    });
    let outcomes = futures::future::join_all(writers).await;
    let committed: Vec<_> = outcomes.iter().filter_map(|outcome| outcome.as_ref().ok()).collect();
    assert_eq!(committed.len(), 1, "{outcomes:?}");
    let ApplyOutcome::Committed(winner) = committed[0] else { panic!("{outcomes:?}") };
    for loser in outcomes.iter().filter_map(|outcome| outcome.as_ref().err()) {
        let ApplyError::Conflict(conflict) = loser else { panic!("{loser}") };
        assert_eq!((conflict.sequence, &conflict.apply_id), (1, &winner.apply_id));
    }
}

/// Guards against unrelated changes that are refused or share a sequence number.
#[tokio::test(start_paused = true)]
async fn concurrent_writers_to_other_records_all_commit() {
    let (standin, store) = stores();
    standin.faults.lock().delay_ms = 5;
    let writers = (0..6).map(|index| {
        let store = store.clone();
        async move { commit(&store, &put(&format!("w{index}"), &format!("dc{index}"))).await }
    });
    let outcomes = futures::future::join_all(writers).await;
    let mut sequences: Vec<_> =
        outcomes.into_iter().map(|outcome| outcome.unwrap().sequence()).collect();
    sequences.sort_unstable();
    assert_eq!(sequences, [1, 2, 3, 4, 5, 6]);
    let (snapshot, stored) = store.load_snapshot().await.unwrap();
    assert_eq!((snapshot.data_centres.len(), snapshot.sequence, stored.head.sequence), (6, 6, 6));
}

/// Guards against a change that is reported as failed although it stands, as done although
/// it does not, or that is written twice.
#[tokio::test(start_paused = true)]
async fn faults_of_the_service_are_told_truly() {
    #[derive(Debug, PartialEq)]
    enum Told {
        Committed,
        NotWritten,
        Unknown,
    }
    struct Case {
        name: &'static str,
        faults: kv::KvFaults,
        told: Told,
        stands: bool,
    }
    let none = kv::KvFaults::default;
    let cases = [
        Case { name: "none", faults: none(), told: Told::Committed, stands: true },
        Case {
            name: "outage",
            faults: kv::KvFaults { outage: true, ..none() },
            told: Told::NotWritten,
            stands: false,
        },
        Case {
            name: "slow but in time",
            faults: kv::KvFaults { delay_ms: 1_500, ..none() },
            told: Told::Committed,
            stands: true,
        },
        Case {
            name: "too slow to read",
            faults: kv::KvFaults { delay_ms: 60_000, ..none() },
            told: Told::NotWritten,
            stands: false,
        },
        Case {
            name: "answer lost",
            faults: kv::KvFaults { lose_answers: 1, ..none() },
            told: Told::Committed,
            stands: true,
        },
        Case {
            name: "write lost",
            faults: kv::KvFaults { lose_writes: 1, ..none() },
            told: Told::Committed,
            stands: true,
        },
        Case {
            name: "write lost, then answer lost",
            faults: kv::KvFaults { lose_writes: 1, lose_answers: 1, ..none() },
            told: Told::Committed,
            stands: true,
        },
        Case {
            name: "all writes lost",
            faults: kv::KvFaults { lose_writes: 9, ..none() },
            told: Told::Unknown,
            stands: false,
        },
    ];
    for case in cases {
        let (standin, store) = stores();
        commit(&store, &put("zero", "z")).await.unwrap();
        *standin.faults.lock() = case.faults;
        let told = match commit(&store, &put("own", "a")).await {
            Ok(outcome) => {
                assert_eq!(outcome.sequence(), 2, "{}", case.name);
                Told::Committed
            }
            Err(ApplyError::Store(_)) => Told::NotWritten,
            Err(ApplyError::OutcomeUnknown { .. }) => Told::Unknown,
            Err(error) => panic!("{}: {error}", case.name),
        };
        *standin.faults.lock() = none();
        assert_eq!(told, case.told, "{}", case.name);
        assert_eq!(region(&store, "a").await.is_some(), case.stands, "{}", case.name);
        let head = store.head().await.unwrap().head.sequence;
        assert_eq!(head, if case.stands { 2 } else { 1 }, "{}", case.name);
    }
}

/// Guards against a lost answer that is taken for a conflict once another operator
/// has moved the head.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_recognised_behind_a_later_change() {
    let (standin, store) = stores();
    commit(&store, &put("zero", "z")).await.unwrap();
    let own = ConfigApply { expected_sequence: Some(1), ..put("own", "a") };
    standin.faults.lock().lose_answers = 1;
    let other = put("other", "b");
    let (own_outcome, other_outcome) = tokio::join!(commit(&store, &own), commit(&store, &other));
    assert_eq!(own_outcome.unwrap().sequence() + other_outcome.unwrap().sequence(), 2 + 3);
    // The same call again finds its own change instead of writing a second one.
    let again = commit(&store, &own).await.unwrap();
    assert!(matches!(again, ApplyOutcome::Committed(change) if change.apply_id == own.apply_id));
    assert_eq!(store.head().await.unwrap().head.sequence, 3);
}

/// Guards against a second write, or a false conflict, when the read-back fails as well.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_recognised_after_a_failed_read_back() {
    let (standin, store) = stores();
    standin.faults.lock().lose_answers = 1;
    let outage = async {
        // The lost answer is noticed after 50 ms; the read-back that follows meets the outage.
        tokio::time::sleep(Duration::from_millis(25)).await;
        standin.faults.lock().outage = true;
        tokio::time::sleep(Duration::from_micros(25_500)).await;
        standin.faults.lock().outage = false;
    };
    let own = put("own", "a");
    let (outcome, ()) = tokio::join!(commit(&store, &own), outage);
    assert_eq!(outcome.unwrap().sequence(), 1);
    assert_eq!(standin.calls().1, 2);
    assert_eq!(store.head().await.unwrap().head.sequence, 1);
}

/// Guards against a snapshot whose records are newer than its sequence number.
#[tokio::test(start_paused = true)]
async fn snapshot_belongs_to_one_revision() {
    let (standin, store) = stores();
    commit(&store, &put("zero", "a")).await.unwrap();
    standin.faults.lock().delay_ms = 5;
    let writer = async {
        let mut base: Arc<ConfigSnapshot> = Arc::default();
        for index in 1..=4 {
            let name = format!("{index}");
            store.apply(base.clone(), &put(&name, "a")).await.unwrap();
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
    let (standin, store) = stores();
    let mut base: Arc<ConfigSnapshot> = Arc::default();
    for index in 0..config_plan::HISTORY_LENGTH + 5 {
        let own = put(&format!("r{index}"), "a");
        let ApplyOutcome::Committed(change) = store.apply(base, &own).await.unwrap() else {
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
    let old = ConfigApply { expected_sequence: Some(2), ..put("old", "a") };
    let refused = store.apply(base, &old).await.unwrap_err();
    assert_eq!(refused, ApplyError::ExpectedUnknown { expected: 2, head: 1_005 });
    assert_eq!(store.history(2).await.unwrap()[1]["sequence"], 1_004);
}

/// Data centre with many distances.
fn wide(distances: u32) -> LocatedRecord {
    let mut located = data_centre("wide", "r");
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
    let many = (0..127).map(|index| data_centre(&format!("dc{index}"), "r")).collect();
    let cases = [
        Case { name: "operations", puts: many, limit: config_plan::OPERATIONS_MAX },
        Case { name: "value", puts: vec![wide(80_000)], limit: config_plan::VALUE_BYTES_MAX },
        Case {
            name: "change",
            puts: vec![wide(60_000)],
            limit: config_plan::TRANSACTION_BYTES_MAX,
        },
    ];
    let (standin, store) = stores();
    for case in cases {
        let error = commit(&store, &apply(case.name, case.puts)).await.unwrap_err();
        let ApplyError::TooLarge { found, limit, .. } = error else { panic!("{error}") };
        assert!(limit == case.limit && found > limit, "{}: {found} of {limit}", case.name);
    }
    assert_eq!(standin.calls().1, 0);
}

/// Guards against a write that repeats what is already in effect, and against a faulty one.
#[tokio::test]
async fn unchanged_and_faulty_records_write_nothing() {
    let (standin, store) = stores();
    let good = support::read(support::GOOD);
    commit(&store, &apply("good", good.clone())).await.unwrap();
    let again = commit(&store, &apply("again", good)).await.unwrap();
    assert_eq!(again, ApplyOutcome::Unchanged(1));
    let removal = vec![("model".to_owned(), Arc::from("large"))];
    let faulty = ConfigApply { removals: removal, ..apply("faulty", vec![]) };
    let error = commit(&store, &faulty).await.unwrap_err();
    assert!(matches!(&error, ApplyError::Findings(findings) if findings.len() == 2), "{error:?}");
    assert_eq!(standin.calls().1, 1);
}

/// Guards against a record of a newer schema that is dropped, misread or overwritten.
#[tokio::test]
async fn newer_schema_does_no_harm() {
    let (standin, store) = stores();
    commit(&store, &put("zero", "a")).await.unwrap();
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
    let refused = store.apply(Arc::new(before), &put("own", "a")).await.unwrap_err();
    assert!(matches!(&refused, ApplyError::Store(cause) if is_newer(cause)), "{refused}");
    assert_eq!(store.history(9).await.unwrap()[0]["puts"][0]["schema"], 3);
    let mut heads = store.watch_head(stored.revision).await.unwrap();
    let next = tokio::time::timeout(Duration::from_secs(5), heads.next()).await.unwrap();
    assert_eq!(next.unwrap().unwrap().head.sequence, 2);
}

/// Guards against a store restored from an old copy that takes the configuration back.
#[tokio::test]
async fn store_behind_the_node_is_refused() {
    let (standin, store) = stores();
    commit(&store, &put("zero", "a")).await.unwrap();
    let ahead = Arc::new(ConfigSnapshot { sequence: 9, ..ConfigSnapshot::default() });
    let error = store.apply(ahead, &put("own", "a")).await.unwrap_err();
    assert_eq!(error, ApplyError::Store(ConfigError::StoreBehind { stored: 1, in_effect: 9 }));
    assert_eq!(standin.calls().1, 1);
}

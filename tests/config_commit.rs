//! Commits under races, lost answers and outages of the key-value service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use yuccareel::config_apply::{ApplyError, ApplyOutcome, ConfigApply};
use yuccareel::config_store::ConfigStore;
use yuccareel::error_body::RequestRefusal;
use yuccareel::refusal_reason::RefusalReason;
use yuccareel::standins::kv;

#[path = "support/config.rs"]
mod config;

async fn region(store: &ConfigStore, name: &str) -> Option<String> {
    let (snapshot, _) = store.load_snapshot().await.unwrap();
    snapshot.data_centres.get(name).map(|record| record.region.clone())
}

/// against one who is stopped by a change to another record.
#[tokio::test(start_paused = true)]
async fn expected_sequence_decides_between_two_operators() {
    struct Case {
        name: &'static str,
        second: ConfigApply,
        winner: Option<&'static str>,
    }
    let cases = [
        Case { name: "same record", second: config::put("second", "a"), winner: Some("first") },
        Case { name: "other record", second: config::put("second", "b"), winner: None },
        Case {
            name: "removal of the same record",
            second: ConfigApply {
                removals: vec![("data_centre".to_owned(), Arc::from("a"))],
                ..config::apply("second", vec![])
            },
            winner: Some("first"),
        },
    ];
    for case in cases {
        let (_, store) = config::stores();
        config::commit(&store, &config::put("zero", "a")).await.unwrap();
        config::commit(&store, &config::put("first", "a")).await.unwrap();
        let second = ConfigApply { expected_sequence: Some(1), ..case.second };
        match (config::commit(&store, &second).await, case.winner) {
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
    let (standin, store) = config::stores();
    standin.faults.lock().delay_ms = 5;
    let writers = (0..6).map(|index| {
        let store = store.clone();
        async move { config::commit(&store, &config::put(&format!("w{index}"), "a")).await }
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
    let (standin, store) = config::stores();
    standin.faults.lock().delay_ms = 5;
    let writers = (0..6).map(|index| {
        let store = store.clone();
        async move {
            config::commit(&store, &config::put(&format!("w{index}"), &format!("dc{index}"))).await
        }
    });
    let outcomes = futures::future::join_all(writers).await;
    let mut sequences: Vec<_> =
        outcomes.into_iter().map(|outcome| outcome.unwrap().sequence()).collect();
    sequences.sort_unstable();
    assert_eq!(sequences, [1, 2, 3, 4, 5, 6]);
    let (snapshot, stored) = store.load_snapshot().await.unwrap();
    assert_eq!((snapshot.data_centres.len(), snapshot.sequence, stored.head.sequence), (6, 6, 6));
}

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
        let (standin, store) = config::stores();
        config::commit(&store, &config::put("zero", "z")).await.unwrap();
        *standin.faults.lock() = case.faults;
        let told = match config::commit(&store, &config::put("own", "a")).await {
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

/// has moved the head.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_recognised_behind_a_later_change() {
    let (standin, store) = config::stores();
    config::commit(&store, &config::put("zero", "z")).await.unwrap();
    let own = ConfigApply { expected_sequence: Some(1), ..config::put("own", "a") };
    standin.faults.lock().lose_answers = 1;
    let other = config::put("other", "b");
    let (own_outcome, other_outcome) =
        tokio::join!(config::commit(&store, &own), config::commit(&store, &other));
    assert_eq!(own_outcome.unwrap().sequence() + other_outcome.unwrap().sequence(), 2 + 3);
    // The same call again finds its own change instead of writing a second one.
    let again = config::commit(&store, &own).await.unwrap();
    assert!(matches!(again, ApplyOutcome::Committed(change) if change.apply_id == own.apply_id));
    assert_eq!(store.head().await.unwrap().head.sequence, 3);
}

/// Guards against a second write, or a false conflict, when the read-back fails as well.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_recognised_after_a_failed_read_back() {
    let (standin, store) = config::stores();
    standin.faults.lock().lose_answers = 1;
    let outage = async {
        // The lost answer is noticed after 50 ms; the read-back that follows meets the outage.
        tokio::time::sleep(Duration::from_millis(25)).await;
        standin.faults.lock().outage = true;
        tokio::time::sleep(Duration::from_micros(25_500)).await;
        standin.faults.lock().outage = false;
    };
    let own = config::put("own", "a");
    let (outcome, ()) = tokio::join!(config::commit(&store, &own), outage);
    assert_eq!(outcome.unwrap().sequence(), 1);
    assert_eq!(standin.calls().1, 2);
    assert_eq!(store.head().await.unwrap().head.sequence, 1);
}

/// Guards against a commit by a node that lost its right after it took the call.
#[tokio::test(start_paused = true)]
async fn gate_is_asked_before_every_transaction() {
    struct Case {
        name: &'static str,
        open: u32,
        lose_writes: u32,
        unknown: bool,
        writes: u64,
    }
    let cases = [
        Case { name: "closed", open: 0, lose_writes: 0, unknown: false, writes: 0 },
        Case {
            name: "closed after a lost write",
            open: 1,
            lose_writes: 9,
            unknown: true,
            writes: 1,
        },
    ];
    for case in cases {
        let (standin, store) = config::stores();
        standin.faults.lock().lose_writes = case.lose_writes;
        let asked = AtomicU32::new(0);
        let gate = || match asked.fetch_add(1, Ordering::Relaxed) < case.open {
            true => Ok(()),
            false => Err(RequestRefusal::not_run(RefusalReason::Isolated, "no confirmation")),
        };
        let error = store.apply(Arc::default(), &config::put("own", "a"), &gate).await.unwrap_err();
        let unknown = matches!(error, ApplyError::OutcomeUnknown { .. });
        assert!(unknown || matches!(error, ApplyError::Refused(_)), "{}: {error}", case.name);
        assert_eq!(unknown, case.unknown, "{}: {error}", case.name);
        assert_eq!(standin.calls().1, case.writes, "{}", case.name);
    }
}

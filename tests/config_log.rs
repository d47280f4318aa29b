//! Merge of changes and snapshots: never backwards, whatever arrives.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use yuccareel::config_change::ConfigChange;
use yuccareel::config_log::{ApplyOutcome, ConfigLog, KEPT_CHANGES};
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::peer_message::FetchedConfig;
use yuccareel::records::RoutingRecord;
use yuccareel::records::data_centre::{DataCentreRecord, DataCentreState};

fn record(name: &str, drained: bool) -> RoutingRecord {
    RoutingRecord::DataCentre(DataCentreRecord {
        name: name.into(),
        region: "midlands".to_owned(),
        state: if drained { DataCentreState::Drained } else { DataCentreState::Active },
        distance_us: BTreeMap::new(),
    })
}

/// Change that toggles the drain of one of three records or removes one.
fn change(sequence: u64) -> Arc<ConfigChange> {
    let name = format!("dc-{}", sequence % 3);
    let removed = sequence.is_multiple_of(5);
    Arc::new(ConfigChange {
        sequence,
        apply_id: format!("apply-{sequence}").into(),
        author: "tester".to_owned(),
        written_at_ms: 0,
        puts: if removed { vec![] } else { vec![record(&name, sequence.is_multiple_of(2))] },
        removals: if removed { vec![("data_centre".to_owned(), name.into())] } else { vec![] },
    })
}

fn log_of(length: u64) -> ConfigLog {
    let mut log = ConfigLog::default();
    for sequence in 1..=length {
        assert_eq!(log.apply(change(sequence)), ApplyOutcome::Applied);
    }
    log
}

fn snapshot_of(length: u64) -> ConfigSnapshot {
    (**log_of(length).snapshot()).clone()
}

/// Guards against changes that are applied twice, out of order or over a newer snapshot.
#[test]
fn only_the_next_change_is_applied() {
    type Apply = fn(&mut ConfigLog) -> ApplyOutcome;
    struct Case {
        name: &'static str,
        outcome: ApplyOutcome,
        apply: Apply,
        sequence: u64,
    }
    use ApplyOutcome::{Applied, Gap, Known};
    let case = |name, outcome, apply: Apply, sequence| Case { name, outcome, apply, sequence };
    let cases = [
        case("next", Applied, |log| log.apply(change(5)), 5),
        case("same", Known, |log| log.apply(change(4)), 4),
        case("older", Known, |log| log.apply(change(1)), 4),
        case("gap", Gap, |log| log.apply(change(6)), 4),
        case("newer snapshot", Applied, |log| log.apply_snapshot(snapshot_of(9)), 9),
        case("same snapshot", Known, |log| log.apply_snapshot(snapshot_of(4)), 4),
        case("older snapshot", Known, |log| log.apply_snapshot(snapshot_of(2)), 4),
        case("empty snapshot", Known, |log| log.apply_snapshot(ConfigSnapshot::default()), 4),
    ];
    for case in cases {
        let mut log = log_of(4);
        assert_eq!((case.apply)(&mut log), case.outcome, "{}", case.name);
        assert_eq!(log.sequence(), case.sequence, "{}", case.name);
        assert_eq!(log.snapshot().records(), snapshot_of(case.sequence).records(), "{}", case.name);
    }
}

/// Guards against a snapshot that changes while a decision holds it.
#[test]
fn held_snapshot_is_unchanged() {
    let mut log = log_of(1);
    let held = Arc::clone(log.snapshot());
    log.apply(change(2));
    assert_eq!((held.sequence, held.records()), (1, snapshot_of(1).records()));
}

/// Guards against answers with a gap once older changes are no longer kept.
#[test]
fn peers_behind_get_changes_or_snapshot() {
    let kept = KEPT_CHANGES as u64;
    let log = log_of(kept + 10);
    struct Case {
        after: u64,
        changes: Option<u64>,
    }
    let cases = [
        Case { after: kept + 11, changes: Some(0) },
        Case { after: kept + 10, changes: Some(0) },
        Case { after: kept + 9, changes: Some(1) },
        Case { after: 10, changes: Some(kept) },
        Case { after: 9, changes: None },
        Case { after: 0, changes: None },
    ];
    for case in cases {
        let answer = log.changes_after(case.after);
        let changes = match &answer {
            FetchedConfig::Nothing => Some(0),
            FetchedConfig::Changes(changes) => {
                assert_eq!(changes[0].sequence, case.after + 1);
                Some(changes.len() as u64)
            }
            FetchedConfig::Snapshot { .. } => None,
        };
        assert_eq!(changes, case.changes, "after {}", case.after);
    }
    let mut behind = ConfigLog::default();
    assert_eq!(behind.apply_fetched(log.changes_after(0)), ApplyOutcome::Applied);
    assert_eq!(behind.snapshot().records(), log.snapshot().records());
    assert!(matches!(behind.changes_after(5), FetchedConfig::Snapshot { .. }), "history unknown");
    let mut jumped = log_of(4);
    jumped.apply_snapshot(snapshot_of(9));
    assert!(matches!(jumped.changes_after(8), FetchedConfig::Snapshot { .. }), "history of 1 to 4");
}

proptest! {
    /// Guards against any order, repetition or loss that reverts or corrupts the configuration.
    #[test]
    fn any_delivery_ends_in_the_same_configuration(
        deliveries in prop::collection::vec((1..=12_u64, any::<bool>()), 0..60),
    ) {
        let full = log_of(12);
        let mut log = ConfigLog::default();
        for (sequence, as_snapshot) in deliveries {
            let before = log.sequence();
            if as_snapshot && sequence % 4 == 0 {
                log.apply_snapshot(snapshot_of(sequence));
            } else {
                log.apply(change(sequence));
            }
            prop_assert!(log.sequence() >= before, "reverted");
            prop_assert_eq!(log.snapshot().records(), snapshot_of(log.sequence()).records());
        }
        log.apply_fetched(full.changes_after(log.sequence()));
        prop_assert_eq!(log.sequence(), 12);
        prop_assert_eq!(log.snapshot().records(), full.snapshot().records());
    }
}

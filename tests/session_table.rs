//! Session pins, their acceptance by pin owners, and the version of a session.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::records::{RoutingRecord, customer, model};
use yuccareel::session_table::{
    PIN_IDLE_TIMEOUT, RepinReason, SessionModel, SessionPin, SessionTable,
};

fn key(session: &str) -> SessionModel {
    SessionModel { customer: Arc::from("c"), session: Arc::from(session), model: Arc::from("m") }
}

fn pin(version: &str, moves: u32) -> SessionPin {
    SessionPin { version: Arc::from(version), moves }
}

fn customer(versions: Option<&[&str]>) -> customer::CustomerRecord {
    let versions = versions.map(|names| names.iter().map(|&name| Arc::from(name)).collect());
    customer::CustomerRecord {
        name: Arc::from("c"),
        token_sha256: Vec::new(),
        allowed: vec![customer::AllowedModel { model: Arc::from("m"), versions }],
        quality_target: 0.9,
        cascade: None,
        weight: 1,
        limits: customer::CustomerLimits { requests_per_s: 1.0, concurrency: 1, spend_per_day: 1 },
    }
}

/// Model with versions 1 to 3, some of them withdrawn. Version 1 is the default.
fn snapshot(withdrawn: &[&str]) -> ConfigSnapshot {
    let version = |name: &str| model::ModelVersion {
        name: Arc::from(name),
        state: if withdrawn.contains(&name) {
            model::VersionState::Withdrawn
        } else {
            model::VersionState::Active
        },
    };
    let model = model::ModelRecord {
        name: Arc::from("m"),
        versions: ["1", "2", "3"].map(version).to_vec(),
        default_version: Arc::from("1"),
        input_cost_per_1k: 1,
        output_cost_per_1k: 1,
        prior_quality: 0.9,
        cold_concurrency: 2,
        warm_concurrency: 8,
    };
    ConfigSnapshot::from_records(1, [RoutingRecord::Model(model)])
}

/// Guards against a session that changes its version without a reason, or keeps one that may not
/// run.
#[test]
fn version_of_a_session() {
    struct Case {
        name: &'static str,
        pinned: Option<&'static str>,
        withdrawn: &'static [&'static str],
        allowed: Option<&'static [&'static str]>,
        version: Option<&'static str>,
        repinned: Option<RepinReason>,
    }
    let kept = Case {
        name: "kept against the preference",
        pinned: Some("1"),
        withdrawn: &[],
        allowed: None,
        version: Some("1"),
        repinned: None,
    };
    let cases = [
        Case { name: "new", pinned: None, version: Some("2"), ..kept },
        Case { name: "new, preferred is withdrawn", pinned: None, withdrawn: &["2"], ..kept },
        Case {
            name: "new, only the last is allowed",
            pinned: None,
            allowed: Some(&["3"]),
            version: Some("3"),
            ..kept
        },
        Case {
            name: "withdrawn",
            withdrawn: &["1"],
            version: Some("2"),
            repinned: Some(RepinReason::Withdrawn),
            ..kept
        },
        Case {
            name: "not allowed",
            allowed: Some(&["2", "3"]),
            version: Some("2"),
            repinned: Some(RepinReason::NotAllowed),
            ..kept
        },
        Case {
            name: "unknown",
            pinned: Some("0"),
            version: Some("2"),
            repinned: Some(RepinReason::Unknown),
            ..kept
        },
        Case {
            name: "nothing may run",
            withdrawn: &["1", "2"],
            allowed: Some(&["1", "2"]),
            version: None,
            ..kept
        },
        kept,
    ];
    for case in cases {
        let mut table = SessionTable::default();
        if let Some(version) = case.pinned {
            table.accept_pin(key("s"), pin(version, 0), Duration::ZERO);
        }
        let (customer, snapshot) = (customer(case.allowed), snapshot(case.withdrawn));
        let mut resolve =
            || table.resolve(&key("s"), &Arc::from("2"), &customer, &snapshot, Duration::ZERO);
        let found = resolve();
        let version = found.as_ref().map(|found| &*found.pin.version);
        assert_eq!(version, case.version, "{}", case.name);
        let repinned = found.as_ref().and_then(|found| found.repin_reason);
        assert_eq!(repinned, case.repinned, "{}", case.name);
        let moves = found.as_ref().map_or(0, |found| found.pin.moves);
        assert_eq!(moves, u32::from(repinned.is_some()), "{}", case.name);
        if let Some(again) = resolve() {
            assert_eq!(
                (Some(&*again.pin.version), again.is_changed),
                (case.version, false),
                "{}",
                case.name
            );
        }
    }
}

/// Guards against pins that outlive the idle timeout, and against use that does not extend them.
#[test]
fn idle_pins_expire() {
    let mut table = SessionTable::default();
    table.accept_pin(key("idle"), pin("1", 0), Duration::ZERO);
    table.accept_pin(key("used"), pin("1", 0), Duration::ZERO);
    let half = PIN_IDLE_TIMEOUT / 2;
    let (customer, snapshot) = (customer(None), snapshot(&[]));
    table.resolve(&key("used"), &Arc::from("2"), &customer, &snapshot, half);
    assert!(table.get(&key("idle"), PIN_IDLE_TIMEOUT).is_none());
    table.remove_expired(PIN_IDLE_TIMEOUT);
    assert_eq!(table.len(), 1);
    assert_eq!(table.get(&key("used"), PIN_IDLE_TIMEOUT), Some(&pin("1", 0)));
    table.remove_expired(PIN_IDLE_TIMEOUT + half);
    assert!(table.is_empty());
}

/// Guards against a table that grows beyond its capacity or evicts recently used pins.
#[test]
fn the_least_recently_used_pin_is_evicted() {
    let mut table = SessionTable::with_capacity(100);
    for number in 0..1_000 {
        table.accept_pin(key("used"), pin("1", 0), Duration::ZERO);
        table.accept_pin(key(&format!("s{number}")), pin("1", 0), Duration::ZERO);
        assert!(table.len() <= 100);
    }
    assert!(table.get(&key("used"), Duration::ZERO).is_some());
    assert!(table.get(&key("s0"), Duration::ZERO).is_none());
}

proptest! {
    /// Guards against an accepted pin that is replaced by a pin without more moves.
    #[test]
    fn accepted_pin_is_kept(pins in prop::collection::vec((0_u32..4, "[1-4]"), 1..8)) {
        let mut table = SessionTable::default();
        let mut accepted: Option<SessionPin> = None;
        for (moves, version) in &pins {
            let requested = pin(version, *moves);
            let answer = table.accept_pin(key("s"), requested.clone(), Duration::ZERO);
            match accepted {
                Some(accepted) if accepted.moves >= *moves => prop_assert_eq!(&answer, &accepted),
                _ => prop_assert_eq!(&answer, &requested),
            }
            accepted = Some(answer);
        }
        let max_moves = pins.iter().map(|(moves, _)| *moves).max();
        prop_assert_eq!(accepted.map(|pin| pin.moves), max_moves);
    }
}

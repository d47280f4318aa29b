//! Choice of a replica for a call.

mod fleet_harness;

use std::sync::Arc;
use std::time::Duration;

use fleet_harness::{CallNeeds, FleetHarness, entry, long_call, ms};
use yuccareel::relay::call_codec::ReplicaLoad;
use yuccareel::relay::call_request::PromptPart;
use yuccareel::relay::replica_choice::ChoiceRefusal;
use yuccareel::relay::replica_entry::{EntryState, ReplicaEntry};
use yuccareel::relay::replica_fleet::EntryChange;
use yuccareel::relay::replica_health::HealthOutcome;
use yuccareel::relay::version_rule::VersionRule;

/// Guards against work for a replica that is leaving, gone, in a data centre taken out of use, of
/// another version or in another region.
#[test]
fn replicas_that_may_not_run_a_call_are_left_out() {
    struct OutCase {
        name: &'static str,
        out: fn(&mut FleetHarness),
    }
    let cases = [
        OutCase {
            name: "draining",
            out: |harness| {
                let entry = ReplicaEntry { state: EntryState::Draining, sequence: 2, ..entry("r") };
                assert_eq!(harness.fleet.apply_entry(entry, harness.now), EntryChange::Draining);
            },
        },
        OutCase { name: "gone", out: |harness| assert!(harness.fleet.remove("r", harness.now)) },
        OutCase {
            name: "address given to another",
            out: |harness| assert!(harness.fleet.record_misdirected("r")),
        },
        OutCase {
            name: "data centre out of use",
            out: |harness| harness.fleet.set_evacuated("a".into(), true, harness.now),
        },
        OutCase {
            name: "other service",
            out: |harness| {
                let entry = ReplicaEntry { service: "other".into(), ..entry("r") };
                harness.fleet.apply_entry(entry, harness.now);
            },
        },
    ];
    for case in cases {
        let mut harness = FleetHarness::new(&[entry("r")]);
        assert_eq!(harness.choose().as_deref(), Ok("r"), "{}", case.name);
        (case.out)(&mut harness);
        assert_eq!(harness.choose(), Err(ChoiceRefusal::NoReplica), "{}", case.name);
    }
    let needs = [
        CallNeeds { version: VersionRule::Not("v1".into()), ..CallNeeds::default() },
        CallNeeds { homes: vec!["east".into()], ..CallNeeds::default() },
        CallNeeds { customer_homes: vec!["east".into()], ..CallNeeds::default() },
    ];
    for call in needs {
        let mut harness = FleetHarness::new(&[entry("r")]);
        assert_eq!(harness.choose_call(&call), Err(ChoiceRefusal::NoReplica));
    }
}

/// Guards against a replica that counts as possibly cold for ever: its entry is not written again
/// while nothing changes. A service then has no replica, though all are well.
#[test]
fn doubt_about_a_replica_passes() {
    struct DoubtCase {
        name: &'static str,
        doubt: fn(&mut FleetHarness),
    }
    let cases = [
        DoubtCase {
            name: "connection refused once",
            doubt: |harness| {
                harness.fleet.record_health("r", HealthOutcome::Unreachable, harness.now);
            },
        },
        DoubtCase {
            name: "data centre came back",
            doubt: |harness| {
                harness.fleet.set_evacuated("a".into(), true, harness.now);
                harness.fleet.set_evacuated("a".into(), false, harness.now);
            },
        },
    ];
    for case in cases {
        let mut harness = FleetHarness::new(&[entry("r")]);
        (case.doubt)(&mut harness);
        assert!(harness.choose().is_ok(), "{}: one call as to a cold replica", case.name);
        let second = harness.choose();
        assert!(matches!(second, Err(ChoiceRefusal::Cold(_))), "{}: {second:?}", case.name);
        harness.now += ms(5_000);
        // The first call is still at work, which leaves three of the four slots.
        for _ in 0..3 {
            assert_eq!(harness.choose().as_deref(), Ok("r"), "{}", case.name);
        }
    }
}

/// Guards against a cold replica that gets more than one call a second of this instance, and
/// against calls to it while a warm one has room.
#[test]
fn cold_replicas_get_what_warm_ones_cannot_take() {
    let cold = ReplicaEntry { cold_left: ms(10_000), ..entry("cold") };
    let mut harness = FleetHarness::new(&[cold, entry("warm")]);
    for _ in 0..4 {
        assert_eq!(harness.choose().as_deref(), Ok("warm"));
    }
    assert_eq!(harness.choose().as_deref(), Ok("cold"));
    assert_eq!(harness.choose(), Err(ChoiceRefusal::Full));
    harness.now += ms(1_100);
    assert_eq!(harness.choose().as_deref(), Ok("cold"));
    // Of many instances, only some may send to a cold replica.
    harness.members = (0..1_000).map(|place| Arc::from(format!("instance-{place}"))).collect();
    harness.now += ms(1_100);
    assert_eq!(harness.choose(), Err(ChoiceRefusal::Full));
}

/// Guards against replicas that count as gone because the store was away, and against replicas
/// that are used for ever after they went.
#[test]
fn entries_that_lapsed_with_the_store_are_kept_for_a_while() {
    let mut harness = FleetHarness::new(&[entry("r")]);
    harness.fleet.record_store_return(harness.now);
    harness.now += ms(500);
    assert!(!harness.fleet.remove("r", harness.now));
    assert!(harness.choose().is_ok());
    harness.now += ms(2_000);
    assert_eq!(harness.fleet.remove_expired(harness.now).len(), 1);
    assert_eq!(harness.choose(), Err(ChoiceRefusal::NoReplica));
    // A replica that left is kept no longer than it serves: 2 s. Another one goes before it.
    let mut harness = FleetHarness::new(&[entry("r"), entry("s")]);
    harness.fleet.record_store_return(harness.now);
    harness.fleet.remove("r", harness.now);
    for _ in 0..4 {
        assert_eq!(harness.choose().as_deref(), Ok("s"));
    }
    harness.now += ms(1_700);
    assert_eq!(harness.fleet.remove_expired(harness.now).len(), 1);
    // One that writes its entry again stays.
    let mut harness = FleetHarness::new(&[entry("r")]);
    harness.fleet.record_store_return(harness.now);
    harness.fleet.remove("r", harness.now);
    harness.fleet.apply_entry(entry("r"), harness.now);
    harness.now += ms(3_000);
    assert!(harness.fleet.remove_expired(harness.now).is_empty());
    // Long after the return, an entry that is gone means a replica that is gone.
    assert!(harness.fleet.remove("r", harness.now));
}

/// Guards against calls to a replica that fails most of them, and against one that is never tried
/// again.
#[test]
fn sick_replicas_are_avoided_and_tried_again() {
    for sign in [HealthOutcome::Failure, HealthOutcome::Cut, HealthOutcome::Silent] {
        let far = ReplicaEntry { data_centre: "b".into(), ..entry("far") };
        let mut harness = FleetHarness::new(&[entry("near"), far]);
        assert_eq!(harness.choose().as_deref(), Ok("near"));
        let avoided = (0..10).any(|_| harness.fleet.record_health("near", sign, harness.now));
        assert!(avoided, "{sign:?}");
        harness.fleet.record_finish("near");
        assert_eq!(harness.choose().as_deref(), Ok("far"), "{sign:?}");
        harness.fleet.record_finish("far");
        harness.now += ms(6_000);
        harness.fleet.record_health("near", HealthOutcome::Good, harness.now);
        for _ in 0..20 {
            harness.fleet.record_health("near", HealthOutcome::Good, harness.now);
        }
        assert_eq!(harness.choose().as_deref(), Ok("near"), "{sign:?}");
    }
}

/// Guards against calls to full replicas in the peak of a broadcast.
#[test]
fn full_replicas_get_no_calls() {
    let mut harness = FleetHarness::new(&[entry("r"), entry("s")]);
    let load = |running| ReplicaLoad { running, waiting: 0 };
    harness.fleet.record_load("r", load(4), harness.now);
    assert_eq!(harness.choose().as_deref(), Ok("s"));
    harness.fleet.record_load("s", load(4), harness.now);
    assert_eq!(harness.choose(), Err(ChoiceRefusal::Full));
    // What a replica told some time ago is no reason to refuse.
    harness.now += ms(2_500);
    assert!(harness.choose().is_ok());
}

/// Guards against figures of callers and replicas that overflow.
#[test]
fn extreme_figures_are_borne() {
    let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: u32::MAX });
    let call = CallNeeds { shared: parts.to_vec(), prompt_tokens: u32::MAX, ..long_call() };
    let mut harness = FleetHarness::new(&[entry("r"), entry("s")]);
    let most = ReplicaLoad { running: u32::MAX, waiting: u32::MAX };
    harness.fleet.record_load("r", most, harness.now);
    assert_eq!(harness.choose_call(&call).as_deref(), Ok("s"));
    assert_eq!(harness.choose_call(&call).as_deref(), Ok("s"));
}

/// Guards against a replica that states a cold time without sense: the list of replicas must go on
/// being read, and the replica must be used in the end.
#[test]
fn cold_times_have_an_end() {
    for stated in [Duration::MAX, Duration::from_millis(u64::MAX)] {
        let mut harness = FleetHarness::new(&[ReplicaEntry { cold_left: stated, ..entry("r") }]);
        harness.fleet.record_cold("r", stated, harness.now);
        harness.now += Duration::from_secs(61);
        let asked = CallNeeds::default();
        let choice = harness.with_call(&asked, |fleet, request, context| {
            fleet.choose(request, context).map(|choice| choice.is_cold)
        });
        assert_eq!(choice, Ok(false), "{stated:?}");
    }
}

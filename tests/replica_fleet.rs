//! Choice of a replica for a call.

mod fleet_world;

use std::sync::Arc;
use std::time::Duration;

use fleet_world::{CallNeeds, FleetWorld, entry, long_call, ms};
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
        out: fn(&mut FleetWorld),
    }
    let cases = [
        OutCase {
            name: "draining",
            out: |world| {
                let entry = ReplicaEntry { state: EntryState::Draining, sequence: 2, ..entry("r") };
                assert_eq!(world.fleet.put(entry, world.now), EntryChange::Draining);
            },
        },
        OutCase { name: "gone", out: |world| assert!(world.fleet.remove("r", world.now)) },
        OutCase {
            name: "address given to another",
            out: |world| assert!(world.fleet.record_misdirected("r")),
        },
        OutCase {
            name: "data centre out of use",
            out: |world| world.fleet.set_evacuated("a".into(), true, world.now),
        },
        OutCase {
            name: "other service",
            out: |world| {
                let entry = ReplicaEntry { service: "other".into(), ..entry("r") };
                world.fleet.put(entry, world.now);
            },
        },
    ];
    for case in cases {
        let mut world = FleetWorld::new(&[entry("r")]);
        assert_eq!(world.choose().as_deref(), Ok("r"), "{}", case.name);
        (case.out)(&mut world);
        assert_eq!(world.choose(), Err(ChoiceRefusal::NoReplica), "{}", case.name);
    }
    let needs = [
        CallNeeds { version: VersionRule::Not("v1".into()), ..CallNeeds::default() },
        CallNeeds { homes: vec!["east".into()], ..CallNeeds::default() },
        CallNeeds { customer_homes: vec!["east".into()], ..CallNeeds::default() },
    ];
    for call in needs {
        let mut world = FleetWorld::new(&[entry("r")]);
        assert_eq!(world.choose_call(&call), Err(ChoiceRefusal::NoReplica));
    }
}

/// Guards against a replica that counts as possibly cold for ever: its entry is not written again
/// while nothing changes. A service then has no replica, though all are well.
#[test]
fn doubt_about_a_replica_passes() {
    struct DoubtCase {
        name: &'static str,
        doubt: fn(&mut FleetWorld),
    }
    let cases = [
        DoubtCase {
            name: "connection refused once",
            doubt: |world| {
                world.fleet.record_health("r", HealthOutcome::Unreachable, world.now);
            },
        },
        DoubtCase {
            name: "data centre came back",
            doubt: |world| {
                world.fleet.set_evacuated("a".into(), true, world.now);
                world.fleet.set_evacuated("a".into(), false, world.now);
            },
        },
    ];
    for case in cases {
        let mut world = FleetWorld::new(&[entry("r")]);
        (case.doubt)(&mut world);
        assert!(world.choose().is_ok(), "{}: one call as to a cold replica", case.name);
        let second = world.choose();
        assert!(matches!(second, Err(ChoiceRefusal::Cold(_))), "{}: {second:?}", case.name);
        world.now += ms(5_000);
        // The first call is still at work, which leaves three of the four slots.
        for _ in 0..3 {
            assert_eq!(world.choose().as_deref(), Ok("r"), "{}", case.name);
        }
    }
}

/// Guards against a cold replica that gets more than one call a second of this instance, and
/// against calls to it while a warm one has room.
#[test]
fn cold_replicas_get_what_warm_ones_cannot_take() {
    let cold = ReplicaEntry { cold_left: ms(10_000), ..entry("cold") };
    let mut world = FleetWorld::new(&[cold, entry("warm")]);
    for _ in 0..4 {
        assert_eq!(world.choose().as_deref(), Ok("warm"));
    }
    assert_eq!(world.choose().as_deref(), Ok("cold"));
    assert_eq!(world.choose(), Err(ChoiceRefusal::Full));
    world.now += ms(1_100);
    assert_eq!(world.choose().as_deref(), Ok("cold"));
    // Of many instances, only some may send to a cold replica.
    world.members = (0..1_000).map(|place| Arc::from(format!("instance-{place}"))).collect();
    world.now += ms(1_100);
    assert_eq!(world.choose(), Err(ChoiceRefusal::Full));
}

/// Guards against replicas that count as gone because the store was away, and against replicas
/// that are used for ever after they went.
#[test]
fn entries_that_lapsed_with_the_store_are_kept_for_a_while() {
    let mut world = FleetWorld::new(&[entry("r")]);
    world.fleet.record_store_return(world.now);
    world.now += ms(500);
    assert!(!world.fleet.remove("r", world.now));
    assert!(world.choose().is_ok());
    world.now += ms(2_000);
    assert_eq!(world.fleet.remove_expired(world.now).len(), 1);
    assert_eq!(world.choose(), Err(ChoiceRefusal::NoReplica));
    // A replica that left is kept no longer than it serves: 2 s. Another one goes before it.
    let mut world = FleetWorld::new(&[entry("r"), entry("s")]);
    world.fleet.record_store_return(world.now);
    world.fleet.remove("r", world.now);
    for _ in 0..4 {
        assert_eq!(world.choose().as_deref(), Ok("s"));
    }
    world.now += ms(1_700);
    assert_eq!(world.fleet.remove_expired(world.now).len(), 1);
    // One that writes its entry again stays.
    let mut world = FleetWorld::new(&[entry("r")]);
    world.fleet.record_store_return(world.now);
    world.fleet.remove("r", world.now);
    world.fleet.put(entry("r"), world.now);
    world.now += ms(3_000);
    assert!(world.fleet.remove_expired(world.now).is_empty());
    // Long after the return, an entry that is gone means a replica that is gone.
    assert!(world.fleet.remove("r", world.now));
}

/// Guards against calls to a replica that fails most of them, and against one that is never tried
/// again.
#[test]
fn sick_replicas_are_avoided_and_tried_again() {
    for sign in [HealthOutcome::Failure, HealthOutcome::Cut, HealthOutcome::Silent] {
        let far = ReplicaEntry { data_centre: "b".into(), ..entry("far") };
        let mut world = FleetWorld::new(&[entry("near"), far]);
        assert_eq!(world.choose().as_deref(), Ok("near"));
        let avoided = (0..10).any(|_| world.fleet.record_health("near", sign, world.now));
        assert!(avoided, "{sign:?}");
        world.fleet.finish("near");
        assert_eq!(world.choose().as_deref(), Ok("far"), "{sign:?}");
        world.fleet.finish("far");
        world.now += ms(6_000);
        world.fleet.record_health("near", HealthOutcome::Good, world.now);
        for _ in 0..20 {
            world.fleet.record_health("near", HealthOutcome::Good, world.now);
        }
        assert_eq!(world.choose().as_deref(), Ok("near"), "{sign:?}");
    }
}

/// Guards against calls to full replicas in the peak of a broadcast.
#[test]
fn full_replicas_get_no_calls() {
    let mut world = FleetWorld::new(&[entry("r"), entry("s")]);
    let load = |running| ReplicaLoad { running, waiting: 0 };
    world.fleet.record_load("r", load(4), world.now);
    assert_eq!(world.choose().as_deref(), Ok("s"));
    world.fleet.record_load("s", load(4), world.now);
    assert_eq!(world.choose(), Err(ChoiceRefusal::Full));
    // What a replica told some time ago is no reason to refuse.
    world.now += ms(2_500);
    assert!(world.choose().is_ok());
}

/// Guards against figures of callers and replicas that overflow.
#[test]
fn extreme_figures_are_borne() {
    let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: u32::MAX });
    let call = CallNeeds { shared: parts.to_vec(), prompt_tokens: u32::MAX, ..long_call() };
    let mut world = FleetWorld::new(&[entry("r"), entry("s")]);
    let most = ReplicaLoad { running: u32::MAX, waiting: u32::MAX };
    world.fleet.record_load("r", most, world.now);
    assert_eq!(world.choose_call(&call).as_deref(), Ok("s"));
    assert_eq!(world.choose_call(&call).as_deref(), Ok("s"));
}

/// Guards against a replica that states a cold time without sense: the list of replicas must go on
/// being read, and the replica must be used in the end.
#[test]
fn cold_times_have_an_end() {
    for stated in [Duration::MAX, Duration::from_millis(u64::MAX)] {
        let mut world = FleetWorld::new(&[ReplicaEntry { cold_left: stated, ..entry("r") }]);
        world.fleet.record_cold("r", stated, world.now);
        world.now += Duration::from_secs(61);
        let asked = CallNeeds::default();
        let choice = world.with_call(&asked, |fleet, request, context| {
            fleet.choose(request, context).map(|choice| choice.cold)
        });
        assert_eq!(choice, Ok(false), "{stated:?}");
    }
}

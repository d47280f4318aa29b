//! Choice of a replica for a call.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yuccareel::ids;
use yuccareel::relay::call_codec::ReplicaLoad;
use yuccareel::relay::call_request::PromptPart;
use yuccareel::relay::cold_budget::ColdBound;
use yuccareel::relay::replica_choice::{ChoiceContext, ChoiceRefusal, ChoiceRequest};
use yuccareel::relay::replica_entry::{EntryState, ReplicaEntry};
use yuccareel::relay::replica_fleet::{EntryChange, ReplicaFleet};
use yuccareel::relay::replica_health::HealthOutcome;
use yuccareel::relay::version_rule::VersionRule;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(name: &str) -> ReplicaEntry {
    ReplicaEntry {
        name: name.into(),
        service: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 4,
        state: EntryState::Ready,
        cold_left: Duration::ZERO,
        sequence: 1,
        started_unix_ms: Some(1),
        models: Vec::new(),
    }
}

/// What a call asks of its replica.
struct CallNeeds {
    version: VersionRule,
    model: Option<ids::ModelName>,
    homes: Vec<Arc<str>>,
    customer_homes: Vec<Arc<str>>,
    shared: Vec<PromptPart>,
    prompt_tokens: u32,
    model_weight: f64,
}

impl Default for CallNeeds {
    fn default() -> Self {
        Self {
            version: VersionRule::Any,
            model: None,
            homes: Vec::new(),
            customer_homes: Vec::new(),
            shared: Vec::new(),
            prompt_tokens: 0,
            model_weight: 1.0,
        }
    }
}

/// Everything around a fleet that a choice needs.
struct World {
    fleet: ReplicaFleet,
    members: Vec<ids::InstanceName>,
    regions: HashMap<ids::DataCentreName, Arc<str>>,
    now: Instant,
}

impl World {
    fn new(entries: &[ReplicaEntry]) -> Self {
        let now = Instant::now();
        let mut fleet = ReplicaFleet::default();
        for entry in entries {
            fleet.put(entry.clone(), now);
        }
        let regions = [("a", "west"), ("b", "west"), ("c", "east")];
        Self {
            fleet,
            members: vec!["me".into()],
            regions: regions.map(|(centre, region)| (centre.into(), region.into())).into(),
            now,
        }
    }

    fn with_call<T>(
        &mut self,
        call: &CallNeeds,
        act: impl FnOnce(&mut ReplicaFleet, &ChoiceRequest<'_>, &ChoiceContext<'_>) -> T,
    ) -> T {
        let service: ids::ServiceName = "pool".into();
        let (instance, data_centre) = ("me".into(), "a".into());
        let request = ChoiceRequest {
            service: &service,
            version: &call.version,
            model: call.model.as_ref(),
            homes: [&call.homes, &call.customer_homes],
            tried: &[],
            shared: &call.shared,
            prompt_tokens: call.prompt_tokens,
            model_weight: call.model_weight,
            cold_rate_per_s: 6.0,
        };
        let context = ChoiceContext {
            instance: &instance,
            data_centre: &data_centre,
            regions: &self.regions,
            members: &self.members,
            cold: ColdBound { factor: 1.5, slack: 5.0 },
            now: self.now,
        };
        act(&mut self.fleet, &request, &context)
    }

    fn choose_call(&mut self, call: &CallNeeds) -> Result<String, ChoiceRefusal> {
        self.with_call(call, |fleet, request, context| {
            fleet.choose(request, context).map(|choice| choice.entry.name.to_string())
        })
    }

    /// Replicas that would be asked for their load before a call.
    fn asked(&mut self, call: &CallNeeds) -> Vec<String> {
        self.with_call(call, |fleet, request, context| {
            let entries = fleet.loads_to_ask(request, context);
            entries.iter().map(|entry| entry.name.to_string()).collect()
        })
    }

    fn choose(&mut self) -> Result<String, ChoiceRefusal> {
        self.choose_call(&CallNeeds::default())
    }
}

/// Guards against work for a replica that is leaving, gone, in a data centre taken out of use, of
/// another version or in another region.
#[test]
fn replicas_that_may_not_run_a_call_are_left_out() {
    struct OutCase {
        name: &'static str,
        out: fn(&mut World),
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
        let mut world = World::new(&[entry("r")]);
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
        let mut world = World::new(&[entry("r")]);
        assert_eq!(world.choose_call(&call), Err(ChoiceRefusal::NoReplica));
    }
}

/// Guards against a replica that counts as possibly cold for ever: its entry is not written again
/// while nothing changes. A service then has no replica, though all are well.
#[test]
fn doubt_about_a_replica_passes() {
    struct DoubtCase {
        name: &'static str,
        doubt: fn(&mut World),
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
        let mut world = World::new(&[entry("r")]);
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
    let mut world = World::new(&[cold, entry("warm")]);
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
    let mut world = World::new(&[entry("r")]);
    world.fleet.store_returned(world.now);
    world.now += ms(500);
    assert!(!world.fleet.remove("r", world.now));
    assert!(world.choose().is_ok());
    world.now += ms(2_000);
    assert_eq!(world.fleet.drop_lapsed(world.now).len(), 1);
    assert_eq!(world.choose(), Err(ChoiceRefusal::NoReplica));
    // A replica that left is kept no longer than it serves: 2 s. Another one goes before it.
    let mut world = World::new(&[entry("r"), entry("s")]);
    world.fleet.store_returned(world.now);
    world.fleet.remove("r", world.now);
    for _ in 0..4 {
        assert_eq!(world.choose().as_deref(), Ok("s"));
    }
    world.now += ms(1_700);
    assert_eq!(world.fleet.drop_lapsed(world.now).len(), 1);
    // One that writes its entry again stays.
    let mut world = World::new(&[entry("r")]);
    world.fleet.store_returned(world.now);
    world.fleet.remove("r", world.now);
    world.fleet.put(entry("r"), world.now);
    world.now += ms(3_000);
    assert!(world.fleet.drop_lapsed(world.now).is_empty());
    // Long after the return, an entry that is gone means a replica that is gone.
    assert!(world.fleet.remove("r", world.now));
}

/// Guards against calls to a replica that fails most of them, and against one that is never tried
/// again.
#[test]
fn sick_replicas_are_avoided_and_tried_again() {
    for sign in [HealthOutcome::Failure, HealthOutcome::Cut, HealthOutcome::Silent] {
        let far = ReplicaEntry { data_centre: "b".into(), ..entry("far") };
        let mut world = World::new(&[entry("near"), far]);
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
    let mut world = World::new(&[entry("r"), entry("s")]);
    let load = |running| ReplicaLoad { running, waiting: 0 };
    world.fleet.record_load("r", load(4), world.now);
    assert_eq!(world.choose().as_deref(), Ok("s"));
    world.fleet.record_load("s", load(4), world.now);
    assert_eq!(world.choose(), Err(ChoiceRefusal::Full));
    // What a replica told some time ago is no reason to refuse.
    world.now += ms(2_500);
    assert!(world.choose().is_ok());
}

/// Guards against prompts that are read again: calls with the same start of the prompt go to one
/// replica, also from instances that know nothing of each other.
#[test]
fn prompts_with_one_start_go_to_one_replica() {
    let replicas: Vec<_> =
        (0..10).map(|place| ReplicaEntry { slots: 100, ..entry(&format!("r{place}")) }).collect();
    let model: ids::ModelName = "large".into();
    let mut chosen_by_start = Vec::new();
    for start in 0..20 {
        let call = CallNeeds {
            shared: vec![PromptPart { id: start, tokens: 10_000 }],
            prompt_tokens: 12_000,
            model: Some(model.clone()),
            ..CallNeeds::default()
        };
        let mut chosen = Vec::new();
        for _ in 0..3 {
            let mut world = World::new(&replicas);
            chosen.push(world.choose_call(&call).unwrap());
        }
        chosen.dedup();
        assert_eq!(chosen.len(), 1, "start {start}: {chosen:?}");
        chosen_by_start.append(&mut chosen);
    }
    chosen_by_start.sort();
    chosen_by_start.dedup();
    assert!(chosen_by_start.len() > 4, "starts are spread: {chosen_by_start:?}");
}

/// Guards against short answers of a small model that wait for the long prompts of a large one.
#[test]
fn small_models_have_replicas_to_themselves() {
    let replicas: Vec<_> =
        (0..10).map(|place| ReplicaEntry { slots: 1_000, ..entry(&format!("r{place}")) }).collect();
    let (small, large): (ids::ModelName, ids::ModelName) = ("small".into(), "large".into());
    let mut world = World::new(&replicas);
    let mut chosen = |model: &ids::ModelName, model_weight| {
        let call = CallNeeds {
            shared: vec![PromptPart { id: 1, tokens: 100 }],
            prompt_tokens: 500,
            model: Some(model.clone()),
            model_weight,
            ..CallNeeds::default()
        };
        world.choose_call(&call).unwrap()
    };
    let mut of_small: Vec<_> = (0..10).map(|_| chosen(&small, 0.1)).collect();
    let of_large: Vec<_> = (0..10).map(|_| chosen(&large, 1.0)).collect();
    assert!(of_small.iter().all(|name| !of_large.contains(name)), "{of_small:?} {of_large:?}");
    of_small.sort();
    of_small.dedup();
    assert!(of_small.len() <= 2);
}

/// Call of the largest model with a long prompt.
fn long_call() -> CallNeeds {
    CallNeeds { model: Some("large".into()), prompt_tokens: 12_000, ..CallNeeds::default() }
}

/// Load that one replica told some time ago.
struct ToldLoad {
    replica: &'static str,
    age_ms: u64,
}

struct QuestionCase {
    name: &'static str,
    replicas: usize,
    call: CallNeeds,
    told: &'static [ToldLoad],
    asked: usize,
}

/// Guards against long prompts that are placed behind others, and against questions that cost more
/// than they tell.
#[test]
fn loads_are_asked_for_where_they_decide() {
    let cases = [
        QuestionCase { name: "long", replicas: 9, call: long_call(), told: &[], asked: 3 },
        QuestionCase { name: "two", replicas: 2, call: long_call(), told: &[], asked: 2 },
        QuestionCase { name: "no choice", replicas: 1, call: long_call(), told: &[], asked: 0 },
        QuestionCase {
            name: "told just now",
            replicas: 2,
            call: long_call(),
            told: &[ToldLoad { replica: "r0", age_ms: 50 }],
            asked: 1,
        },
        QuestionCase {
            name: "told long ago",
            replicas: 2,
            call: long_call(),
            told: &[ToldLoad { replica: "r0", age_ms: 900 }],
            asked: 2,
        },
        QuestionCase {
            name: "short prompt",
            replicas: 9,
            call: CallNeeds { prompt_tokens: 300, ..long_call() },
            told: &[],
            asked: 0,
        },
        QuestionCase {
            name: "small model",
            replicas: 9,
            call: CallNeeds { model_weight: 0.1, ..long_call() },
            told: &[],
            asked: 0,
        },
        QuestionCase {
            name: "plain service",
            replicas: 9,
            call: CallNeeds::default(),
            told: &[],
            asked: 0,
        },
    ];
    for QuestionCase { name, replicas, call, told, asked } in cases {
        let entries: Vec<_> = (0..replicas).map(|place| entry(&format!("r{place}"))).collect();
        let mut world = World::new(&entries);
        let start = world.now;
        world.now += ms(2_000);
        for ToldLoad { replica, age_ms } in told {
            let at = start + ms(2_000 - age_ms);
            world.fleet.record_load(replica, ReplicaLoad { running: 1, waiting: 0 }, at);
        }
        assert_eq!(world.asked(&call).len(), asked, "{name}");
    }
}

/// Guards against a long prompt that waits behind those of other instances.
#[test]
fn a_replica_where_requests_wait_is_passed_over() {
    let call = CallNeeds { shared: vec![PromptPart { id: 7, tokens: 10_000 }], ..long_call() };
    let entries: Vec<_> =
        (0..4).map(|place| ReplicaEntry { slots: 100, ..entry(&format!("r{place}")) }).collect();
    let preferred = World::new(&entries).choose_call(&call).unwrap();
    let mut world = World::new(&entries);
    world.fleet.record_load(&preferred, ReplicaLoad { running: 10, waiting: 0 }, world.now);
    assert_eq!(world.choose_call(&call).as_ref(), Ok(&preferred), "running requests share steps");
    let mut world = World::new(&entries);
    world.fleet.record_load(&preferred, ReplicaLoad { running: 10, waiting: 6 }, world.now);
    assert_ne!(world.choose_call(&call).as_ref(), Ok(&preferred));
}

/// Guards against figures of callers and replicas that overflow.
#[test]
fn extreme_figures_are_borne() {
    let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: u32::MAX });
    let call = CallNeeds { shared: parts.to_vec(), prompt_tokens: u32::MAX, ..long_call() };
    let mut world = World::new(&[entry("r"), entry("s")]);
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
        let mut world = World::new(&[ReplicaEntry { cold_left: stated, ..entry("r") }]);
        world.fleet.record_cold("r", stated, world.now);
        world.now += Duration::from_secs(61);
        let asked = CallNeeds::default();
        let choice = world.with_call(&asked, |fleet, request, context| {
            fleet.choose(request, context).map(|choice| choice.cold)
        });
        assert_eq!(choice, Ok(false), "{stated:?}");
    }
}

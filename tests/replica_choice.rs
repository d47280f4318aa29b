//! Choice of a replica for calls with prompts.

mod fleet_harness;

use fleet_harness::{CallNeeds, FleetHarness, entry, long_call, ms};
use yuccareel::ids;
use yuccareel::relay::call_codec::ReplicaLoad;
use yuccareel::relay::call_request::PromptPart;
use yuccareel::relay::replica_entry::ReplicaEntry;

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
            let mut harness = FleetHarness::new(&replicas);
            chosen.push(harness.choose_call(&call).unwrap());
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
    let mut harness = FleetHarness::new(&replicas);
    let mut chosen = |model: &ids::ModelName, model_weight| {
        let call = CallNeeds {
            shared: vec![PromptPart { id: 1, tokens: 100 }],
            prompt_tokens: 500,
            model: Some(model.clone()),
            model_weight,
            ..CallNeeds::default()
        };
        harness.choose_call(&call).unwrap()
    };
    let mut of_small: Vec<_> = (0..10).map(|_| chosen(&small, 0.1)).collect();
    let of_large: Vec<_> = (0..10).map(|_| chosen(&large, 1.0)).collect();
    assert!(of_small.iter().all(|name| !of_large.contains(name)), "{of_small:?} {of_large:?}");
    of_small.sort();
    of_small.dedup();
    assert!(of_small.len() <= 2);
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
        let mut harness = FleetHarness::new(&entries);
        let start = harness.now;
        harness.now += ms(2_000);
        for ToldLoad { replica, age_ms } in told {
            let at = start + ms(2_000 - age_ms);
            harness.fleet.record_load(replica, ReplicaLoad { running: 1, waiting: 0 }, at);
        }
        assert_eq!(harness.asked(&call).len(), asked, "{name}");
    }
}

/// Guards against a long prompt that waits behind those of other instances.
#[test]
fn a_replica_where_requests_wait_is_passed_over() {
    let call = CallNeeds { shared: vec![PromptPart { id: 7, tokens: 10_000 }], ..long_call() };
    let entries: Vec<_> =
        (0..4).map(|place| ReplicaEntry { slots: 100, ..entry(&format!("r{place}")) }).collect();
    let preferred = FleetHarness::new(&entries).choose_call(&call).unwrap();
    let mut harness = FleetHarness::new(&entries);
    harness.fleet.record_load(&preferred, ReplicaLoad { running: 10, waiting: 0 }, harness.now);
    assert_eq!(harness.choose_call(&call).as_ref(), Ok(&preferred), "running requests share steps");
    let mut harness = FleetHarness::new(&entries);
    harness.fleet.record_load(&preferred, ReplicaLoad { running: 10, waiting: 6 }, harness.now);
    assert_ne!(harness.choose_call(&call).as_ref(), Ok(&preferred));
}

//! Choice of a replica for calls with prompts, and probes of loads before it.

mod fleet_harness;

use fleet_harness::{CallRequirements, FleetHarness, entry, long_call, ms};
use yuccareel::ids;
use yuccareel::relay::call_codec::ReplicaLoad;
use yuccareel::relay::call_request::PromptPart;
use yuccareel::relay::replica_entry::ReplicaEntry;

/// Guards against prefixes that are computed on several replicas: instances that share no state
/// must send calls with the same prefix to one replica.
#[test]
fn prompts_with_one_prefix_go_to_one_replica() {
    let replicas: Vec<_> =
        (0..10).map(|index| ReplicaEntry { slots: 100, ..entry(&format!("r{index}")) }).collect();
    let model: ids::ModelName = "large".into();
    let mut chosen_by_prefix = Vec::new();
    for prefix in 0..20 {
        let call = CallRequirements {
            shared_parts: vec![PromptPart { id: prefix, tokens: 10_000 }],
            prompt_tokens: 12_000,
            model: Some(model.clone()),
            ..CallRequirements::default()
        };
        let mut chosen = Vec::new();
        for _ in 0..3 {
            let mut harness = FleetHarness::new(&replicas);
            chosen.push(harness.choose_call(&call).unwrap());
        }
        chosen.dedup();
        assert_eq!(chosen.len(), 1, "prefix {prefix}: {chosen:?}");
        chosen_by_prefix.append(&mut chosen);
    }
    chosen_by_prefix.sort();
    chosen_by_prefix.dedup();
    assert!(chosen_by_prefix.len() > 4, "prefixes are not spread: {chosen_by_prefix:?}");
}

/// Guards against calls of a small model that wait for the prefill of a large one on the same
/// replica.
#[test]
fn small_models_have_reserved_replicas() {
    let replicas: Vec<_> =
        (0..10).map(|index| ReplicaEntry { slots: 1_000, ..entry(&format!("r{index}")) }).collect();
    let (small, large): (ids::ModelName, ids::ModelName) = ("small".into(), "large".into());
    let mut harness = FleetHarness::new(&replicas);
    let mut chosen = |model: &ids::ModelName, model_weight| {
        let call = CallRequirements {
            shared_parts: vec![PromptPart { id: 1, tokens: 100 }],
            prompt_tokens: 500,
            model: Some(model.clone()),
            model_weight,
            ..CallRequirements::default()
        };
        harness.choose_call(&call).unwrap()
    };
    let mut small_choices: Vec<_> = (0..10).map(|_| chosen(&small, 0.1)).collect();
    let large_choices: Vec<_> = (0..10).map(|_| chosen(&large, 1.0)).collect();
    assert!(
        small_choices.iter().all(|name| !large_choices.contains(name)),
        "{small_choices:?} {large_choices:?}"
    );
    small_choices.sort();
    small_choices.dedup();
    assert!(small_choices.len() <= 2);
}

/// Load report of one replica, `age_ms` before the choice.
struct LoadReport {
    replica: &'static str,
    age_ms: u64,
}

struct ProbeCase {
    name: &'static str,
    replicas: usize,
    call: CallRequirements,
    reports: &'static [LoadReport],
    probes: usize,
}

/// Guards against long prompts that are sent to busy replicas for lack of a load report, and
/// against probes for calls where a wrong choice costs less than the probes.
#[test]
fn only_expensive_calls_probe_loads() {
    let cases = [
        ProbeCase { name: "long prompt", replicas: 9, call: long_call(), reports: &[], probes: 3 },
        ProbeCase { name: "two replicas", replicas: 2, call: long_call(), reports: &[], probes: 2 },
        ProbeCase {
            name: "single replica",
            replicas: 1,
            call: long_call(),
            reports: &[],
            probes: 0,
        },
        ProbeCase {
            name: "recent report",
            replicas: 2,
            call: long_call(),
            reports: &[LoadReport { replica: "r0", age_ms: 50 }],
            probes: 1,
        },
        ProbeCase {
            name: "old report",
            replicas: 2,
            call: long_call(),
            reports: &[LoadReport { replica: "r0", age_ms: 900 }],
            probes: 2,
        },
        ProbeCase {
            name: "short prompt",
            replicas: 9,
            call: CallRequirements { prompt_tokens: 300, ..long_call() },
            reports: &[],
            probes: 0,
        },
        ProbeCase {
            name: "small model",
            replicas: 9,
            call: CallRequirements { model_weight: 0.1, ..long_call() },
            reports: &[],
            probes: 0,
        },
        ProbeCase {
            name: "plain service",
            replicas: 9,
            call: CallRequirements::default(),
            reports: &[],
            probes: 0,
        },
    ];
    for ProbeCase { name, replicas, call, reports, probes } in cases {
        let entries: Vec<_> = (0..replicas).map(|index| entry(&format!("r{index}"))).collect();
        let mut harness = FleetHarness::new(&entries);
        let start = harness.now;
        harness.now += ms(2_000);
        for LoadReport { replica, age_ms } in reports {
            let at = start + ms(2_000 - age_ms);
            harness.fleet.record_load(replica, ReplicaLoad { running: 1, waiting: 0 }, at);
        }
        assert_eq!(harness.replicas_to_probe(&call).len(), probes, "{name}");
    }
}

/// Guards against a long prompt that waits behind those of other instances, although another
/// replica has no waiting requests.
#[test]
fn replicas_with_waiting_requests_are_avoided() {
    let call = CallRequirements {
        shared_parts: vec![PromptPart { id: 7, tokens: 10_000 }],
        ..long_call()
    };
    let entries: Vec<_> =
        (0..4).map(|index| ReplicaEntry { slots: 100, ..entry(&format!("r{index}")) }).collect();
    let preferred = FleetHarness::new(&entries).choose_call(&call).unwrap();
    let mut harness = FleetHarness::new(&entries);
    harness.fleet.record_load(&preferred, ReplicaLoad { running: 10, waiting: 0 }, harness.now);
    assert_eq!(harness.choose_call(&call).as_ref(), Ok(&preferred), "running requests cost little");
    let mut harness = FleetHarness::new(&entries);
    harness.fleet.record_load(&preferred, ReplicaLoad { running: 10, waiting: 6 }, harness.now);
    assert_ne!(harness.choose_call(&call).as_ref(), Ok(&preferred));
}

/// Guards against long prompts that wait behind other long prompts, while replicas without them are
/// idle. Load pattern: a large model whose calls have long prompts; what a replica reports as waiting
/// are calls like them.
#[test]
fn waiting_requests_cost_what_calls_cost_on_average() {
    struct AverageCase {
        name: &'static str,
        /// Prompt tokens of the earlier calls of the instance.
        earlier_tokens: u32,
        leaves_preferred: bool,
    }
    let cases = [
        AverageCase { name: "long prompts", earlier_tokens: 12_000, leaves_preferred: true },
        AverageCase { name: "short prompts", earlier_tokens: 700, leaves_preferred: false },
    ];
    let part = |id, tokens| vec![PromptPart { id, tokens }];
    let call = CallRequirements { shared_parts: part(7, 10_000), ..long_call() };
    let entries: Vec<_> =
        (0..6).map(|index| ReplicaEntry { slots: 100, ..entry(&format!("r{index}")) }).collect();
    let preferred = FleetHarness::new(&entries).choose_call(&call).unwrap();
    for AverageCase { name, earlier_tokens, leaves_preferred } in cases {
        let mut harness = FleetHarness::new(&entries);
        for id in 100..160 {
            let shared_parts = part(id, earlier_tokens / 2);
            let earlier =
                CallRequirements { shared_parts, prompt_tokens: earlier_tokens, ..long_call() };
            let replica = harness.choose_call(&earlier).unwrap();
            harness.fleet.record_first_byte(&replica, f64::from(u32::MAX));
            harness.fleet.record_finish(&replica);
        }
        for entry in &entries {
            let waiting = u32::from(*entry.name == *preferred);
            let load = ReplicaLoad { running: 1, waiting };
            harness.fleet.record_load(&entry.name, load, harness.now);
        }
        let chosen = harness.choose_call(&call).unwrap();
        assert_eq!(chosen != preferred, leaves_preferred, "{name}");
    }
}

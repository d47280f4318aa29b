//! Escalation to the largest model, depending on confidence, time left and load.

use std::time::Duration;

use yuccareel::relay::cascade_plan::{FirstAnswer, confidence_threshold, escalation_model_index};

struct EscalationCase {
    name: &'static str,
    answer: FirstAnswer,
    next: Option<usize>,
}

fn unsure_answer() -> FirstAnswer {
    FirstAnswer {
        model_index: 0,
        model_count: 3,
        is_repeatable: true,
        confidence: Some(10),
        objective_left: Duration::from_secs(3),
        latency_objective: Duration::from_secs(4),
        largest_model_requests: Some(0),
    }
}

/// Guards against unsure answers that are kept although the largest model has capacity, and against
/// escalations in the peak of a broadcast, when each additional prefill delays all other calls.
#[test]
fn calls_escalate_while_the_largest_model_has_capacity() {
    let cases = [
        EscalationCase { name: "unsure at low load", answer: unsure_answer(), next: Some(2) },
        EscalationCase {
            name: "sure",
            answer: FirstAnswer { confidence: Some(95), ..unsure_answer() },
            next: None,
        },
        EscalationCase {
            name: "no confidence reported",
            answer: FirstAnswer { confidence: None, ..unsure_answer() },
            next: None,
        },
        EscalationCase {
            name: "high load",
            answer: FirstAnswer { largest_model_requests: Some(40), ..unsure_answer() },
            next: None,
        },
        EscalationCase {
            name: "no replica of the largest model",
            answer: FirstAnswer { largest_model_requests: None, ..unsure_answer() },
            next: None,
        },
        EscalationCase {
            name: "too little time left",
            answer: FirstAnswer { objective_left: Duration::from_secs(1), ..unsure_answer() },
            next: None,
        },
        EscalationCase {
            name: "answer of the largest model",
            answer: FirstAnswer { model_index: 2, ..unsure_answer() },
            next: None,
        },
        EscalationCase {
            name: "route with one model",
            answer: FirstAnswer { model_count: 1, ..unsure_answer() },
            next: None,
        },
        EscalationCase {
            name: "route without models",
            answer: FirstAnswer { model_count: 0, ..unsure_answer() },
            next: None,
        },
    ];
    for case in cases {
        assert_eq!(escalation_model_index(&case.answer), case.next, "{}", case.name);
    }
}

/// Guards against more escalations at higher load, which would add to the load.
#[test]
fn confidence_threshold_falls_with_load() {
    let thresholds: Vec<_> = (0..50).map(confidence_threshold).collect();
    assert!(thresholds.is_sorted_by(|left, right| left >= right));
    assert!(thresholds[0] > 0.0 && thresholds[49] == 0.0);
}

//! Which model answers, by the load of the replicas.

use std::time::Duration;

use yuccareel::relay::cascade_plan::{FirstAnswer, confidence_threshold, escalation_model_index};

struct EscalationCase {
    name: &'static str,
    answer: FirstAnswer,
    next: Option<usize>,
}

fn unsure() -> FirstAnswer {
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

/// Guards against answers that are too hard for their model while larger ones have room, and
/// against a second reading of prompts in the peak of a broadcast, when each makes all others late.
#[test]
fn a_larger_model_answers_while_it_has_room() {
    let cases = [
        EscalationCase { name: "unsure in a quiet time", answer: unsure(), next: Some(2) },
        EscalationCase {
            name: "sure",
            answer: FirstAnswer { confidence: Some(95), ..unsure() },
            next: None,
        },
        EscalationCase {
            name: "no confidence is stated",
            answer: FirstAnswer { confidence: None, ..unsure() },
            next: None,
        },
        EscalationCase {
            name: "peak of a broadcast",
            answer: FirstAnswer { largest_model_requests: Some(40), ..unsure() },
            next: None,
        },
        EscalationCase {
            name: "no replica of the largest model",
            answer: FirstAnswer { largest_model_requests: None, ..unsure() },
            next: None,
        },
        EscalationCase {
            name: "little time left",
            answer: FirstAnswer { objective_left: Duration::from_secs(1), ..unsure() },
            next: None,
        },
        EscalationCase {
            name: "the largest model itself",
            answer: FirstAnswer { model_index: 2, ..unsure() },
            next: None,
        },
        EscalationCase {
            name: "one model",
            answer: FirstAnswer { model_count: 1, ..unsure() },
            next: None,
        },
        EscalationCase {
            name: "no model",
            answer: FirstAnswer { model_count: 0, ..unsure() },
            next: None,
        },
    ];
    for case in cases {
        assert_eq!(escalation_model_index(&case.answer), case.next, "{}", case.name);
    }
}

/// Guards against a threshold that rises with the load.
#[test]
fn fewer_answers_are_dropped_as_replicas_fill() {
    let thresholds: Vec<_> = (0..50).map(confidence_threshold).collect();
    assert!(thresholds.is_sorted_by(|left, right| left >= right));
    assert!(thresholds[0] > 0.0 && thresholds[49] == 0.0);
}

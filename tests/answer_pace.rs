//! Pace of answers, and the limits from which an answer counts as slow.

use std::time::Duration;

use tokio::time::Instant;
use yuccareel::relay::answer_pace::AnswerPace;
use yuccareel::relay::pace_baseline::{PaceBaseline, PaceLimits, PaceObjective};

const OBJECTIVE: PaceObjective = PaceObjective {
    time_to_first_event: Duration::from_millis(4_000),
    event_interval: Duration::from_millis(1_500),
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against limits that no answer or every answer exceeds: after fast or slow answers, after
/// one event, and without any.
#[test]
fn limits_follow_the_usual_pace_between_bounds() {
    struct LimitCase {
        name: &'static str,
        /// Time to the first event and interval of each former answer, in milliseconds.
        answers: Vec<(u64, Option<u64>)>,
        limits_ms: (u64, u64),
    }
    let cases = [
        LimitCase { name: "no answers", answers: vec![], limits_ms: (1_333, 500) },
        LimitCase { name: "usual", answers: vec![(300, Some(40)); 50], limits_ms: (1_200, 160) },
        LimitCase { name: "fast", answers: vec![(1, Some(1)); 50], limits_ms: (500, 75) },
        LimitCase {
            name: "slow",
            answers: vec![(9_000, Some(5_000)); 50],
            limits_ms: (4_000, 1_500),
        },
        LimitCase { name: "single events", answers: vec![(300, None)], limits_ms: (1_200, 500) },
    ];
    for LimitCase { name, answers, limits_ms } in cases {
        let mut baseline = PaceBaseline::default();
        for (first_ms, interval_ms) in answers {
            baseline.record(ms(first_ms), interval_ms.map(ms));
        }
        let limits = baseline.limits(&OBJECTIVE);
        let limits = (limits.time_to_first_event.as_millis(), limits.event_interval.as_millis());
        assert_eq!(limits, (u128::from(limits_ms.0), u128::from(limits_ms.1)), "{name}");
    }
}

/// Guards against a slow answer that counts only once it ends, and against judging an answer twice.
#[test]
fn answers_are_judged_once_and_as_soon_as_their_pace_shows() {
    struct PaceCase {
        name: &'static str,
        /// Times of the events after the request, in milliseconds.
        events_ms: Vec<u64>,
        /// Index of the event at which the answer is judged, and whether it is slow.
        judgement: Option<(usize, bool)>,
        is_slow_at_end: bool,
    }
    let cases = [
        PaceCase {
            name: "late start",
            events_ms: vec![1_300, 1_310],
            judgement: Some((0, true)),
            is_slow_at_end: true,
        },
        PaceCase {
            name: "slow events",
            events_ms: vec![100, 600, 1_100],
            judgement: Some((1, true)),
            is_slow_at_end: true,
        },
        PaceCase {
            name: "usual pace",
            events_ms: vec![100, 140, 180, 220, 260],
            judgement: Some((3, false)),
            is_slow_at_end: false,
        },
        PaceCase {
            name: "slow after its first events",
            events_ms: vec![100, 140, 180, 220, 3_000],
            judgement: Some((3, false)),
            is_slow_at_end: true,
        },
        PaceCase {
            name: "too short",
            events_ms: vec![100, 140],
            judgement: None,
            is_slow_at_end: false,
        },
    ];
    let limits = PaceLimits { time_to_first_event: ms(1_200), event_interval: ms(160) };
    let sent_at = Instant::now();
    for PaceCase { name, events_ms, judgement, is_slow_at_end } in cases {
        let mut pace = AnswerPace::start(sent_at);
        let mut judged = Vec::new();
        for (index, event_ms) in events_ms.iter().enumerate() {
            pace.record_event(sent_at + ms(*event_ms));
            judged.extend(pace.judge(&limits).map(|is_slow| (index, is_slow)));
        }
        assert_eq!(judged, Vec::from_iter(judgement), "{name}");
        assert_eq!(pace.is_slow(&limits), is_slow_at_end, "{name}");
        assert_eq!(pace.judgement(), judgement.map(|(_, is_slow)| is_slow), "{name}");
    }
}

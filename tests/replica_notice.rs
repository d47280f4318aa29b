//! Willingness of replicas by their own answers, with time as a value.

use std::time::{Duration, SystemTime};

use tokio::time::Instant;
use yuccareel::relay::replica_notice::{AnswerNotice, NoticeChange, ReplicaNotice};
use yuccareel::retry_after;

enum Step {
    /// An answer asked for a pause of so many milliseconds.
    Pause(u64, u64),
    Leaving(u64),
    /// A request was sent.
    Send(u64),
    /// The replica served a request that was sent at the second time.
    Served(u64, u64),
    /// Whether a request may be sent, given those in flight.
    Expect(u64, u32, bool),
    /// Time until the next request, in milliseconds.
    TimeLeft(u64, Option<u64>),
}

struct NoticeCase {
    name: &'static str,
    steps: Vec<Step>,
}

const HOUR_MS: u64 = 3_600_000;

/// Guards against requests to a replica that wants none, against one that is lost for a long pause or
/// for ever, and against a burst when a common pause ends.
#[test]
fn notices_decide_whether_a_replica_gets_requests() {
    use Step::{Expect, Leaving, Pause, Send, Served, TimeLeft};
    let cases = [
        NoticeCase {
            name: "no notice",
            steps: vec![Expect(0, 1_000, true), Send(0), TimeLeft(0, None)],
        },
        NoticeCase {
            name: "leaving for good, whatever is served",
            steps: vec![
                Leaving(0),
                Expect(1, 0, false),
                Served(100, 50),
                Expect(HOUR_MS, 0, false),
                TimeLeft(1, None),
            ],
        },
        NoticeCase {
            name: "pause, then one request at a time, then more",
            steps: vec![
                Pause(0, 2_000),
                Expect(1_999, 0, false),
                TimeLeft(500, Some(1_500)),
                Expect(2_000, 0, true),
                Send(2_000),
                Expect(2_001, 1, false),
                Served(2_100, 2_000),
                Expect(2_101, 1, true),
                Expect(2_101, 2, false),
                Served(2_200, 2_101),
                Expect(2_201, 3, true),
            ],
        },
        NoticeCase {
            name: "an answer to a request from before the pause ends nothing",
            steps: vec![
                Send(0),
                Pause(100, 2_000),
                Served(200, 0),
                Expect(300, 0, false),
                Expect(2_200, 0, true),
                Expect(2_200, 1, false),
            ],
        },
        NoticeCase {
            name: "a shorter pause does not end a longer one",
            steps: vec![Pause(0, 5_000), Pause(100, 500), Expect(4_000, 0, false)],
        },
        NoticeCase {
            name: "an hour is tried twice at the most",
            steps: vec![
                Pause(0, HOUR_MS),
                Expect(59_000, 0, false),
                Expect(60_000, 0, true),
                Send(60_000),
                Expect(60_001, 0, false),
                Expect(500_000, 0, false),
                Expect(540_000, 0, true),
                Send(540_000),
                Expect(HOUR_MS - 1, 0, false),
                Expect(HOUR_MS, 0, true),
            ],
        },
        NoticeCase {
            name: "a trial that is served ends the pause",
            steps: vec![
                Pause(0, HOUR_MS),
                Send(60_000),
                Served(60_100, 60_000),
                Expect(60_200, 1, true),
            ],
        },
        NoticeCase {
            name: "a refused trial does not restart the trials",
            steps: vec![
                Pause(0, HOUR_MS),
                Send(60_000),
                Pause(60_010, HOUR_MS),
                Expect(120_100, 0, false),
                Expect(540_000, 0, true),
                Send(540_000),
                Pause(540_010, HOUR_MS),
                Expect(HOUR_MS, 0, false),
                Expect(540_010 + HOUR_MS, 0, true),
            ],
        },
    ];
    for NoticeCase { name, steps } in cases {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut notice = ReplicaNotice::default();
        for step in steps {
            match step {
                Pause(ms, pause_ms) => {
                    let pause = Some(Duration::from_millis(pause_ms));
                    notice.apply(AnswerNotice { is_leaving: false, pause }, at(ms));
                }
                Leaving(ms) => {
                    notice.apply(AnswerNotice { is_leaving: true, pause: None }, at(ms));
                }
                Send(ms) => notice.record_send(at(ms)),
                Served(ms, sent_ms) => {
                    notice.record_served(at(sent_ms), at(ms));
                }
                Expect(ms, in_flight, allowed) => {
                    let context = format!("{name}: {in_flight} in flight at {ms} ms");
                    assert_eq!(notice.allows(in_flight, at(ms)), allowed, "{context}");
                }
                TimeLeft(ms, left_ms) => {
                    let left = notice.time_left(at(ms));
                    assert_eq!(left, left_ms.map(Duration::from_millis), "{name} at {ms} ms");
                }
            }
        }
    }
}

/// Guards against log lines for each of many refusals, and against none when a replica is used
/// again.
#[test]
fn changes_are_reported_once() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let pause = AnswerNotice { is_leaving: false, pause: Some(Duration::from_secs(2)) };
    let leaving = AnswerNotice { is_leaving: true, pause: None };
    let mut notice = ReplicaNotice::default();
    let paused = NoticeChange::Paused(Duration::from_secs(2));
    assert_eq!(notice.apply(pause, at(0)), Some(paused));
    assert_eq!(notice.apply(pause, at(10)), None);
    assert_eq!(notice.record_served(at(5), at(20)), None);
    let resumed = NoticeChange::Resumed(Duration::from_millis(2_100));
    assert_eq!(notice.record_served(at(2_050), at(2_100)), Some(resumed));
    assert_eq!(notice.record_served(at(2_150), at(2_200)), None);
    assert_eq!(notice.apply(leaving, at(2_300)), Some(NoticeChange::Leaving));
    assert_eq!(notice.apply(leaving, at(2_400)), None);
}

/// Guards against a value of another writer that is taken for a time, or ends the process.
#[test]
fn retry_after_takes_seconds_and_dates() {
    struct ValueCase {
        value: &'static str,
        time_ms: Option<u64>,
    }
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_770);
    let cases = [
        ValueCase { value: "2", time_ms: Some(2_000) },
        ValueCase { value: " 0.25 ", time_ms: Some(250) },
        ValueCase { value: ".5", time_ms: Some(500) },
        ValueCase { value: "0", time_ms: None },
        ValueCase { value: "-3", time_ms: None },
        ValueCase { value: "", time_ms: None },
        ValueCase { value: "soon", time_ms: None },
        ValueCase { value: "1.2.3", time_ms: None },
        ValueCase { value: "1e9", time_ms: None },
        ValueCase { value: "NaN", time_ms: None },
        ValueCase { value: "inf", time_ms: None },
        ValueCase { value: "99999999999999999999999999", time_ms: Some(HOUR_MS) },
        ValueCase { value: "Sun, 06 Nov 1994 08:49:37 GMT", time_ms: Some(7_000) },
        ValueCase { value: "Sun, 06 Nov 1994 08:49:00 GMT", time_ms: None },
        ValueCase { value: "Sat, 06 Nov 2094 08:49:37 GMT", time_ms: Some(HOUR_MS) },
        ValueCase { value: "Someday, 06 Nov 1994", time_ms: None },
    ];
    for ValueCase { value, time_ms } in cases {
        let time = retry_after::parse(value, now);
        assert_eq!(time, time_ms.map(Duration::from_millis), "{value:?}");
    }
}

//! Warm-up state of a replica and the signals that change it.

mod fixtures;

use fixtures::ms;
use yuccareel::cold_start::{AnswerCount, FirstTokenTime, WarmupBounds, WarmupSignal, WarmupState};

fn boot_report(boot: &str, cold: bool) -> WarmupSignal {
    WarmupSignal::Report { boot: boot.into(), cold }
}

/// Guards against a cold replica that gets the load of a warm one, and against a replica that
/// counts as cold forever.
#[test]
fn signals_change_the_limit() {
    use WarmupSignal as Signal;
    struct Case {
        name: &'static str,
        signals: Vec<(u64, Signal)>,
        limit: u32,
    }
    let warm = || (0, boot_report("b1", false));
    fn case(name: &'static str, signals: Vec<(u64, Signal)>, limit: u32) -> Case {
        Case { name, signals, limit }
    }
    let cases = [
        case("unknown", vec![], 2),
        case("one answer short", vec![(0, Signal::Answers(1))], 2),
        case("doubled", vec![(0, Signal::Answers(2))], 4),
        case("doubled twice", vec![(0, Signal::Answers(6))], 8),
        case("at most warm", vec![(0, Signal::Answers(1_000))], 20),
        case("warm report", vec![warm()], 20),
        case("first boot id", vec![(0, Signal::Boot("b1".into()))], 2),
        case("same boot id", vec![warm(), (1, Signal::Boot("b1".into()))], 20),
        case("new boot id", vec![warm(), (1, Signal::Boot("b2".into()))], 2),
        case("refused", vec![warm(), (1, Signal::Refused)], 2),
        case("slow first token", vec![warm(), (1, Signal::SlowFirstToken)], 2),
        case("returned", vec![warm(), (1, Signal::Returned)], 2),
        case("cold report", vec![warm(), (1, boot_report("b1", true))], 2),
        case("report of a new boot", vec![warm(), (1, boot_report("b2", false))], 2),
        case(
            "late report of the previous boot",
            vec![warm(), (1, Signal::Boot("b2".into())), (2, boot_report("b1", false))],
            2,
        ),
        case(
            "report within the lag",
            vec![warm(), (1, Signal::Refused), (2_000, boot_report("b1", false))],
            2,
        ),
        case(
            "report after the lag",
            vec![warm(), (1, Signal::Refused), (2_001, boot_report("b1", false))],
            20,
        ),
        case(
            "cold report while warming up",
            vec![
                (0, boot_report("b1", true)),
                (1, Signal::Answers(2)),
                (2, boot_report("b1", true)),
            ],
            2,
        ),
        case(
            "answers without recent reports",
            vec![(0, boot_report("b1", true)), (5_000, Signal::Answers(2))],
            4,
        ),
        case(
            "answers after recent reports",
            vec![(0, boot_report("b1", true)), (4_999, Signal::Answers(2))],
            2,
        ),
    ];
    for case in cases {
        let mut state = WarmupState::new(WarmupBounds { cold: 2, warm: 20 });
        for (at_ms, signal) in case.signals {
            state.apply(signal, ms(at_ms));
        }
        assert_eq!(state.concurrency_limit(), case.limit, "{}", case.name);
        assert_eq!(state.is_cold(), case.limit < 20, "{}", case.name);
    }
}

/// Guards against a mean time to the first token that slow answers of a cold replica raise, and
/// against one that is compared before it has enough samples.
#[test]
fn slow_first_tokens_are_detected() {
    struct Case {
        name: &'static str,
        samples_ms: Vec<u64>,
        slow: bool,
    }
    fn case(name: &'static str, samples_ms: Vec<u64>, slow: bool) -> Case {
        Case { name, samples_ms, slow }
    }
    let cases = [
        case("too few samples", vec![100, 900], false),
        case("within 4 times", [vec![100; 8], vec![400]].concat(), false),
        case("over 4 times", [vec![100; 8], vec![401]].concat(), true),
        // Scheduler delays alone reach 4 times a mean of a few milliseconds.
        case("at the minimum slow time", [vec![6; 8], vec![100]].concat(), false),
        case("over the minimum slow time", [vec![6; 8], vec![101]].concat(), true),
        case("slow ones do not enter the mean", [vec![100; 8], vec![900; 50]].concat(), true),
        case(
            "mean follows gradual change",
            [vec![100; 8], vec![300; 50], vec![900]].concat(),
            false,
        ),
    ];
    for case in cases {
        let mut first_token_time = FirstTokenTime::default();
        let slow = case.samples_ms.iter().map(|sample| first_token_time.record(ms(*sample))).last();
        assert_eq!(slow, Some(case.slow), "{}", case.name);
    }
}

/// Guards against answers of an old engine process that raise the limit of a new one.
#[test]
fn answers_count_for_their_epoch() {
    let mut count = AnswerCount::default();
    for (sent_epoch, current_epoch, answers) in
        [(1, 1, 1), (1, 1, 2), (1, 2, 0), (2, 2, 1), (1, 2, 1)]
    {
        count.record(sent_epoch, current_epoch);
        assert_eq!(count, AnswerCount { epoch: current_epoch, answers });
    }
}

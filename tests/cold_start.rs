//! Warm-up state machine and the signs by which a replica turns cold again.

mod fixtures;

use fixtures::ms;
use yuccareel::cold_start::{AnswerCount, FirstTokenTime, WarmupBounds, WarmupSign, WarmupState};

fn boot_report(boot: &str, cold: bool) -> WarmupSign {
    WarmupSign::Report { boot: boot.into(), cold }
}

/// Guards against a replica that is loaded as warm while it is cold, or stays cold for good.
#[test]
fn signs_move_the_limit() {
    use WarmupSign as Sign;
    struct Case {
        name: &'static str,
        signs: Vec<(u64, Sign)>,
        limit: u32,
    }
    let warm = || (0, boot_report("b1", false));
    let cases = [
        Case { name: "unknown", signs: vec![], limit: 2 },
        Case { name: "one answer short", signs: vec![(0, Sign::Answers(1))], limit: 2 },
        Case { name: "doubled", signs: vec![(0, Sign::Answers(2))], limit: 4 },
        Case { name: "doubled twice", signs: vec![(0, Sign::Answers(6))], limit: 8 },
        Case { name: "at most warm", signs: vec![(0, Sign::Answers(1_000))], limit: 20 },
        Case { name: "warm report", signs: vec![warm()], limit: 20 },
        Case { name: "first boot id", signs: vec![(0, Sign::Boot("b1".into()))], limit: 2 },
        Case { name: "same boot id", signs: vec![warm(), (1, Sign::Boot("b1".into()))], limit: 20 },
        Case { name: "new boot id", signs: vec![warm(), (1, Sign::Boot("b2".into()))], limit: 2 },
        Case { name: "refused", signs: vec![warm(), (1, Sign::Refused)], limit: 2 },
        Case { name: "slow first token", signs: vec![warm(), (1, Sign::SlowFirstToken)], limit: 2 },
        Case { name: "returned", signs: vec![warm(), (1, Sign::Returned)], limit: 2 },
        Case { name: "cold report", signs: vec![warm(), (1, boot_report("b1", true))], limit: 2 },
        Case {
            name: "report of a new boot",
            signs: vec![warm(), (1, boot_report("b2", false))],
            limit: 2,
        },
        Case {
            name: "late report of the former boot",
            signs: vec![warm(), (1, Sign::Boot("b2".into())), (2, boot_report("b1", false))],
            limit: 2,
        },
        Case {
            name: "report within the lag",
            signs: vec![warm(), (1, Sign::Refused), (2_000, boot_report("b1", false))],
            limit: 2,
        },
        Case {
            name: "report after the lag",
            signs: vec![warm(), (1, Sign::Refused), (2_001, boot_report("b1", false))],
            limit: 20,
        },
        Case {
            name: "cold report while warming up",
            signs: vec![
                (0, boot_report("b1", true)),
                (1, Sign::Answers(2)),
                (2, boot_report("b1", true)),
            ],
            limit: 4,
        },
    ];
    for case in cases {
        let mut state = WarmupState::new(WarmupBounds { cold: 2, warm: 20 });
        for (at_ms, sign) in case.signs {
            state.apply(sign, ms(at_ms));
        }
        assert_eq!(state.limit(), case.limit, "{}", case.name);
        assert_eq!(state.cold(), case.limit < 20, "{}", case.name);
    }
}

/// Guards against a learned time that a cold replica raises, or that reacts to its first samples.
#[test]
fn slow_first_token_is_noticed() {
    struct Case {
        name: &'static str,
        samples_ms: Vec<u64>,
        slow: bool,
    }
    let cases = [
        Case { name: "nothing learned", samples_ms: vec![100, 900], slow: false },
        Case {
            name: "within 4 times",
            samples_ms: [vec![100; 8], vec![400]].concat(),
            slow: false,
        },
        Case { name: "over 4 times", samples_ms: [vec![100; 8], vec![401]].concat(), slow: true },
        // A delay of the scheduler alone reaches 4 times a few milliseconds.
        Case {
            name: "fast all the same",
            samples_ms: [vec![6; 8], vec![100]].concat(),
            slow: false,
        },
        Case { name: "over the least", samples_ms: [vec![6; 8], vec![101]].concat(), slow: true },
        Case {
            name: "slow ones are not learned",
            samples_ms: [vec![100; 8], vec![900; 50]].concat(),
            slow: true,
        },
        Case {
            name: "gradual change is learned",
            samples_ms: [vec![100; 8], vec![300; 50], vec![900]].concat(),
            slow: false,
        },
    ];
    for case in cases {
        let mut time = FirstTokenTime::default();
        let slow = case.samples_ms.iter().map(|sample| time.record(ms(*sample))).last();
        assert_eq!(slow, Some(case.slow), "{}", case.name);
    }
}

/// Guards against answers of a former engine process that warm up a new one.
#[test]
fn answers_count_for_their_epoch() {
    let mut count = AnswerCount::default();
    for (sent_in, current, answers) in [(1, 1, 1), (1, 1, 2), (1, 2, 0), (2, 2, 1), (1, 2, 1)] {
        count.record(sent_in, current);
        assert_eq!(count, AnswerCount { epoch: current, answers });
    }
}

//! Which failed attempts may be repeated, and how many.

use yuccareel::retry_budget::{
    AttemptProgress, MAX_ATTEMPTS, RetryBudget, RetryDecision, decide_retry,
};
use yuccareel::retry_reason::RetryReason;

/// Guards against a second run of a call that must not be repeated, and against doubled answers.
#[test]
fn verdict_by_progress() {
    use RetryDecision::{DoNotRetry, Resume, RetryOutsideBudget, RetryWithinBudget};
    use RetryReason as Reason;
    struct Case {
        progress: AttemptProgress,
        repeatable: bool,
        expected: fn(Reason) -> RetryDecision,
    }
    let not_sent = |reason| match reason {
        Reason::ConnectFailed | Reason::VersionNotServed => RetryOutsideBudget,
        _ => RetryWithinBudget,
    };
    let cases = [
        Case { progress: AttemptProgress::NotSent, repeatable: false, expected: not_sent },
        Case { progress: AttemptProgress::NotSent, repeatable: true, expected: not_sent },
        Case { progress: AttemptProgress::MaybeSent, repeatable: false, expected: |_| DoNotRetry },
        Case {
            progress: AttemptProgress::MaybeSent,
            repeatable: true,
            expected: |_| RetryWithinBudget,
        },
        Case {
            progress: AttemptProgress::AnswerStarted,
            repeatable: false,
            expected: |_| DoNotRetry,
        },
        Case {
            progress: AttemptProgress::AnswerStarted,
            repeatable: true,
            expected: |reason| match reason {
                Reason::ProgressTimeout | Reason::StreamTruncated | Reason::AnswerMismatched => {
                    Resume
                }
                _ => DoNotRetry,
            },
        },
    ];
    for case in cases {
        for reason in Reason::ALL {
            let name = format!("{reason:?} {:?} {}", case.progress, case.repeatable);
            let given = decide_retry(reason, case.repeatable, case.progress, 1);
            assert_eq!(given, (case.expected)(reason), "{name}");
            let last = decide_retry(reason, case.repeatable, case.progress, MAX_ATTEMPTS);
            assert_eq!(last, DoNotRetry, "{name}");
        }
    }
}

/// Guards against retries beyond a tenth of the first attempts, for a customer or a server.
#[test]
fn retries_are_a_tenth_of_first_attempts() {
    struct Case {
        name: &'static str,
        first: u32,
        tries: u32,
        other_backend: bool,
        allowed: u32,
    }
    let cases = [
        Case { name: "first one", first: 1, tries: 5, other_backend: false, allowed: 1 },
        Case { name: "tenth", first: 50, tries: 50, other_backend: false, allowed: 6 },
        Case { name: "saved at most", first: 10_000, tries: 50, other_backend: false, allowed: 10 },
        Case { name: "new backend", first: 10_000, tries: 50, other_backend: true, allowed: 1 },
    ];
    for case in cases {
        let mut budget = RetryBudget::default();
        let (customer, backend) = ("c".into(), "b".into());
        (0..case.first).for_each(|_| budget.record_first_attempt(&customer, &backend));
        let target = if case.other_backend { "x".into() } else { backend };
        let allowed = (0..case.tries).filter(|_| budget.try_take_retry(&customer, &target)).count();
        assert_eq!(allowed as u32, case.allowed, "{}", case.name);
    }
}

/// Guards against retries that add up beyond a tenth in the long run.
#[test]
fn constant_failure_sends_a_tenth_more() {
    let mut budget = RetryBudget::default();
    let backends = ["b0".into(), "b1".into(), "b2".into()];
    let mut retries = 0;
    for round in 0..30_000 {
        budget.record_first_attempt(&"c".into(), &backends[round % 3]);
        retries += usize::from(budget.try_take_retry(&"c".into(), &backends[(round + 1) % 3]));
    }
    assert!((2_900..=3_001).contains(&retries), "{retries} retries");
}

//! Decisions on retries, and the budget that limits them.

use yuccareel::retry_budget::{
    AttemptProgress, MAX_ATTEMPTS, RetryBudget, RetryDecision, decide_retry,
};
use yuccareel::retry_reason::RetryReason;

/// Guards against a second run of a call that is not repeatable, and against parts of an answer
/// that are sent twice.
#[test]
fn retry_decision_follows_progress() {
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
            let decision = decide_retry(reason, case.repeatable, case.progress, 1);
            assert_eq!(decision, (case.expected)(reason), "{name}");
            let last = decide_retry(reason, case.repeatable, case.progress, MAX_ATTEMPTS);
            assert_eq!(last, DoNotRetry, "{name}");
        }
    }
}

/// Guards against retries beyond a tenth of the first attempts of a customer or of a server.
#[test]
fn retries_are_a_tenth_of_first_attempts() {
    struct Case {
        name: &'static str,
        first_attempts: u32,
        retries: u32,
        is_other_backend: bool,
        allowed: u32,
    }
    let cases = [
        Case {
            name: "initial balance",
            first_attempts: 1,
            retries: 5,
            is_other_backend: false,
            allowed: 1,
        },
        Case {
            name: "a tenth",
            first_attempts: 50,
            retries: 50,
            is_other_backend: false,
            allowed: 6,
        },
        Case {
            name: "maximum balance",
            first_attempts: 10_000,
            retries: 50,
            is_other_backend: false,
            allowed: 10,
        },
        Case {
            name: "new backend",
            first_attempts: 10_000,
            retries: 50,
            is_other_backend: true,
            allowed: 1,
        },
    ];
    for case in cases {
        let mut budget = RetryBudget::default();
        let (customer, backend) = ("c".into(), "b".into());
        (0..case.first_attempts).for_each(|_| budget.record_first_attempt(&customer, &backend));
        let target = if case.is_other_backend { "x".into() } else { backend };
        let allowed =
            (0..case.retries).filter(|_| budget.try_take_retry(&customer, &target)).count();
        assert_eq!(allowed as u32, case.allowed, "{}", case.name);
    }
}

/// Guards against retries that exceed a tenth of the first attempts in the long run.
#[test]
fn constant_failure_adds_a_tenth_of_retries() {
    let mut budget = RetryBudget::default();
    let backends = ["b0".into(), "b1".into(), "b2".into()];
    let mut retries = 0;
    for round in 0..30_000 {
        budget.record_first_attempt(&"c".into(), &backends[round % 3]);
        retries += usize::from(budget.try_take_retry(&"c".into(), &backends[(round + 1) % 3]));
    }
    assert!((2_900..=3_001).contains(&retries), "{retries} retries");
}

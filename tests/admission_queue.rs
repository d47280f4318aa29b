//! Fair shares, lanes, bounds and deadlines of the admission queue.

mod fixtures;

use std::collections::HashMap;
use std::time::Duration;

use fixtures::ms;
use yuccareel::admission_queue::{AdmissionQueue, QueueOutcome, QueuedRequest, RequestLane};
use yuccareel::refusal_reason::RefusalReason;

const FAR: Duration = Duration::from_secs(3_600);

fn request(customer: &str, lane: RequestLane, deadline: Duration, cost: u32) -> QueuedRequest<u32> {
    QueuedRequest {
        customer: customer.into(),
        lane,
        deadline,
        expected_duration: ms(100),
        cost,
        payload: 0,
    }
}

fn queue(weights: &[(&str, u32)], bound: usize) -> AdmissionQueue<u32> {
    AdmissionQueue::new(
        bound,
        weights.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
    )
}

/// Dispatched work by customer and lane.
fn drain(queue: &mut AdmissionQueue<u32>, pops: usize) -> HashMap<(String, RequestLane), u32> {
    let mut work = HashMap::new();
    for _ in 0..pops {
        if let Some(QueueOutcome::Dispatch(request)) = queue.pop(Duration::ZERO) {
            *work.entry((request.customer.to_string(), request.lane)).or_default() += request.cost;
        }
    }
    work
}

/// Guards against a customer or a lane that takes more than its part, or that starves.
#[test]
fn work_is_divided_by_weight_and_lane() {
    use RequestLane::{Batch, Interactive};
    struct Case {
        name: &'static str,
        queued: &'static [(&'static str, RequestLane, u32, usize)],
        pops: usize,
        expected: &'static [(&'static str, RequestLane, u32)],
    }
    let cases = [
        Case {
            name: "weights",
            queued: &[("a", Interactive, 1, 500), ("b", Interactive, 1, 500)],
            pops: 400,
            expected: &[("a", Interactive, 300), ("b", Interactive, 100)],
        },
        Case {
            name: "large requests cost more",
            queued: &[("a", Interactive, 6, 500), ("b", Interactive, 1, 500)],
            pops: 300,
            expected: &[("a", Interactive, 600), ("b", Interactive, 200)],
        },
        Case {
            name: "lanes",
            queued: &[("a", Batch, 1, 500), ("b", Interactive, 1, 500)],
            pops: 300,
            expected: &[("a", Batch, 30), ("b", Interactive, 270)],
        },
        Case {
            name: "batch alone",
            queued: &[("a", Batch, 1, 500)],
            pops: 300,
            expected: &[("a", Batch, 300)],
        },
    ];
    for case in cases {
        let mut queue = queue(&[("a", 3), ("b", 1)], 4_000);
        for &(customer, lane, cost, count) in case.queued {
            (0..count).for_each(|_| {
                queue.push(request(customer, lane, FAR, cost), Duration::ZERO).unwrap();
            });
        }
        let work = drain(&mut queue, case.pops);
        assert_eq!(work.len(), case.expected.len(), "{}: {work:?}", case.name);
        for (customer, lane, expected) in case.expected {
            let given = work[&((*customer).to_owned(), *lane)];
            assert!(given.abs_diff(*expected) <= 6, "{}: {customer} {given}", case.name);
        }
    }
}

/// Guards against a queue that grows without bound or that one customer fills alone.
#[test]
fn bound_is_divided_by_weight() {
    let mut queue = queue(&[("a", 3), ("b", 1)], 40);
    for (customer, admitted) in [("a", 30), ("b", 10), ("unknown", 10)] {
        let pushes = (0..100).map(|_| {
            queue.push(request(customer, RequestLane::Interactive, FAR, 1), Duration::ZERO)
        });
        let (passed, refused): (Vec<_>, Vec<_>) = pushes.partition(Result::is_ok);
        assert_eq!(passed.len(), admitted, "{customer}");
        assert!(refused.iter().all(|refusal| {
            refusal.as_ref().is_err_and(|refusal| {
                refusal.reason == RefusalReason::Overloaded && refusal.retry_after >= ms(1_000)
            })
        }));
    }
}

/// Guards against requests that wait in vain, and against refusals of those that would be served.
#[test]
fn deadline_decides_at_arrival() {
    struct Case {
        name: &'static str,
        customer: &'static str,
        lane: RequestLane,
        deadline_ms: u64,
        passes: bool,
    }
    // 20 requests of customer a wait, served at 10 per second.
    fn case(
        name: &'static str,
        customer: &'static str,
        lane: RequestLane,
        deadline_ms: u64,
        passes: bool,
    ) -> Case {
        Case { name, customer, lane, deadline_ms, passes }
    }
    let cases = [
        case("enough time", "a", RequestLane::Interactive, 3_000, true),
        case("too little", "a", RequestLane::Interactive, 1_500, false),
        case("own queue short", "b", RequestLane::Interactive, 1_500, true),
        case("batch behind interactive", "b", RequestLane::Batch, 150, false),
        case("shorter than the answer", "b", RequestLane::Interactive, 50, false),
    ];
    for case in cases {
        let mut queue = queue(&[("a", 1), ("b", 1)], 1_000);
        let push = |queue: &mut AdmissionQueue<u32>, now| {
            queue.push(request("a", RequestLane::Interactive, FAR, 1), now).unwrap();
        };
        (0..20).for_each(|_| push(&mut queue, Duration::ZERO));
        let mut now = Duration::ZERO;
        for step in 1..100 {
            now = ms(step * 100);
            assert!(queue.pop(now).is_some());
            push(&mut queue, now);
        }
        let request = request(case.customer, case.lane, now + ms(case.deadline_ms), 1);
        let outcome = queue.push(request, now);
        assert_eq!(outcome.is_ok(), case.passes, "{}", case.name);
        if let Err(refusal) = outcome {
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            assert!(refusal.retry_after >= ms(1_000), "{:?}", refusal.retry_after);
        }
    }
}

/// Guards against an instance that measures a rate of 0 while it waits for its first shares, and
/// refuses the requests that come after them.
#[test]
fn first_shares_come_late() {
    for (stalled_ms, passes) in [(400, true), (1_500, true), (2_500, false)] {
        let mut queue = queue(&[("a", 1)], 1_000);
        queue.push(request("a", RequestLane::Interactive, FAR, 1), Duration::ZERO).unwrap();
        for step in 1..=stalled_ms / 100 {
            let taken = queue.pop(ms(step * 100));
            if let Some(QueueOutcome::Dispatch(request)) = taken {
                queue.undo_pop(request);
            }
        }
        let now = ms(stalled_ms + 10);
        let waits = request("a", RequestLane::Interactive, now + ms(5_000), 1);
        assert_eq!(queue.push(waits, now).is_ok(), passes, "{stalled_ms} ms");
    }
}

/// Guards against a stalled pool whose queue stays full of requests that were given up or can no
/// longer be answered, so that all that follow are refused.
#[test]
fn waiting_requests_that_need_no_dispatch_make_room() {
    let mut queue = queue(&[("a", 1)], 3);
    let near = request("a", RequestLane::Interactive, ms(1_000), 1);
    let gone = QueuedRequest { payload: 1, ..request("a", RequestLane::Batch, FAR, 1) };
    for waiting in [near, gone, request("a", RequestLane::Interactive, FAR, 1)] {
        queue.push(waiting, Duration::ZERO).unwrap();
    }
    assert!(queue.push(request("a", RequestLane::Batch, FAR, 1), ms(10)).is_err());
    queue.remove_abandoned(|payload| *payload == 1);
    assert_eq!(queue.len(), 2);
    assert!(queue.refuse_late(ms(890)).is_empty());
    let late = queue.refuse_late(ms(950));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].reason, RefusalReason::Overloaded);
    assert_eq!(queue.len(), 1);
    queue.push(request("a", RequestLane::Batch, FAR, 1), ms(960)).unwrap();
}

/// Guards against work on an answer that comes too late, and against a lost restored request.
#[test]
fn late_requests_are_refused_at_dispatch() {
    let push = |queue: &mut AdmissionQueue<u32>| {
        let request = request("a", RequestLane::Interactive, ms(1_000), 1);
        queue.push(request, Duration::ZERO).unwrap();
    };
    let cases = [
        (900, None),
        (901, Some(RefusalReason::Overloaded)),
        (1_000, Some(RefusalReason::DeadlineExceeded)),
    ];
    for (now_ms, reason) in cases {
        let mut queue = queue(&[], 10);
        push(&mut queue);
        match queue.pop(ms(now_ms)) {
            Some(QueueOutcome::Dispatch(request)) => {
                assert_eq!(reason, None);
                queue.undo_pop(request);
                assert_eq!(queue.len(), 1);
                assert!(matches!(queue.pop(ms(now_ms)), Some(QueueOutcome::Dispatch(_))));
            }
            Some(QueueOutcome::Refuse(refusal)) => assert_eq!(Some(refusal.reason), reason),
            None => panic!("the queue lost a request"),
        }
        assert!(queue.is_empty());
    }
}

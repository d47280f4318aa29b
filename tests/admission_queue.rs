//! Admission queue: weights of customers, lanes, capacity and deadlines.

mod fixtures;

use std::collections::HashMap;
use std::time::Duration;

use fixtures::ms;
use yuccareel::admission_queue::{AdmissionQueue, QueueOutcome, QueuedRequest, RequestLane};
use yuccareel::refusal_reason::RefusalReason;

const FAR_DEADLINE: Duration = Duration::from_secs(3_600);

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

fn queue(weights: &[(&str, u32)], max_requests: usize) -> AdmissionQueue<u32> {
    AdmissionQueue::new(
        max_requests,
        weights.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
    )
}

/// Pops up to `pops` requests and returns the dispatched cost by customer and lane.
fn dispatched_cost(
    queue: &mut AdmissionQueue<u32>,
    pops: usize,
) -> HashMap<(String, RequestLane), u32> {
    let mut cost = HashMap::new();
    for _ in 0..pops {
        if let Some(QueueOutcome::Dispatch(request)) = queue.pop(Duration::ZERO) {
            *cost.entry((request.customer.to_string(), request.lane)).or_default() += request.cost;
        }
    }
    cost
}

/// Guards against a customer or a lane that gets more service than it is due, or none.
#[test]
fn service_is_divided_by_weight_and_lane() {
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
        for &(customer, lane, request_cost, count) in case.queued {
            (0..count).for_each(|_| {
                queue
                    .push(request(customer, lane, FAR_DEADLINE, request_cost), Duration::ZERO)
                    .unwrap();
            });
        }
        let cost = dispatched_cost(&mut queue, case.pops);
        assert_eq!(cost.len(), case.expected.len(), "{}: {cost:?}", case.name);
        for (customer, lane, expected) in case.expected {
            let dispatched = cost[&((*customer).to_owned(), *lane)];
            assert!(dispatched.abs_diff(*expected) <= 6, "{}: {customer} {dispatched}", case.name);
        }
    }
}

/// Guards against a queue that grows without limit, and against a customer that fills it alone.
#[test]
fn capacity_is_divided_by_weight() {
    let mut queue = queue(&[("a", 3), ("b", 1)], 40);
    for (customer, admitted) in [("a", 30), ("b", 10), ("unknown", 10)] {
        let pushes = (0..100).map(|_| {
            queue.push(request(customer, RequestLane::Interactive, FAR_DEADLINE, 1), Duration::ZERO)
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

/// Guards against requests that wait although they will miss their deadline, and against refusals
/// of requests that would meet it.
#[test]
fn requests_that_would_be_late_are_refused_on_arrival() {
    struct Case {
        name: &'static str,
        customer: &'static str,
        lane: RequestLane,
        deadline_ms: u64,
        is_admitted: bool,
    }
    // 20 requests of customer a wait, served at 10 per second.
    fn case(
        name: &'static str,
        customer: &'static str,
        lane: RequestLane,
        deadline_ms: u64,
        is_admitted: bool,
    ) -> Case {
        Case { name, customer, lane, deadline_ms, is_admitted }
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
            queue.push(request("a", RequestLane::Interactive, FAR_DEADLINE, 1), now).unwrap();
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
        assert_eq!(outcome.is_ok(), case.is_admitted, "{}", case.name);
        if let Err(refusal) = outcome {
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            assert!(refusal.retry_after >= ms(1_000), "{:?}", refusal.retry_after);
        }
    }
}

/// Guards against an instance that measures a rate of 0 while it waits for its first shares, and
/// then refuses the requests that follow.
#[test]
fn requests_are_admitted_after_a_wait_for_the_first_shares() {
    for (stalled_ms, is_admitted) in [(400, true), (1_500, true), (2_500, false)] {
        let mut queue = queue(&[("a", 1)], 1_000);
        queue
            .push(request("a", RequestLane::Interactive, FAR_DEADLINE, 1), Duration::ZERO)
            .unwrap();
        for step in 1..=stalled_ms / 100 {
            let outcome = queue.pop(ms(step * 100));
            if let Some(QueueOutcome::Dispatch(request)) = outcome {
                queue.undo_pop(request);
            }
        }
        let now = ms(stalled_ms + 10);
        let late_arrival = request("a", RequestLane::Interactive, now + ms(5_000), 1);
        assert_eq!(queue.push(late_arrival, now).is_ok(), is_admitted, "{stalled_ms} ms");
    }
}

/// Guards against a stalled pool whose queue stays full of requests that were abandoned or can no
/// longer be answered in time, so that all that follow are refused.
#[test]
fn abandoned_and_late_requests_are_removed() {
    let mut queue = queue(&[("a", 1)], 3);
    let near_deadline = request("a", RequestLane::Interactive, ms(1_000), 1);
    let abandoned =
        QueuedRequest { payload: 1, ..request("a", RequestLane::Batch, FAR_DEADLINE, 1) };
    for waiting in
        [near_deadline, abandoned, request("a", RequestLane::Interactive, FAR_DEADLINE, 1)]
    {
        queue.push(waiting, Duration::ZERO).unwrap();
    }
    assert!(queue.push(request("a", RequestLane::Batch, FAR_DEADLINE, 1), ms(10)).is_err());
    queue.remove_abandoned(|payload| *payload == 1);
    assert_eq!(queue.len(), 2);
    assert!(queue.refuse_late(ms(890)).is_empty());
    let late = queue.refuse_late(ms(950));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].reason, RefusalReason::Overloaded);
    assert_eq!(queue.len(), 1);
    queue.push(request("a", RequestLane::Batch, FAR_DEADLINE, 1), ms(960)).unwrap();
}

/// Guards against the dispatch of a request whose answer would be late, and against the loss of a
/// request whose pop is undone.
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

//! Limits of a customer on one node: rate, concurrency and spend.

mod fixtures;

use std::time::Duration;

use fixtures::{customer, leased_shares, ms};
use yuccareel::customer_limits::{CustomerLimitTable, LimitCheck, LimitOutcome};
use yuccareel::quota_lease::{ShareState, ShareTable};
use yuccareel::quota_message::{GrantOutcome, ResourceKind, ShareDemand, ShareGrant, ShareReply};
use yuccareel::records::RoutingRecord;
use yuccareel::records::customer::CustomerRecord;
use yuccareel::refusal_reason::RefusalReason;

fn customer_record() -> CustomerRecord {
    match customer("c", 1, 8.0, 8) {
        RoutingRecord::Customer(record) => record,
        _ => unreachable!("the fixture is a customer"),
    }
}

fn limit_check<'a>(
    customer: &'a CustomerRecord,
    estimated_cost: u64,
    shares: &'a ShareTable,
    now: Duration,
) -> LimitCheck<'a> {
    LimitCheck { customer, estimated_cost, shares, node_count: 2, day: 1, now }
}

fn leased(amount: u64, quantity: u64) -> GrantOutcome {
    GrantOutcome::Leased { amount, quantity, cold: false, epoch: 0 }
}

/// Exchanges all demanded shares with an allocator that answers each by `grant`.
fn exchange_with(
    shares: &mut ShareTable,
    grant: impl Fn(&ShareDemand) -> GrantOutcome,
    now: Duration,
) {
    for (allocator, request) in shares.renewal_requests(now, &["home".into()]) {
        let grants = request
            .wants
            .iter()
            .map(|demand| ShareGrant { resource: demand.resource.clone(), outcome: grant(demand) });
        let reply = ShareReply { number: request.number, grants: grants.collect() };
        shares.apply_reply(&allocator, &reply);
    }
}

/// Exchanges with an allocator that grants an amount for each kind; `None` means that the node
/// is not the allocator of the kind.
fn exchange(shares: &mut ShareTable, amounts: &dyn Fn(ResourceKind) -> Option<u64>, now: Duration) {
    let grant = |demand: &ShareDemand| {
        amounts(demand.resource.kind)
            .map_or(GrantOutcome::NotAllocator, |amount| leased(amount, amount))
    };
    exchange_with(shares, grant, now);
}

/// Exchanges with an allocator that grants all demands in full.
fn grant_all(shares: &mut ShareTable, now: Duration) {
    exchange_with(shares, |demand| leased(demand.wanted, 1_000_000), now);
}

/// Guards against admissions above a share and against refusals below it.
#[test]
fn shares_limit_requests() {
    struct Case {
        name: &'static str,
        rate: Option<u64>,
        concurrency: Option<u64>,
        spend: Option<u64>,
        admitted: u32,
        reason: RefusalReason,
    }
    let cases = [
        Case {
            name: "rate",
            rate: Some(3_000),
            concurrency: Some(8),
            spend: Some(10_000),
            admitted: 3,
            reason: RefusalReason::RateLimited,
        },
        Case {
            name: "concurrency",
            rate: Some(8_000),
            concurrency: Some(2),
            spend: Some(10_000),
            admitted: 2,
            reason: RefusalReason::ConcurrencyLimited,
        },
        Case {
            name: "spend",
            rate: Some(8_000),
            concurrency: Some(8),
            spend: Some(450),
            admitted: 4,
            reason: RefusalReason::SpendLimited,
        },
        Case {
            name: "no share",
            rate: Some(0),
            concurrency: Some(8),
            spend: Some(10_000),
            admitted: 0,
            reason: RefusalReason::RateLimited,
        },
        Case {
            name: "equal part of the rate without an allocator",
            rate: None,
            concurrency: Some(8),
            spend: Some(10_000),
            admitted: 4,
            reason: RefusalReason::RateLimited,
        },
        Case {
            name: "equal part of the concurrency without an allocator",
            rate: Some(8_000),
            concurrency: None,
            spend: Some(10_000),
            admitted: 4,
            reason: RefusalReason::ConcurrencyLimited,
        },
    ];
    for case in cases {
        let mut limits = CustomerLimitTable::default();
        let mut shares = ShareTable::new("node".into(), 1);
        let record = customer_record();
        let admit = |limits: &mut CustomerLimitTable, shares: &ShareTable, now| {
            limits.admit(limit_check(&record, 100, shares, now))
        };
        assert_eq!(admit(&mut limits, &shares, ms(0)), LimitOutcome::AwaitShare, "{}", case.name);
        assert!(
            limits.record_share_use(&mut shares, 1, ms(0)),
            "{}: no exchange at once",
            case.name
        );
        let amounts = |kind| match kind {
            ResourceKind::CustomerRate => case.rate,
            ResourceKind::CustomerConcurrency => case.concurrency,
            ResourceKind::CustomerSpend => case.spend,
            ResourceKind::ReplicaConcurrency => None,
        };
        exchange(&mut shares, &amounts, ms(0));
        for _ in 0..case.admitted {
            assert_eq!(admit(&mut limits, &shares, ms(1)), LimitOutcome::Admitted, "{}", case.name);
        }
        let refused = LimitOutcome::Refused(case.reason);
        assert_eq!(admit(&mut limits, &shares, ms(1)), refused, "{}", case.name);
    }
}

/// Guards against a bucket that fills faster than its rate, and against reserved cost that is not
/// released when a request ends.
#[test]
fn tokens_refill_and_reserved_cost_is_released() {
    let record = customer_record();
    let mut limits = CustomerLimitTable::default();
    let mut table = leased_shares(ResourceKind::CustomerRate, &[("c", 2_000, 8_000, false)], ms(0));
    limits.admit(limit_check(&record, 100, &table, ms(0)));
    limits.record_share_use(&mut table, 1, ms(0));
    let amounts = |kind| Some(if kind == ResourceKind::CustomerRate { 2_000 } else { 300 });
    let mut admitted = 0;
    for step in 0..100_u64 {
        let now = ms(step * 100);
        limits.record_share_use(&mut table, 1, now);
        exchange(&mut table, &amounts, now);
        if limits.admit(limit_check(&record, 100, &table, now)) == LimitOutcome::Admitted {
            admitted += 1;
            limits.finish("c", 100, 10);
        }
    }
    // 2 at first, then 2 per second; each exchange grants more spend.
    assert!((20..=22).contains(&admitted), "{admitted} requests in 10 s");
    let state = table.share_state(ResourceKind::CustomerSpend, "c", ms(9_900));
    let ShareState::Leased { used_at_send, .. } = state else { panic!("{state:?}") };
    assert!((190..=220).contains(&used_at_send), "{used_at_send} spent");
}

/// Guards against refusals far below a limit. A share that was granted in full only reflects
/// earlier demand, so the allocator may still have more of the limit.
#[test]
fn a_share_granted_in_full_is_not_a_limit() {
    struct Case {
        name: &'static str,
        /// Percentage of the demand that the allocator grants.
        granted_percent: u64,
        outcome: LimitOutcome,
    }
    let refused = LimitOutcome::Refused(RefusalReason::RateLimited);
    let cases = [
        Case { name: "granted in full", granted_percent: 100, outcome: LimitOutcome::AwaitShare },
        Case { name: "granted partly", granted_percent: 50, outcome: refused },
    ];
    for case in cases {
        let mut limits = CustomerLimitTable::default();
        let mut shares = ShareTable::new("node".into(), 1);
        let record = customer_record();
        let exchange_all = |limits: &mut CustomerLimitTable, shares: &mut ShareTable, now| {
            limits.record_share_use(shares, 1, now);
            for (allocator, request) in shares.renewal_requests(now, &["home".into()]) {
                let grants = request.wants.iter().map(|demand| {
                    let is_rate = demand.resource.kind == ResourceKind::CustomerRate;
                    let amount =
                        if is_rate { demand.wanted * case.granted_percent / 100 } else { 1_000 };
                    let outcome =
                        GrantOutcome::Leased { amount, quantity: 1_000_000, cold: false, epoch: 0 };
                    ShareGrant { resource: demand.resource.clone(), outcome }
                });
                let reply = ShareReply { number: request.number, grants: grants.collect() };
                shares.apply_reply(&allocator, &reply);
            }
        };
        limits.admit(limit_check(&record, 100, &shares, ms(0)));
        exchange_all(&mut limits, &mut shares, ms(0));
        let mut last = LimitOutcome::Admitted;
        for _ in 0..64 {
            last = limits.admit(limit_check(&record, 100, &shares, ms(1)));
            if last != LimitOutcome::Admitted {
                break;
            }
        }
        assert_eq!(last, case.outcome, "{}", case.name);
    }
}

/// Guards against a customer with little traffic that waits for an exchange before each request.
#[test]
fn customers_with_little_traffic_keep_a_spare_share() {
    let record = customer_record();
    let mut limits = CustomerLimitTable::default();
    let mut shares = ShareTable::new("node".into(), 1);
    let mut waited = 0;
    for step in 0..40_u64 {
        let now = ms(step * 500);
        limits.record_share_use(&mut shares, 1, now);
        grant_all(&mut shares, now);
        let later = now + ms(100);
        match limits.admit(limit_check(&record, 100, &shares, later)) {
            LimitOutcome::Admitted => limits.finish("c", 100, 10),
            _ => waited += 1,
        }
    }
    assert!(waited <= 1, "{waited} of 40 requests waited for a share");
}

/// Guards against a spend share that is never requested, because the requests cost nothing and the
/// node has run longer than an idle share is renewed.
#[test]
fn requests_without_cost_get_a_share_of_spend() {
    let (record, now) = (customer_record(), ms(20_000));
    let mut limits = CustomerLimitTable::default();
    let mut shares = ShareTable::new("node".into(), 1);
    limits.admit(limit_check(&record, 0, &shares, now));
    limits.record_share_use(&mut shares, 1, now);
    exchange(&mut shares, &|_| Some(8_000), now);
    let outcome = limits.admit(limit_check(&record, 0, &shares, now + ms(1)));
    assert_eq!(outcome, LimitOutcome::Admitted);
}

/// Guards against a rate that hardly grows because a caller that waits for its share sends nothing.
#[test]
fn a_sequential_caller_gets_a_growing_rate() {
    let record = customer_record();
    let mut limits = CustomerLimitTable::default();
    let mut shares = ShareTable::new("node".into(), 1);
    let (mut answered, mut is_waiting) = (0, false);
    for step in 0..1_000_u64 {
        let now = ms(step * 5);
        let admit =
            if is_waiting { CustomerLimitTable::admit_waiting } else { CustomerLimitTable::admit };
        match admit(&mut limits, limit_check(&record, 0, &shares, now)) {
            LimitOutcome::Admitted => {
                (answered, is_waiting) = (answered + 1, false);
                limits.finish("c", 0, 0);
            }
            _ => is_waiting = true,
        }
        limits.record_share_use(&mut shares, 1, now);
        grant_all(&mut shares, now);
    }
    assert!(answered >= 500, "{answered} of 1,000 rounds answered");
}

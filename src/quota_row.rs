//! Outstanding shares of one resource, as its home counts them.
//!
//! A share counts until the home can be sure that the node no longer uses it:
//! until the node confirms a later share, or until the lease ends. Work that
//! outlives the lease counts on until the node reports its use again.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::{ids, quota_message};

/// Longest time for which unreported use counts; every request ends within it.
const STALE_MAX: Duration = Duration::from_secs(600);
/// Time after its last request for which a node's demand counts in the division.
const DEMAND_KEPT: Duration = Duration::from_secs(4);
/// Ended leases counted separately; more are merged.
const MAX_STALE: usize = 4;
/// Part of the rest that a first share may take: with a quarter, 8 nodes all get one of 64.
const FIRST_PART: u64 = 4;
/// Part of the rest by which a share may grow.
const GROWTH_PART: u64 = 2;
/// Time for which a node keeps its only unit while others wait for one.
const ROTATION: Duration = Duration::from_secs(4);

/// Outstanding shares of one resource.
#[derive(Clone, Debug)]
pub struct QuotaRow {
    kind: quota_message::ResourceKind,
    shares: BTreeMap<ids::InstanceName, NodeShare>,
    /// Requests that a load report shows beyond those that nodes have reported.
    unattributed: u64,
}

#[derive(Clone, Debug, Default)]
struct NodeShare {
    incarnation: u64,
    last_number: u64,
    wanted: u64,
    in_use: u64,
    used: u64,
    period: u64,
    asked_at: Duration,
    held_since: Option<Duration>,
    last_held: Duration,
    grants: SmallVec<[LeasedGrant; 3]>,
    stale: SmallVec<[StaleUse; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct LeasedGrant {
    number: u64,
    amount: u64,
    expires_at: Duration,
}

/// Use that may go on after the lease ended without a word from the node.
#[derive(Clone, Copy, Debug)]
struct StaleUse {
    number: u64,
    amount: u64,
    since: Duration,
    /// First reply after the lease ended; a request that follows it reports the use.
    reported_by: Option<u64>,
    /// Whether the process that held the share is gone, so that nobody can report.
    orphan: bool,
}

impl NodeShare {
    fn outstanding(&self, kind: quota_message::ResourceKind) -> u64 {
        let leased = self.grants.iter().map(|grant| grant.amount).max().unwrap_or(0);
        if !kind.outlives_lease() {
            return leased;
        }
        leased.max(self.in_use).max(self.stale_amount())
    }

    fn stale_amount(&self) -> u64 {
        self.stale.iter().map(|stale| stale.amount).max().unwrap_or(0)
    }

    fn expire(&mut self, kind: quota_message::ResourceKind, now: Duration) {
        let ended = self.grants.iter().copied().filter(|grant| now >= grant.expires_at);
        let ended: SmallVec<[LeasedGrant; 3]> = ended.collect();
        self.grants.retain(|grant| now < grant.expires_at);
        for grant in ended.into_iter().filter(|_| kind.outlives_lease()) {
            self.add_stale(grant.number, grant.amount, now, false);
        }
        if self.stale.iter().any(|stale| now >= stale.since + STALE_MAX) {
            self.stale.retain(|stale| now < stale.since + STALE_MAX);
            self.in_use = 0;
        }
    }

    fn add_stale(&mut self, number: u64, amount: u64, now: Duration, orphan: bool) {
        let mut added = StaleUse { number, amount, since: now, reported_by: None, orphan };
        if self.stale.len() == MAX_STALE {
            // Merged entries end when the last of them does, which is never too early.
            for former in self.stale.drain(..) {
                added.number = added.number.max(former.number);
                added.amount = added.amount.max(former.amount);
                added.orphan |= former.orphan;
            }
        }
        self.stale.push(added);
    }

    fn idle(&self, kind: quota_message::ResourceKind) -> bool {
        self.outstanding(kind) == 0 && self.used == 0
    }
}

impl QuotaRow {
    /// Row without shares.
    pub fn new(kind: quota_message::ResourceKind) -> Self {
        Self { kind, shares: BTreeMap::new(), unattributed: 0 }
    }

    /// Sum of all shares that may be in use.
    pub fn outstanding(&mut self, now: Duration) -> u64 {
        self.expire(now);
        let shares = self.shares.values().map(|share| share.outstanding(self.kind));
        shares.sum::<u64>() + self.unattributed
    }

    /// Counts requests of nodes that a new home has not heard from, by a load report.
    pub fn assume_unattributed(&mut self, requests: u64, now: Duration) {
        self.unattributed = 0;
        self.unattributed = requests.saturating_sub(self.outstanding(now));
    }

    /// Ends leases whose time is over and drops nodes without any trace.
    pub fn expire(&mut self, now: Duration) {
        for share in self.shares.values_mut() {
            share.expire(self.kind, now);
        }
        let kind = self.kind;
        self.shares.retain(|_, share| !share.idle(kind) || now < share.asked_at + DEMAND_KEPT);
    }

    /// Whether nothing is known of any node.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Records what a node reports; none when the request is late or repeated.
    ///
    /// Returns the growth of the node's total within the same period.
    pub fn record_demand(
        &mut self,
        request: &quota_message::ShareRequest,
        want: &quota_message::ShareDemand,
        now: Duration,
    ) -> Option<u64> {
        self.expire(now);
        let share = self.shares.entry(request.node.clone()).or_default();
        if request.incarnation < share.incarnation {
            return None;
        }
        if request.incarnation > share.incarnation {
            let former = share.outstanding(self.kind);
            let grants = std::mem::take(&mut share.grants);
            let stale = std::mem::take(&mut share.stale);
            *share = NodeShare {
                incarnation: request.incarnation,
                grants,
                stale,
                ..NodeShare::default()
            };
            if former > 0 && self.kind.outlives_lease() {
                share.add_stale(u64::MAX, former, now, true);
            }
        }
        if request.number <= share.last_number {
            return None;
        }
        share.last_number = request.number;
        confirm(share, request.applied);
        let known = if share.period == want.period { share.used } else { 0 };
        (share.wanted, share.in_use) = (want.wanted, want.in_use);
        (share.used, share.period) = (want.used, want.period);
        share.asked_at = now;
        Some(want.used.saturating_sub(known))
    }

    /// Grants a node its share of the quantity and counts it as outstanding.
    pub fn grant(&mut self, node: &str, number: u64, quantity: u64, now: Duration) -> u64 {
        let Some(share) = self.shares.get(node) else { return 0 };
        let amount = self.amount(node, share, quantity, now);
        let Some(share) = self.shares.get_mut(node) else { return 0 };
        for stale in &mut share.stale {
            stale.reported_by.get_or_insert(number);
        }
        let expires_at = now + quota_message::SHARE_LEASE_TTL;
        share.grants.push(LeasedGrant { number, amount, expires_at });
        match amount {
            0 => share.held_since = None,
            _ => {
                share.held_since.get_or_insert(now);
                share.last_held = now;
            }
        }
        amount
    }

    /// Share by demand, within what the others leave, growing by a part of the rest.
    fn amount(&self, node: &str, own: &NodeShare, quantity: u64, now: Duration) -> u64 {
        let quantity = quantity.saturating_sub(self.spent(own.period));
        let others = self.shares.iter().filter(|(name, _)| &***name != node);
        let taken: u64 = others.map(|(_, share)| share.outstanding(self.kind)).sum();
        let free = quantity.saturating_sub(taken + self.unattributed);
        let target = self.target(node, own, quantity, now);
        let current = own.grants.last().map_or(0, |grant| grant.amount).min(free);
        // A part of the rest at a time leaves first shares for nodes that ask a moment later.
        let part = if current == 0 { FIRST_PART } else { GROWTH_PART };
        target.min(current + (free - current).div_ceil(part))
    }

    /// Part of the quantity that a node's demand is due.
    fn target(&self, node: &str, own: &NodeShare, quantity: u64, now: Duration) -> u64 {
        let asking = || {
            let shares = self.shares.iter().filter(|(_, share)| share.wanted > 0);
            shares.filter(|(_, share)| now < share.asked_at + DEMAND_KEPT)
        };
        let demand = asking().fold(0_u64, |sum, (_, share)| sum.saturating_add(share.wanted));
        if demand <= quantity || own.wanted == 0 {
            return own.wanted;
        }
        let (whole, _) = divide(quantity, own.wanted, demand);
        let whole_sum: u64 =
            asking().map(|(_, share)| divide(quantity, share.wanted, demand).0).sum();
        let own_turn = turn(node, own, quantity, demand, now);
        let ahead = asking()
            .filter(|(name, share)| turn(name, share, quantity, demand, now) < own_turn)
            .count() as u64;
        whole + u64::from(ahead < quantity - whole_sum)
    }

    /// Amount of a spend limit that is used up in the period.
    fn spent(&self, period: u64) -> u64 {
        if self.kind != quota_message::ResourceKind::CustomerSpend {
            return 0;
        }
        let current = self.shares.values().filter(|share| share.period == period);
        current.map(|share| share.used).sum()
    }

    /// Drops the use of nodes that are gone; what they may have spent stays spent.
    pub fn forget_gone(&mut self, live: impl Fn(&str) -> bool) {
        let occupied = |share: &NodeShare| share.in_use > 0 || !share.stale.is_empty();
        let shares = self.shares.iter_mut();
        for (_, share) in shares.filter(|(name, share)| occupied(share) && !live(name)) {
            let lost = share.in_use.max(share.stale_amount());
            if self.kind == quota_message::ResourceKind::CustomerSpend {
                share.used += lost;
            }
            share.in_use = 0;
            share.stale.clear();
        }
    }

    /// Bounds use that nobody reports by a load report that is newer than the end of its lease.
    pub fn limit_stale(&mut self, requests: u64, lag: Duration, received_at: Duration) {
        self.unattributed = self.unattributed.min(requests);
        for share in self.shares.values_mut() {
            let newer = |stale: &StaleUse| received_at >= stale.since + lag;
            if share.stale.iter().any(newer) {
                share.in_use = share.in_use.min(requests);
            }
            for stale in share.stale.iter_mut().filter(|stale| newer(stale)) {
                stale.amount = stale.amount.min(requests);
            }
            let in_use = share.in_use;
            share.stale.retain(|stale| stale.amount > 0 || in_use > 0);
        }
    }

    /// Outstanding shares for a successor.
    pub fn handed_shares(&mut self, now: Duration) -> Vec<quota_message::HandedShare> {
        self.expire(now);
        let kind = self.kind;
        let handed = self.shares.iter().map(|(node, share)| quota_message::HandedShare {
            node: node.clone(),
            incarnation: share.incarnation,
            amount: share.outstanding(kind),
            used: share.used,
            period: share.period,
        });
        handed.collect()
    }

    /// Takes over the shares of a former home; each counts for one more lease.
    pub fn accept_shares(&mut self, shares: &[quota_message::HandedShare], now: Duration) {
        for handed in shares {
            let share = self.shares.entry(handed.node.clone()).or_default();
            share.incarnation = share.incarnation.max(handed.incarnation);
            let expires_at = now + quota_message::SHARE_LEASE_TTL;
            share.grants.push(LeasedGrant { number: 0, amount: handed.amount, expires_at });
            if share.period <= handed.period && share.used < handed.used {
                (share.used, share.period) = (handed.used, handed.period);
            }
        }
    }
}

/// Voids what the node has replaced or reported, by the last reply that it applied.
fn confirm(share: &mut NodeShare, applied: u64) {
    // Only an exact match proves that the node replaced the earlier shares: the applied reply
    // may have been about other resources.
    let numbers = share.grants.iter().map(|grant| grant.number);
    let mut numbers = numbers.chain(share.stale.iter().map(|stale| stale.number));
    if numbers.any(|number| number == applied) {
        share.grants.retain(|grant| grant.number >= applied);
        share.stale.retain(|stale| stale.orphan || stale.number >= applied);
    }
    share
        .stale
        .retain(|stale| stale.orphan || stale.reported_by.is_none_or(|number| applied < number));
}

/// Whole part of a quantity by demand, and the remainder in the same ratio for all nodes.
fn divide(quantity: u64, wanted: u64, demand: u64) -> (u64, u128) {
    let product = u128::from(quantity) * u128::from(wanted);
    let whole = product / u128::from(demand);
    (u64::try_from(whole).unwrap_or(u64::MAX), product % u128::from(demand))
}

/// Order in which nodes receive the units that whole parts leave over.
///
/// Nodes that would have none come first: those that took a unit a short time ago, then those
/// that have waited the longest. The others follow by remainder, and last the nodes that have
/// held their only unit for long, so that it moves on.
fn turn<'a>(
    node: &'a str,
    share: &NodeShare,
    quantity: u64,
    demand: u64,
    now: Duration,
) -> (u8, Duration, std::cmp::Reverse<u128>, &'a str) {
    let (whole, remainder) = divide(quantity, share.wanted, demand);
    let (class, waited) = match (whole, share.held_since) {
        (0, Some(since)) if now < since + ROTATION => (0, Duration::ZERO),
        (0, None) => (1, share.last_held),
        (0, Some(_)) => (3, Duration::ZERO),
        _ => (2, Duration::ZERO),
    };
    (class, waited, std::cmp::Reverse(remainder), node)
}

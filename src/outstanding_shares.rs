//! Outstanding shares of one resource, as its allocator counts them.
//!
//! A share counts until the allocator can be sure that the node no longer uses it: until the
//! node has confirmed a later share, or until the lease expires. Requests may outlive the lease;
//! they count until the node reports its use again.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::{ids, quota_message};

/// Time for which unreported use counts at most; every request ends within it.
const STALE_USE_TTL: Duration = Duration::from_secs(600);
/// Time after a node's last renewal for which its demand counts in the division.
const DEMAND_TTL: Duration = Duration::from_secs(4);
/// Expired leases that are counted separately; any more are merged into one.
const MAX_STALE_ENTRIES: usize = 4;
/// A first share takes at most one in this many free units. With a quarter, 8 nodes that
/// ask for shares of 64 units one after the other all get at least one.
const FIRST_SHARE_DIVISOR: u64 = 4;
/// A share grows by at most one in this many free units at a time.
const GROWTH_DIVISOR: u64 = 2;
/// Time for which a node keeps its only unit while other nodes have none.
const ROTATION_INTERVAL: Duration = Duration::from_secs(4);

/// Shares of all nodes in one resource, with the demand that the nodes report.
#[derive(Clone, Debug)]
pub struct OutstandingShares {
    kind: quota_message::ResourceKind,
    shares: BTreeMap<ids::InstanceName, NodeShare>,
    /// Requests in a load report beyond those that nodes have reported to this allocator.
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
    requested_at: Duration,
    held_since: Option<Duration>,
    last_held_at: Duration,
    grants: SmallVec<[LeasedGrant; 3]>,
    stale: SmallVec<[StaleUse; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct LeasedGrant {
    number: u64,
    amount: u64,
    expires_at: Duration,
}

/// Use that may go on after the lease expired, because the node has not reported since.
#[derive(Clone, Copy, Debug)]
struct StaleUse {
    number: u64,
    amount: u64,
    since: Duration,
    /// Number of the first reply after the lease expired. A request of a node that has applied
    /// this reply reports the use.
    reported_by: Option<u64>,
    /// Whether the process that held the share is gone, so that no report can follow.
    is_orphaned: bool,
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
        if self.stale.iter().any(|stale| now >= stale.since + STALE_USE_TTL) {
            self.stale.retain(|stale| now < stale.since + STALE_USE_TTL);
            self.in_use = 0;
        }
    }

    fn add_stale(&mut self, number: u64, amount: u64, now: Duration, is_orphaned: bool) {
        let mut added = StaleUse { number, amount, since: now, reported_by: None, is_orphaned };
        if self.stale.len() == MAX_STALE_ENTRIES {
            // The merged entry expires when the latest of them does, never too early.
            for former in self.stale.drain(..) {
                added.number = added.number.max(former.number);
                added.amount = added.amount.max(former.amount);
                added.is_orphaned |= former.is_orphaned;
            }
        }
        self.stale.push(added);
    }

    fn is_idle(&self, kind: quota_message::ResourceKind) -> bool {
        self.outstanding(kind) == 0 && self.used == 0
    }
}

impl OutstandingShares {
    pub fn new(kind: quota_message::ResourceKind) -> Self {
        Self { kind, shares: BTreeMap::new(), unattributed: 0 }
    }

    /// Sum of all shares that may be in use.
    pub fn outstanding(&mut self, now: Duration) -> u64 {
        self.expire(now);
        let shares = self.shares.values().map(|share| share.outstanding(self.kind));
        shares.sum::<u64>() + self.unattributed
    }

    /// Counts the requests of a load report that no node has reported to a new allocator yet.
    pub fn record_unattributed(&mut self, requests: u64, now: Duration) {
        self.unattributed = 0;
        self.unattributed = requests.saturating_sub(self.outstanding(now));
    }

    /// Expires leases, and removes nodes without use, total or recent demand.
    pub fn expire(&mut self, now: Duration) {
        for share in self.shares.values_mut() {
            share.expire(self.kind, now);
        }
        let kind = self.kind;
        self.shares
            .retain(|_, share| !share.is_idle(kind) || now < share.requested_at + DEMAND_TTL);
    }

    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Records the demand and use that a node reports.
    ///
    /// Returns the increase of the node's total since its last report; a new period counts from
    /// 0. Returns `None` for a request that is repeated or arrives after a later one.
    pub fn record_demand(
        &mut self,
        request: &quota_message::ShareRequest,
        demand: &quota_message::ShareDemand,
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
        drop_confirmed(share, request.applied);
        let known_total = if share.period == demand.period { share.used } else { 0 };
        (share.wanted, share.in_use) = (demand.wanted, demand.in_use);
        (share.used, share.period) = (demand.used, demand.period);
        share.requested_at = now;
        Some(demand.used.saturating_sub(known_total))
    }

    /// Grants a node its share of the quantity, and counts it as outstanding.
    ///
    /// `number` is that of the node's request. Returns the amount, 0 for an unknown node.
    pub fn grant(&mut self, node: &str, number: u64, quantity: u64, now: Duration) -> u64 {
        let Some(share) = self.shares.get(node) else { return 0 };
        let amount = self.grant_amount(node, share, quantity, now);
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
                share.last_held_at = now;
            }
        }
        amount
    }

    /// Amount to grant: follows demand, stays within what other nodes leave free, and takes a
    /// fraction of the free units at a time.
    fn grant_amount(&self, node: &str, own: &NodeShare, quantity: u64, now: Duration) -> u64 {
        let quantity = quantity.saturating_sub(self.spent_in_period(own.period));
        let others = self.shares.iter().filter(|(name, _)| &***name != node);
        let taken: u64 = others.map(|(_, share)| share.outstanding(self.kind)).sum();
        let free = quantity.saturating_sub(taken + self.unattributed);
        let target = self.fair_amount(node, own, quantity, now);
        let current = own.grants.last().map_or(0, |grant| grant.amount).min(free);
        // The remaining fraction leaves first shares for nodes that send a request soon after.
        let divisor = if current == 0 { FIRST_SHARE_DIVISOR } else { GROWTH_DIVISOR };
        target.min(current + (free - current).div_ceil(divisor))
    }

    /// Amount that a node is due by its fraction of the total demand.
    fn fair_amount(&self, node: &str, own: &NodeShare, quantity: u64, now: Duration) -> u64 {
        let with_demand = || {
            let shares = self.shares.iter().filter(|(_, share)| share.wanted > 0);
            shares.filter(|(_, share)| now < share.requested_at + DEMAND_TTL)
        };
        let demand = with_demand().fold(0_u64, |sum, (_, share)| sum.saturating_add(share.wanted));
        if demand <= quantity || own.wanted == 0 {
            return own.wanted;
        }
        let (units, _) = proportional_units(quantity, own.wanted, demand);
        let all_units: u64 = with_demand()
            .map(|(_, share)| proportional_units(quantity, share.wanted, demand).0)
            .sum();
        let own_order = remainder_order(node, own, quantity, demand, now);
        let ahead_count = with_demand()
            .filter(|(name, share)| remainder_order(name, share, quantity, demand, now) < own_order)
            .count() as u64;
        units + u64::from(ahead_count < quantity - all_units)
    }

    /// Microcredits that all nodes spent in the period; 0 for other kinds than a spend limit.
    fn spent_in_period(&self, period: u64) -> u64 {
        if self.kind != quota_message::ResourceKind::CustomerSpend {
            return 0;
        }
        let current = self.shares.values().filter(|share| share.period == period);
        current.map(|share| share.used).sum()
    }

    /// Clears the use of nodes that are not live; what they may have spent counts as spent.
    pub fn clear_departed(&mut self, is_live: impl Fn(&str) -> bool) {
        let is_occupied = |share: &NodeShare| share.in_use > 0 || !share.stale.is_empty();
        let shares = self.shares.iter_mut();
        for (_, share) in shares.filter(|(name, share)| is_occupied(share) && !is_live(name)) {
            let unreported = share.in_use.max(share.stale_amount());
            if self.kind == quota_message::ResourceKind::CustomerSpend {
                share.used += unreported;
            }
            share.in_use = 0;
            share.stale.clear();
        }
    }

    /// Caps unattributed requests and unreported use at the `requests` of a load report.
    ///
    /// Unreported use is capped only if its lease expired at least `lag` before `received_at`: an
    /// older report may miss requests that were sent just before the expiry.
    pub fn cap_stale_use(&mut self, requests: u64, lag: Duration, received_at: Duration) {
        self.unattributed = self.unattributed.min(requests);
        for share in self.shares.values_mut() {
            let is_newer = |stale: &StaleUse| received_at >= stale.since + lag;
            if share.stale.iter().any(is_newer) {
                share.in_use = share.in_use.min(requests);
            }
            for stale in share.stale.iter_mut().filter(|stale| is_newer(stale)) {
                stale.amount = stale.amount.min(requests);
            }
            let in_use = share.in_use;
            share.stale.retain(|stale| stale.amount > 0 || in_use > 0);
        }
    }

    /// Outstanding shares, as handed over to a successor.
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

    /// Adds the shares of a former allocator; each of them counts for one more lease.
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

/// Removes the shares and the stale use that the node has replaced or reported; `applied` is the
/// number of the last reply that it applied.
fn drop_confirmed(share: &mut NodeShare, applied: u64) {
    // Only a matching number proves that the node replaced its earlier shares: any other applied
    // reply may have covered different resources only.
    let numbers = share.grants.iter().map(|grant| grant.number);
    let mut numbers = numbers.chain(share.stale.iter().map(|stale| stale.number));
    if numbers.any(|number| number == applied) {
        share.grants.retain(|grant| grant.number >= applied);
        share.stale.retain(|stale| stale.is_orphaned || stale.number >= applied);
    }
    share.stale.retain(|stale| {
        stale.is_orphaned || stale.reported_by.is_none_or(|number| applied < number)
    });
}

/// Units that are due for `wanted` out of the total `demand`, rounded down, and the remainder of
/// the division. Remainders of all nodes compare, because they have the same divisor.
fn proportional_units(quantity: u64, wanted: u64, demand: u64) -> (u64, u128) {
    let product = u128::from(quantity) * u128::from(wanted);
    let units = product / u128::from(demand);
    (u64::try_from(units).unwrap_or(u64::MAX), product % u128::from(demand))
}

/// Order in which nodes receive the units that are left after rounding down.
///
/// Nodes that would otherwise have no unit come first: those that received one within
/// [`ROTATION_INTERVAL`], then those that have been without one the longest. The others follow in
/// order of falling remainders. Nodes that have held their only unit for longer come last, so
/// that it moves on to another node.
fn remainder_order<'a>(
    node: &'a str,
    share: &NodeShare,
    quantity: u64,
    demand: u64,
    now: Duration,
) -> (u8, Duration, std::cmp::Reverse<u128>, &'a str) {
    let (units, remainder) = proportional_units(quantity, share.wanted, demand);
    let (class, waited) = match (units, share.held_since) {
        (0, Some(since)) if now < since + ROTATION_INTERVAL => (0, Duration::ZERO),
        (0, None) => (1, share.last_held_at),
        (0, Some(_)) => (3, Duration::ZERO),
        _ => (2, Duration::ZERO),
    };
    (class, waited, std::cmp::Reverse(remainder), node)
}

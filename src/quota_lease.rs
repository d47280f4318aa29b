//! Leased shares as a node holds them.
//!
//! A lease runs from the sending of the request at the node and from the answer at the allocator.
//! The share therefore always expires at the node first, without a comparison of clocks. An
//! expired share must not be used, whatever the reason for its expiry.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::{ids, quota_message, rendezvous};

/// Latest requests to an allocator whose replies are still accepted.
const MAX_UNANSWERED_REQUESTS: usize = 8;

/// Time without an answer after which a resource counts as without an allocator.
const ALLOCATOR_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which requests wait for a new allocator that does not grant yet. It requests the shares
/// of the former one, which takes a few milliseconds; deadlines may be as short as 500 ms.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after its last demand for which a node still sends renewals.
///
/// The allocator counts a share as in use until a report shows that it is not. The end of the use
/// is reported several times, in case messages are lost.
const IDLE_RENEWAL_PERIOD: Duration = Duration::from_secs(6);

/// Demand and use of one resource by this node, as sent with the next renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareUse {
    /// Quantity that the node could use now, including what is in use.
    pub wanted: u64,
    /// Quantity occupied by running requests.
    pub in_use: u64,
    /// Total within the period, see [`quota_message::ShareDemand::used`].
    pub used: u64,
    /// Period of `used`, see [`quota_message::ShareDemand::period`].
    pub period: u64,
}

/// Current right of a node to use a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareState {
    /// The node holds no share; it has not requested one yet, or awaits the answer.
    Pending,
    Leased {
        /// May be 0.
        amount: u64,
        /// Quantity that all nodes share, at the time of the grant.
        quantity: u64,
        /// Whether the replica is cold; false for a customer limit.
        cold: bool,
        /// [`ShareUse::used`] when the request was sent.
        used_at_send: u64,
        /// Warm-up epoch of the replica.
        epoch: u64,
    },
    /// No node acts as the allocator, or it has not answered in time.
    NoAllocator,
}

/// Shares that this node holds of all resources, with its demand and its open requests.
#[derive(Debug)]
pub struct ShareTable {
    node: ids::InstanceName,
    incarnation: u64,
    last_number: u64,
    rows: [HashMap<Arc<str>, ShareRow>; 4],
    contacts: HashMap<ids::InstanceName, AllocatorContact>,
}

#[derive(Debug, Default)]
struct ShareRow {
    use_now: ShareUse,
    share: Option<LeasedShare>,
    /// Whether the last share was larger than the one before by more than an eighth.
    has_grown: bool,
    /// Time until which an answer of `NotAllocator` is valid; 0 after a grant.
    no_allocator_until: Duration,
    /// Time since which all answers have been `NotAllocator`; recorded for replicas only.
    no_allocator_since: Option<Duration>,
    /// Time of the first renewal since the last answer.
    requested_at: Option<Duration>,
    last_demand_at: Duration,
}

impl ShareRow {
    /// Whether no renewal was sent yet, or its answer may still arrive.
    ///
    /// An idle node lets its leases expire, which does not mean that there is no allocator. A new
    /// allocator grants nothing until it has the shares of the former one.
    fn awaits_answer(&self, now: Duration) -> bool {
        let is_taking_over =
            self.no_allocator_since.is_some_and(|since| now < since + TAKEOVER_TIMEOUT);
        (now >= self.no_allocator_until || is_taking_over)
            && self.requested_at.is_none_or(|requested_at| now < requested_at + ALLOCATOR_TIMEOUT)
    }

    /// Whether the allocator needs a report of this row.
    fn needs_renewal(&self, now: Duration) -> bool {
        self.use_now.wanted > 0
            || self.use_now.in_use > 0
            || now < self.last_demand_at + IDLE_RENEWAL_PERIOD
    }
}

#[derive(Clone, Copy, Debug)]
struct LeasedShare {
    number: u64,
    amount: u64,
    quantity: u64,
    /// Quantity that was wanted when the request was sent.
    wanted: u64,
    cold: bool,
    used_at_send: u64,
    epoch: u64,
    expires_at: Duration,
}

#[derive(Debug, Default)]
struct AllocatorContact {
    last_applied: u64,
    sent: SmallVec<[SentRequest; 2]>,
}

#[derive(Debug)]
struct SentRequest {
    number: u64,
    sent_at: Duration,
    demands: SmallVec<[quota_message::ShareDemand; 4]>,
}

impl ShareTable {
    /// Creates an empty table; `incarnation` grows with each start of the node.
    pub fn new(node: ids::InstanceName, incarnation: u64) -> Self {
        let rows = std::array::from_fn(|_| HashMap::new());
        Self { node, incarnation, last_number: 0, rows, contacts: HashMap::new() }
    }

    /// Records the use of a resource; returns whether an exchange is needed immediately.
    ///
    /// It is needed when demand first exceeds the held share, and while shares still grow, so that
    /// a surge gets its shares before the next periodic renewal. The caller keeps a shortest time
    /// between such exchanges.
    pub fn record_use(
        &mut self,
        kind: quota_message::ResourceKind,
        name: &Arc<str>,
        use_now: ShareUse,
        now: Duration,
    ) -> bool {
        let row = self.rows[kind as usize].entry(name.clone()).or_default();
        let former = std::mem::replace(&mut row.use_now, use_now);
        if use_now.wanted > 0 || use_now.in_use > 0 {
            row.last_demand_at = now;
        }
        let held = row.share.filter(|share| now < share.expires_at).map_or(0, |share| share.amount);
        use_now.wanted > held && (former.wanted <= held || row.has_grown)
    }

    /// Removes a resource that is no longer used.
    pub fn remove(&mut self, kind: quota_message::ResourceKind, name: &str) {
        self.rows[kind as usize].remove(name);
    }

    /// Renewals to send, one per allocator, for all resources with present or recent demand.
    pub fn renewal_requests(
        &mut self,
        now: Duration,
        members: &[ids::InstanceName],
    ) -> Vec<(ids::InstanceName, quota_message::ShareRequest)> {
        let mut demands: BTreeMap<ids::InstanceName, SmallVec<[_; 4]>> = BTreeMap::new();
        for kind in quota_message::ResourceKind::ALL {
            let rows = self.rows[kind as usize].iter_mut();
            for (name, row) in rows.filter(|(_, row)| row.needs_renewal(now)) {
                let resource = quota_message::ResourceKey::new(kind, name.clone());
                row.requested_at.get_or_insert(now);
                if let Some(allocator) = rendezvous::highest_ranked(&resource.hash_key(), members) {
                    demands
                        .entry(allocator.clone())
                        .or_default()
                        .push(share_demand(resource, row.use_now));
                }
            }
        }
        demands
            .into_iter()
            .map(|(allocator, demands)| self.record_request(now, allocator, demands))
            .collect()
    }

    fn record_request(
        &mut self,
        now: Duration,
        allocator: ids::InstanceName,
        demands: SmallVec<[quota_message::ShareDemand; 4]>,
    ) -> (ids::InstanceName, quota_message::ShareRequest) {
        self.last_number += 1;
        let contact = self.contacts.entry(allocator.clone()).or_default();
        if contact.sent.len() == MAX_UNANSWERED_REQUESTS {
            contact.sent.remove(0);
        }
        let sent = SentRequest { number: self.last_number, sent_at: now, demands: demands.clone() };
        contact.sent.push(sent);
        let request = quota_message::ShareRequest {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.last_number,
            applied: contact.last_applied,
            wants: demands,
        };
        (allocator, request)
    }

    /// Applies a reply; ignores it if it is repeated, or older than the last applied one.
    pub fn apply_reply(&mut self, allocator: &str, reply: &quota_message::ShareReply) {
        let Some(contact) = self.contacts.get_mut(allocator) else { return };
        let Some(index) = contact.sent.iter().position(|sent| sent.number == reply.number) else {
            return;
        };
        let sent = contact.sent.drain(..=index).next_back().expect("the position was found");
        contact.last_applied = reply.number;
        for grant in &reply.grants {
            let rows = &mut self.rows[grant.resource.kind as usize];
            let Some(row) = rows.get_mut(&grant.resource.name) else { continue };
            row.requested_at = None;
            let known_since =
                row.no_allocator_since.filter(|_| sent.sent_at < row.no_allocator_until);
            // Customer limits have a lower bound without an allocator, so that requests need not
            // wait.
            let must_wait = grant.resource.kind == quota_message::ResourceKind::ReplicaConcurrency
                && grant.outcome == quota_message::GrantOutcome::NotAllocator;
            row.no_allocator_since = must_wait.then(|| known_since.unwrap_or(sent.sent_at));
            row.no_allocator_until = match grant.outcome {
                quota_message::GrantOutcome::Leased { .. } => Duration::ZERO,
                quota_message::GrantOutcome::NotAllocator => {
                    sent.sent_at + quota_message::SHARE_LEASE_TTL
                }
            };
            // The share of a former allocator stays valid until its lease expires.
            let is_newer = row.share.is_none_or(|share| share.number < reply.number);
            if let quota_message::GrantOutcome::Leased { amount, quantity, cold, epoch } =
                grant.outcome
                && is_newer
            {
                let demand = sent.demands.iter().find(|demand| demand.resource == grant.resource);
                let former = row.share.map_or(0, |share| share.amount);
                row.has_grown = amount > former + former / 8;
                row.share = Some(LeasedShare {
                    number: reply.number,
                    amount,
                    quantity,
                    cold,
                    epoch,
                    wanted: demand.map_or(0, |demand| demand.wanted),
                    used_at_send: demand.map_or(0, |demand| demand.used),
                    expires_at: sent.sent_at + quota_message::SHARE_LEASE_TTL,
                });
            }
        }
    }

    /// Sets the share of a replica that this node found cold to 0, until its allocator answers.
    pub fn suspend_replica(&mut self, replica: &str) {
        let kind = quota_message::ResourceKind::ReplicaConcurrency;
        let row = self.rows[kind as usize].get_mut(replica);
        if let Some(share) = row.and_then(|row| row.share.as_mut()) {
            (share.amount, share.cold) = (0, true);
        }
    }

    pub fn share_state(
        &self,
        kind: quota_message::ResourceKind,
        name: &str,
        now: Duration,
    ) -> ShareState {
        let Some(row) = self.rows[kind as usize].get(name) else { return ShareState::Pending };
        match row.share {
            Some(share) if now < share.expires_at => ShareState::Leased {
                amount: share.amount,
                quantity: share.quantity,
                cold: share.cold,
                used_at_send: share.used_at_send,
                epoch: share.epoch,
            },
            Some(_) | None if row.awaits_answer(now) => ShareState::Pending,
            Some(_) | None => ShareState::NoAllocator,
        }
    }

    /// Leased amount; 0 without a lease.
    pub fn leased_amount(
        &self,
        kind: quota_message::ResourceKind,
        name: &str,
        now: Duration,
    ) -> u64 {
        match self.share_state(kind, name, now) {
            ShareState::Leased { amount, .. } => amount,
            ShareState::Pending | ShareState::NoAllocator => 0,
        }
    }

    /// Whether the allocator granted all that was wanted, and less than the quantity.
    ///
    /// Such a share follows an earlier demand: if it is used up, the quantity need not be.
    pub fn is_granted_in_full(
        &self,
        kind: quota_message::ResourceKind,
        name: &str,
        now: Duration,
    ) -> bool {
        let share = self.rows[kind as usize].get(name).and_then(|row| row.share);
        share.is_some_and(|share| {
            now < share.expires_at && share.amount >= share.wanted && share.amount < share.quantity
        })
    }

    /// Usable amount of a customer limit: the share, or `limit / nodes` without an allocator.
    pub fn customer_amount(
        &self,
        kind: quota_message::ResourceKind,
        name: &str,
        limit: u64,
        nodes: usize,
        now: Duration,
    ) -> u64 {
        match self.share_state(kind, name, now) {
            ShareState::Leased { amount, .. } => amount,
            ShareState::NoAllocator => limit / nodes.max(1) as u64,
            ShareState::Pending => 0,
        }
    }
}

fn share_demand(
    resource: quota_message::ResourceKey,
    use_now: ShareUse,
) -> quota_message::ShareDemand {
    quota_message::ShareDemand {
        resource,
        wanted: use_now.wanted,
        in_use: use_now.in_use,
        used: use_now.used,
        period: use_now.period,
    }
}

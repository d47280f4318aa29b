//! Leased shares as a node holds them.
//!
//! The node counts a lease from the time it sent the request, the home from the
//! time it answered, so the node's share always ends first and no clocks are
//! compared. A share that ended is worth nothing, whatever the reason.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::{ids, quota_message, rendezvous};

/// Requests whose replies are still accepted, per home.
const SENT_KEPT: usize = 8;

/// Time without any answer after which a node acts as without a home.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which requests wait for a new home that says at first that it is none. It asks the
/// former home, which takes a few milliseconds; a service's deadline may be as short as 500 ms.
const TAKE_OVER_WAIT: Duration = Duration::from_millis(200);
/// Time for which a node renews after its last demand.
///
/// The home counts a share as in use until it hears otherwise, so the end of the use is
/// reported several times in case messages are lost.
const IDLE_RENEWALS: Duration = Duration::from_secs(6);

/// Use of one resource by this node, as sent with the next renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareUse {
    /// Quantity that the node could use now, including what is in use.
    pub wanted: u64,
    /// Quantity occupied by running requests.
    pub in_use: u64,
    /// Total so far, see `quota_message::ShareDemand::used`.
    pub used: u64,
    /// Day of `used`.
    pub period: u64,
}

/// What a node may use of a resource at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareState {
    /// No share is held, and none was asked for or the exchange is under way.
    Pending,
    /// Leased share.
    Leased {
        /// Amount.
        amount: u64,
        /// Whole quantity when it was granted.
        quantity: u64,
        /// Whether the replica is cold.
        cold: bool,
        /// Total use when the request was sent.
        used_at_send: u64,
        /// Warm-up epoch of the replica.
        epoch: u64,
    },
    /// No home, or no answer within the lease.
    NoAllocator,
}

/// Leased shares of this node.
#[derive(Debug)]
pub struct ShareTable {
    node: ids::InstanceName,
    incarnation: u64,
    number: u64,
    rows: [HashMap<Arc<str>, ShareRow>; 4],
    contacts: HashMap<ids::InstanceName, HomeContact>,
}

#[derive(Debug, Default)]
struct ShareRow {
    use_now: ShareUse,
    share: Option<LeasedShare>,
    /// Whether the last share was larger than the one before by an eighth.
    grew: bool,
    /// Time until which the last answer says that there is no home.
    homeless_until: Duration,
    /// Time since which all answers have said so; kept for replicas only.
    homeless_since: Option<Duration>,
    /// Time of the first request since the last answer.
    asked_at: Option<Duration>,
    demand_at: Duration,
}

impl ShareRow {
    /// Whether a share is still to be asked for, or the exchange may be under way.
    ///
    /// A node that was idle has let its leases end; that is no sign of a missing home. A new home
    /// says at first that it is none, until it has the shares of the former one.
    fn awaits_answer(&self, now: Duration) -> bool {
        let taking_over = self.homeless_since.is_some_and(|since| now < since + TAKE_OVER_WAIT);
        (now >= self.homeless_until || taking_over)
            && self.asked_at.is_none_or(|asked_at| now < asked_at + ASK_TIMEOUT)
    }

    /// Whether the home needs to hear of this row.
    fn needs_renewal(&self, now: Duration) -> bool {
        self.use_now.wanted > 0 || self.use_now.in_use > 0 || now < self.demand_at + IDLE_RENEWALS
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
struct HomeContact {
    applied: u64,
    sent: SmallVec<[SentRequest; 2]>,
}

#[derive(Debug)]
struct SentRequest {
    number: u64,
    sent_at: Duration,
    wants: SmallVec<[quota_message::ShareDemand; 4]>,
}

impl ShareTable {
    /// Empty table of a node; `incarnation` grows with each start under the same name.
    pub fn new(node: ids::InstanceName, incarnation: u64) -> Self {
        let rows = std::array::from_fn(|_| HashMap::new());
        Self { node, incarnation, number: 0, rows, contacts: HashMap::new() }
    }

    /// States the use of a resource; returns whether it needs an exchange at once.
    ///
    /// That is so when demand first exceeds what is held and while shares still grow, so that a
    /// surge gets its shares before the next periodic renewals. The caller spaces such exchanges
    /// by 0.1 s.
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
            row.demand_at = now;
        }
        let held = row.share.filter(|share| now < share.expires_at).map_or(0, |share| share.amount);
        use_now.wanted > held && (former.wanted <= held || row.grew)
    }

    /// Forgets a resource that is no longer used.
    pub fn remove(&mut self, kind: quota_message::ResourceKind, name: &str) {
        self.rows[kind as usize].remove(name);
    }

    /// Renewals, one per home, for all resources with demand.
    pub fn renewal_requests(
        &mut self,
        now: Duration,
        members: &[ids::InstanceName],
    ) -> Vec<(ids::InstanceName, quota_message::ShareRequest)> {
        let mut wants: BTreeMap<ids::InstanceName, SmallVec<[_; 4]>> = BTreeMap::new();
        for kind in quota_message::ResourceKind::ALL {
            let rows = self.rows[kind as usize].iter_mut();
            for (name, row) in rows.filter(|(_, row)| row.needs_renewal(now)) {
                let resource = quota_message::ResourceKey::new(kind, name.clone());
                row.asked_at.get_or_insert(now);
                if let Some(home) = rendezvous::highest_ranked(&resource.hash_key(), members) {
                    wants.entry(home.clone()).or_default().push(want(resource, row.use_now));
                }
            }
        }
        wants.into_iter().map(|(home, wants)| self.request(now, home, wants)).collect()
    }

    fn request(
        &mut self,
        now: Duration,
        home: ids::InstanceName,
        wants: SmallVec<[quota_message::ShareDemand; 4]>,
    ) -> (ids::InstanceName, quota_message::ShareRequest) {
        self.number += 1;
        let contact = self.contacts.entry(home.clone()).or_default();
        if contact.sent.len() == SENT_KEPT {
            contact.sent.remove(0);
        }
        let sent = SentRequest { number: self.number, sent_at: now, wants: wants.clone() };
        contact.sent.push(sent);
        let request = quota_message::ShareRequest {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.number,
            applied: contact.applied,
            wants,
        };
        (home, request)
    }

    /// Applies a reply; one that is late, repeated or older than the last is ignored.
    pub fn apply_reply(&mut self, home: &str, reply: &quota_message::ShareReply) {
        let Some(contact) = self.contacts.get_mut(home) else { return };
        let Some(at) = contact.sent.iter().position(|sent| sent.number == reply.number) else {
            return;
        };
        let sent = contact.sent.drain(..=at).next_back().expect("the position was found");
        contact.applied = reply.number;
        for grant in &reply.grants {
            let rows = &mut self.rows[grant.resource.kind as usize];
            let Some(row) = rows.get_mut(&grant.resource.name) else { continue };
            row.asked_at = None;
            let known = row.homeless_since.filter(|_| sent.sent_at < row.homeless_until);
            // Without a home customer limits have a floor, so that requests need not wait.
            let waits = grant.resource.kind == quota_message::ResourceKind::ReplicaConcurrency
                && grant.outcome == quota_message::GrantOutcome::NotAllocator;
            row.homeless_since = waits.then(|| known.unwrap_or(sent.sent_at));
            row.homeless_until = match grant.outcome {
                quota_message::GrantOutcome::Leased { .. } => Duration::ZERO,
                quota_message::GrantOutcome::NotAllocator => {
                    sent.sent_at + quota_message::SHARE_LEASE_TTL
                }
            };
            // Without a home the share of the former one stays valid until its lease ends.
            let newer = row.share.is_none_or(|share| share.number < reply.number);
            if let quota_message::GrantOutcome::Leased { amount, quantity, cold, epoch } =
                grant.outcome
                && newer
            {
                let want = sent.wants.iter().find(|want| want.resource == grant.resource);
                let former = row.share.map_or(0, |share| share.amount);
                row.grew = amount > former + former / 8;
                row.share = Some(LeasedShare {
                    number: reply.number,
                    amount,
                    quantity,
                    cold,
                    epoch,
                    wanted: want.map_or(0, |want| want.wanted),
                    used_at_send: want.map_or(0, |want| want.used),
                    expires_at: sent.sent_at + quota_message::SHARE_LEASE_TTL,
                });
            }
        }
    }

    /// Stops using a replica that this node found cold, before its home answers.
    pub fn suspend_replica(&mut self, replica: &str) {
        let kind = quota_message::ResourceKind::ReplicaConcurrency;
        let row = self.rows[kind as usize].get_mut(replica);
        if let Some(share) = row.and_then(|row| row.share.as_mut()) {
            (share.amount, share.cold) = (0, true);
        }
    }

    /// What the node may use of a resource now.
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

    /// Leased amount now; 0 without a lease.
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

    /// Whether the home granted all that was wanted and may have more.
    ///
    /// Such a share follows the demand of a moment ago; that it is used up says nothing
    /// about the whole quantity.
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

    /// Amount usable of a customer limit: the share, or floor(limit / nodes) without a home.
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

fn want(resource: quota_message::ResourceKey, use_now: ShareUse) -> quota_message::ShareDemand {
    quota_message::ShareDemand {
        resource,
        wanted: use_now.wanted,
        in_use: use_now.in_use,
        used: use_now.used,
        period: use_now.period,
    }
}

//! Messages by which nodes lease shares of limited quantities: renewals, grants and handovers.
//!
//! No message carries a clock value, because the clocks of two nodes are not synchronized.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids;

pub const SHARE_LEASE_TTL: Duration = Duration::from_secs(2);

/// Longest time after its last contact for which a node does not yet count as isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(6);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which the nodes that have learned of a change multiply in one heartbeat round.
const GOSSIP_GROWTH: usize = 4;

/// Time within which a membership change reaches all nodes; at least two heartbeat rounds.
fn gossip_time(members: usize) -> Duration {
    let rounds = (members.max(2) - 1).ilog(GOSSIP_GROWTH) + 1;
    HEARTBEAT_INTERVAL * rounds.max(2)
}

/// Limited quantity that is divided into leased shares.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResourceKey {
    pub kind: ResourceKind,
    /// Name of the replica or customer.
    pub name: std::sync::Arc<str>,
}

/// Quantity that is limited, with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ResourceKind {
    /// Requests in flight at a replica.
    ReplicaConcurrency,
    /// Requests of a customer, in thousandths of a request per second.
    CustomerRate,
    /// Requests of a customer in flight.
    CustomerConcurrency,
    /// Microcredits that a customer may spend in a day.
    CustomerSpend,
}

impl ResourceKind {
    pub const ALL: [Self; 4] = [
        Self::ReplicaConcurrency,
        Self::CustomerRate,
        Self::CustomerConcurrency,
        Self::CustomerSpend,
    ];

    /// Name in hash keys; all versions of the router must use the same one.
    pub fn hash_name(self) -> &'static str {
        match self {
            Self::ReplicaConcurrency => "replica",
            Self::CustomerRate => "rate",
            Self::CustomerConcurrency => "concurrency",
            Self::CustomerSpend => "spend",
        }
    }

    /// Time for which a new allocator in a group of `members` nodes grants nothing.
    ///
    /// The former allocator may be cut off just before the change reaches it in the last
    /// heartbeat round. It then grants until it is isolated (6 s), and its shares expire one lease
    /// later (2 s). Up to 16 nodes, that makes 10 s. Customer limits tolerate an overlap, so that
    /// one lease is enough for them.
    pub fn settling_period(self, members: usize) -> Duration {
        match self {
            Self::ReplicaConcurrency => ISOLATION_TIMEOUT + SHARE_LEASE_TTL + gossip_time(members),
            Self::CustomerRate | Self::CustomerConcurrency | Self::CustomerSpend => SHARE_LEASE_TTL,
        }
    }

    /// Whether a share may still be in use after its lease expired.
    ///
    /// Requests can outlive a lease, and money that is spent remains spent. A rate is used up as
    /// soon as a request is admitted.
    pub fn outlives_lease(self) -> bool {
        !matches!(self, Self::CustomerRate)
    }
}

impl ResourceKey {
    pub fn new(kind: ResourceKind, name: impl Into<std::sync::Arc<str>>) -> Self {
        Self { kind, name: name.into() }
    }

    /// Key by which rendezvous hashing finds the allocator.
    pub fn hash_key(&self) -> String {
        format!("quota/{}/{}", self.kind.hash_name(), self.name)
    }
}

/// Demand of a node for one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareDemand {
    pub resource: ResourceKey,
    /// Quantity that the node could use now, including what is in use.
    pub wanted: u64,
    /// Quantity occupied by running requests.
    pub in_use: u64,
    /// Total within the period: microcredits spent, or answers that a replica sent in time.
    pub used: u64,
    /// Day number for a spend limit, warm-up epoch for a replica, otherwise 0.
    ///
    /// An answer counts in the epoch in which its request was sent, so that answers of a former
    /// engine process do not raise the limit of a restarted replica.
    pub period: u64,
}

/// Renewal of all shares that a node holds or needs from one allocator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// Sender of the request.
    pub node: ids::InstanceName,
    /// Increases with each start of the node; a larger one voids all state of smaller ones.
    pub incarnation: u64,
    /// Increases with each request of the node.
    pub number: u64,
    /// Number of the last request whose reply the node applied; 0 if there is none.
    pub applied: u64,
    /// Demand, one entry a resource.
    pub wants: SmallVec<[ShareDemand; 4]>,
}

/// Reply to a share request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReply {
    /// Number of the request that this reply answers.
    pub number: u64,
    /// Outcomes, one entry a resource.
    pub grants: SmallVec<[ShareGrant; 4]>,
}

/// Outcome of a request for one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    pub resource: ResourceKey,
    pub outcome: GrantOutcome,
}

/// Leased share, or the refusal to grant one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// Share whose lease begins when the request was sent.
    Leased {
        /// May be 0.
        amount: u64,
        /// Quantity that all nodes share, at the time of the grant.
        quantity: u64,
        /// Whether the replica is cold; false for a customer limit.
        cold: bool,
        /// Warm-up epoch of the replica; changes each time that the replica turns cold.
        epoch: u64,
    },
    /// The receiver is not the allocator of the resource, has not settled or is isolated.
    #[serde(rename = "NoHome")]
    NotAllocator,
}

/// Shares of one resource that an allocator hands over to its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceHandover {
    pub resource: ResourceKey,
    /// Outstanding shares, one entry a node.
    pub shares: Vec<HandedShare>,
    /// `None` for a customer limit.
    pub warmup: Option<HandedWarmup>,
}

/// Warm-up state of a replica whose allocator changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedWarmup {
    /// Current concurrency limit.
    pub limit: u32,
    /// Last known boot identifier of the replica's engine process.
    pub boot: Option<ids::BootId>,
    pub epoch: u64,
}

/// Outstanding share of one node, as an allocator hands it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedShare {
    /// Holder of the share.
    pub node: ids::InstanceName,
    /// Incarnation of the holder that reported these numbers.
    pub incarnation: u64,
    /// Largest amount that may be in use.
    pub amount: u64,
    /// Last reported total, see [`ShareDemand::used`].
    pub used: u64,
    /// Period of `used`, see [`ShareDemand::period`].
    pub period: u64,
}

//! Messages of the leased shares: resources, requests, replies and handover.
//!
//! Times in messages are durations, never clock values, because the clocks of
//! two nodes have nothing in common.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids;

/// Time for which a share is leased.
pub const SHARE_LEASE_TTL: Duration = Duration::from_secs(2);

/// Time after its last contact at which a node is isolated at the latest.
const ISOLATION: Duration = Duration::from_secs(6);
/// Time of one heartbeat round.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Nodes that learn of a change from one node in a round, itself included.
const SPREAD: usize = 4;

/// Time in which a change of members reaches all nodes, at least 2 rounds.
fn spread_time(members: usize) -> Duration {
    let rounds = (members.max(2) - 1).ilog(SPREAD) + 1;
    HEARTBEAT * rounds.max(2)
}

/// Limited quantity that is shared out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResourceKey {
    /// What is limited.
    pub kind: ResourceKind,
    /// Name of the replica or customer.
    pub name: std::sync::Arc<str>,
}

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ResourceKind {
    /// Requests at a replica at once.
    ReplicaConcurrency,
    /// Requests of a customer, in thousandths per second.
    CustomerRate,
    /// Requests of a customer at once.
    CustomerConcurrency,
    /// Microcredits that a customer spends in a day.
    CustomerSpend,
}

impl ResourceKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::ReplicaConcurrency,
        Self::CustomerRate,
        Self::CustomerConcurrency,
        Self::CustomerSpend,
    ];

    /// Stable name in hash keys.
    pub fn code(self) -> &'static str {
        match self {
            Self::ReplicaConcurrency => "replica",
            Self::CustomerRate => "rate",
            Self::CustomerConcurrency => "concurrency",
            Self::CustomerSpend => "spend",
        }
    }

    /// Time for which a new home among `members` nodes grants nothing.
    ///
    /// A former home may learn of the change only after all heartbeat rounds, be cut off just
    /// before, grant until it is isolated (6 s), and its shares end one lease later (2 s). That
    /// makes 10 s up to 16 nodes. Customer limits tolerate an overlap and wait for one lease.
    pub fn settling_period(self, members: usize) -> Duration {
        match self {
            Self::ReplicaConcurrency => ISOLATION + SHARE_LEASE_TTL + spread_time(members),
            Self::CustomerRate | Self::CustomerConcurrency | Self::CustomerSpend => SHARE_LEASE_TTL,
        }
    }

    /// Whether a share whose lease ended may still be occupied by work.
    ///
    /// Requests outlive a lease, and spent money does not come back. A rate is used up at once.
    pub fn outlives_lease(self) -> bool {
        !matches!(self, Self::CustomerRate)
    }
}

impl ResourceKey {
    /// Key of a resource.
    pub fn new(kind: ResourceKind, name: impl Into<std::sync::Arc<str>>) -> Self {
        Self { kind, name: name.into() }
    }

    /// Key under which the home is hashed.
    pub fn hash_key(&self) -> String {
        format!("quota/{}/{}", self.kind.code(), self.name)
    }
}

/// Demand of a node for one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareDemand {
    /// The resource.
    pub resource: ResourceKey,
    /// Quantity that the node could use now, including what is in use.
    pub wanted: u64,
    /// Quantity occupied by running requests.
    pub in_use: u64,
    /// Total within the period: microcredits spent, or answers of a replica in time.
    pub used: u64,
    /// Day of a spend limit, warm-up epoch of a replica, 0 for other kinds.
    ///
    /// An answer counts for the epoch in which its request was sent, so that answers of an
    /// engine process that is gone warm up nothing.
    pub period: u64,
}

/// Renewal of all shares that a node holds or wants from one home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// Node that asks.
    pub node: ids::InstanceName,
    /// Number of the node's start; a larger one replaces all state of a smaller one.
    pub incarnation: u64,
    /// Increasing number of the request.
    pub number: u64,
    /// Number of the last request whose reply the node applied; 0 for none.
    pub applied: u64,
    /// Demand by resource.
    pub wants: SmallVec<[ShareDemand; 4]>,
}

/// Reply to a share request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReply {
    /// Number of the request.
    pub number: u64,
    /// Outcome by resource.
    pub grants: SmallVec<[ShareGrant; 4]>,
}

/// Outcome for one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The resource.
    pub resource: ResourceKey,
    /// Share or the reason for none.
    pub outcome: GrantOutcome,
}

/// Share or the reason for none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// Leased share, valid from the time the request was sent.
    Leased {
        /// Leased amount, may be 0.
        amount: u64,
        /// Whole quantity at this moment.
        quantity: u64,
        /// Whether the replica is cold.
        cold: bool,
        /// Warm-up epoch of the replica; changes each time that it turns cold.
        epoch: u64,
    },
    /// The node that was asked is not the home, settles, or is isolated.
    #[serde(rename = "NoHome")]
    NotAllocator,
}

/// Shares of one resource that a home hands to its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceHandover {
    /// The resource.
    pub resource: ResourceKey,
    /// Outstanding shares.
    pub shares: Vec<HandedShare>,
    /// Warm-up state of a replica.
    pub warmup: Option<HandedWarmup>,
}

/// Warm-up state of a replica that changes its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedWarmup {
    /// Concurrency now.
    pub limit: u32,
    /// Last known start of its engine process.
    pub boot: Option<ids::BootId>,
    /// Warm-up epoch.
    pub epoch: u64,
}

/// Outstanding share of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedShare {
    /// Node that holds the share.
    pub node: ids::InstanceName,
    /// Start of that node to which the numbers belong.
    pub incarnation: u64,
    /// Amount that may be in use.
    pub amount: u64,
    /// Last known total.
    pub used: u64,
    /// Period of the total.
    pub period: u64,
}

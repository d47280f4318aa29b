//! Row of one node, as nodes write it about themselves and pass it on.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use smallvec::SmallVec;

use crate::ids;

/// Age after which a node that was not heard of is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(5);
/// Age after which a node that was not heard of is dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(10);

/// What a node states about itself.
///
/// Of two rows with one name the greater one is newer: the incarnation decides,
/// then leaving, which a node never takes back. The remaining fields only make
/// the order total, so that all nodes keep the same row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberRow {
    /// Number of the node's start; 0 while the node is known from the list only.
    pub incarnation: u64,
    /// Whether the node takes no more work.
    pub leaving: bool,
    /// Unique name.
    pub name: ids::InstanceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for calls between nodes.
    pub peer_address: SocketAddr,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
}

/// Octets of an address followed by its port: 6 bytes for IPv4, 18 for IPv6.
pub fn address_bytes(address: &SocketAddr) -> SmallVec<[u8; 18]> {
    let mut bytes = SmallVec::new();
    match address.ip() {
        IpAddr::V4(ip) => bytes.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.extend_from_slice(&ip.octets()),
    }
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

/// State of a node as this node judges it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Heard of lately.
    Live,
    /// Heard of within 10 s, takes no more work.
    Leaving,
    /// Not heard of for 5 s.
    Suspect,
    /// Not heard of for 10 s.
    Dead,
}

/// Row with the times at which this node learned of it.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// What the node states about itself.
    pub row: MemberRow,
    /// Whether the last instance list read contains the node.
    pub listed: bool,
    /// Whether that list says that the node is leaving. It is not part of the row: a
    /// restarted node would otherwise stay leaving, as the list lags behind its restart.
    pub list_leaving: bool,
    /// Latest time at which the node is believed to have lived.
    pub heard_at: Duration,
    /// Latest time at which the node provably took part in an answered heartbeat,
    /// with this node or with one that passed the age on.
    pub exchanged_at: Option<Duration>,
    /// Time at which a heartbeat of this node to it was found unanswered.
    pub unanswered_at: Option<Duration>,
    /// Heartbeats that still carry the row as a changed one.
    pub(crate) sends_left: u8,
    pub(crate) hash: u64,
}

impl MemberEntry {
    /// State at a time.
    pub fn state(&self, now: Duration) -> MemberState {
        match now.saturating_sub(self.heard_at) {
            age if age >= DEAD_AFTER => MemberState::Dead,
            // A leaving node that ended is silent; as a suspect one it would get its roles back.
            _ if self.row.leaving || self.list_leaving => MemberState::Leaving,
            age if age >= SUSPECT_AFTER => MemberState::Suspect,
            _ => MemberState::Live,
        }
    }

    /// Whether the node has not been seen to answer since a heartbeat to it failed.
    pub fn unanswered(&self) -> bool {
        self.unanswered_at > self.exchanged_at
    }

    /// Notes that the node lived at a time.
    pub(crate) fn hear(&mut self, at: Duration) {
        self.heard_at = self.heard_at.max(at);
    }

    /// Notes that the node took part in an answered heartbeat at a time.
    pub(crate) fn exchange(&mut self, at: Duration) {
        self.hear(at);
        self.exchanged_at = self.exchanged_at.max(Some(at));
    }
}

//! Causes of a change of the path to the platform's store.

/// Why calls to the store take another path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchCause {
    /// Calls on the direct path have failed for too long.
    DirectFailed,
    /// A call through the tunnel of a peer failed.
    PeerFailed,
    /// Calls through all tunnels failed.
    AllPeersFailed,
    /// A probe of the direct path was answered.
    ProbeAnswered,
}

impl SwitchCause {
    /// Value of the `cause` field of log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::DirectFailed => "direct_failed",
            Self::PeerFailed => "peer_failed",
            Self::AllPeersFailed => "all_peers_failed",
            Self::ProbeAnswered => "probe_answered",
        }
    }
}

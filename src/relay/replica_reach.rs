//! What a new connection to a replica shows after an attempt failed.

/// Whether a replica accepts a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaReach {
    /// The process runs and can be reached.
    Accepts,
    /// Nothing listens at the address: the process has ended.
    Refuses,
    /// No answer, as when the link to the replica is cut.
    Unreachable,
}

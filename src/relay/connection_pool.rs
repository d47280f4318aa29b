//! Pool of idle connections to replicas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::replica_connection::ReplicaConnection;

/// A connection is not reused within this time of the server's idle timeout, as the server may
/// close it while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Longest idle time of a connection that a non-repeatable call may use. If the server has just
/// closed an older one, such a call is lost.
const MAX_NON_REPEATABLE_IDLE: Duration = Duration::from_millis(400);
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// Request for which a connection is taken from the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolRequest {
    /// Call with this hash of its identifier.
    Call { call_hash: u64, is_repeatable: bool },
    /// Load probe, which has no identifier.
    Probe,
}

impl PoolRequest {
    fn is_repeatable(self) -> bool {
        match self {
            Self::Call { is_repeatable, .. } => is_repeatable,
            Self::Probe => true,
        }
    }

    /// Whether no copy of an earlier answer to the request can arrive on the connection.
    fn may_use(self, connection: &ReplicaConnection) -> bool {
        match self {
            Self::Call { call_hash, .. } => !connection.has_failed(call_hash),
            Self::Probe => true,
        }
    }
}

#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<ReplicaConnection>>,
}

impl ConnectionPool {
    /// Removes and returns the most recently used connection that can carry the request. Closes
    /// unusable ones that were used after it.
    pub fn take(
        &mut self,
        address: SocketAddr,
        request: PoolRequest,
        now: Instant,
    ) -> Option<ReplicaConnection> {
        let connections = self.idle.get_mut(&address)?;
        for index in (0..connections.len()).rev() {
            let connection = &mut connections[index];
            let idle_time = connection.stream.idle_time(now);
            let is_fresh = request.is_repeatable() || idle_time < MAX_NON_REPEATABLE_IDLE;
            if !is_fresh || !is_usable(connection, now) {
                connections.remove(index);
            } else if request.may_use(connection) {
                return Some(connections.remove(index));
            }
        }
        None
    }

    /// Keeps a connection for reuse after its answer was read completely. Closes it instead if the
    /// pool has enough connections to that address.
    pub fn put(&mut self, connection: ReplicaConnection) {
        let connections = self.idle.entry(connection.stream.address()).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS && connection.can_record_failures() {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to an address.
    pub fn remove_address(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that can no longer be reused.
    pub fn prune(&mut self, now: Instant) {
        for connections in self.idle.values_mut() {
            connections.retain_mut(|connection| is_usable(connection, now));
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}

fn is_usable(connection: &mut ReplicaConnection, now: Instant) -> bool {
    let stream = &mut connection.stream;
    stream.is_reusable(now, IDLE_MARGIN) && !stream.has_pending_input()
}

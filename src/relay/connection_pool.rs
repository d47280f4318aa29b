//! Pool of idle connections to replicas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::http1::connection::ClientConnection;

/// A connection is not reused within this time of the server's idle timeout, as the server may
/// close it while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Longest idle time of a connection that a non-repeatable call may use. If the server has just
/// closed an older one, such a call is lost.
const MAX_NON_REPEATABLE_IDLE: Duration = Duration::from_millis(400);
const MAX_IDLE_PER_ADDRESS: usize = 8;

#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<ClientConnection>>,
}

impl ConnectionPool {
    /// Removes and returns the most recently used connection that can carry a request. Closes
    /// unusable ones that were used after it.
    pub fn take(
        &mut self,
        address: SocketAddr,
        repeatable: bool,
        now: Instant,
    ) -> Option<ClientConnection> {
        let connections = self.idle.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            let is_fresh = repeatable || connection.idle_time(now) < MAX_NON_REPEATABLE_IDLE;
            if is_fresh
                && connection.is_reusable(now, IDLE_MARGIN)
                && !connection.has_pending_input()
            {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse after its answer was read completely. Closes it instead if the
    /// pool has enough connections to that address.
    pub fn put(&mut self, connection: ClientConnection) {
        let connections = self.idle.entry(connection.address()).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
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
            connections.retain_mut(|connection| {
                connection.is_reusable(now, IDLE_MARGIN) && !connection.has_pending_input()
            });
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}

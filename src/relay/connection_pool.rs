//! Idle connections to replicas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::http1::connection::ClientConnection;

/// Time before the server's idle limit at which a connection is not used any more.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle time after which a call that must not be repeated takes a new connection. Such a call is
/// lost when the server has just closed an old one.
const FRESH_IDLE: Duration = Duration::from_millis(400);
/// Most idle connections to one address.
const IDLE_LIMIT: usize = 8;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<ClientConnection>>,
}

impl ConnectionPool {
    /// Takes the connection that was used last and is sound.
    pub fn take(
        &mut self,
        address: SocketAddr,
        repeatable: bool,
        now: Instant,
    ) -> Option<ClientConnection> {
        let connections = self.idle.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            let fresh = repeatable || connection.idle_time(now) < FRESH_IDLE;
            if fresh && connection.is_reusable(now, IDLE_MARGIN) && !connection.has_pending_input()
            {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer is complete.
    pub fn put(&mut self, connection: ClientConnection) {
        let connections = self.idle.entry(connection.address()).or_default();
        if connections.len() < IDLE_LIMIT {
            connections.push(connection);
        }
    }

    /// Drops the connections to an address.
    pub fn remove_address(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Drops connections that are near the idle limit of their server.
    pub fn prune(&mut self, now: Instant) {
        for connections in self.idle.values_mut() {
            connections.retain_mut(|connection| {
                connection.is_reusable(now, IDLE_MARGIN) && !connection.has_pending_input()
            });
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}

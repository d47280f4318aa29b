//! Limits on the connections of the ports that do not take calls.
//!
//! Each listener has its own sockets, so that a crowd at one port does not close another, and each
//! connection reserves memory in the account.

use std::net::IpAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use super::caller_sockets::CallerSockets;
use super::memory_holder::MemoryHolder;
use super::memory_reservation::MemoryReservation;
use super::relay_node::RelayNode;
use crate::event_catalogue::LogEvent;

/// Divisor of the sockets that gives the limit of one listener. With 256 sockets or more, three listeners
/// and the tunnels, which take two each, use at most five sixteenths; callers leave two fifths free.
const LISTENER_SOCKET_DIVISOR: usize = 16;
/// Connections of one listener on machines with few descriptors.
const MIN_CONNECTIONS: usize = 16;
/// Reserved for a connection: its read buffer and a request, or the two buffers of a tunnel.
const CONNECTION_BYTES: usize = 16 * 1_024;

/// Connections of one listener.
pub(super) struct PortLimits {
    node: Arc<RelayNode>,
    port: &'static str,
    sockets: Arc<Mutex<CallerSockets>>,
}

/// Accepted connection; dropping the value frees its place.
pub(super) struct PortConnection {
    address: IpAddr,
    sockets: Arc<Mutex<CallerSockets>>,
    _reservation: MemoryReservation,
}

impl PortLimits {
    /// Creates the limits of a listener, which `port` names in the log.
    pub(super) fn new(node: &Arc<RelayNode>, port: &'static str) -> Self {
        // A crowd at one listener must leave memory to the others.
        let by_memory = node.memory.limit(MemoryHolder::Ports) as usize / (4 * CONNECTION_BYTES);
        let by_sockets = node.settings.max_sockets / LISTENER_SOCKET_DIVISOR;
        let max_open = by_sockets.min(by_memory).max(MIN_CONNECTIONS);
        let sockets = Arc::new(Mutex::new(CallerSockets::new(max_open)));
        Self { node: node.clone(), port, sockets }
    }

    /// Admits a connection; `None` if it must be closed.
    pub(super) fn admit(&self, address: IpAddr) -> Option<PortConnection> {
        let holder = MemoryHolder::Ports;
        let reservation = self
            .node
            .memory
            .reserve(holder, None, CONNECTION_BYTES)
            .inspect_err(|shortage| self.node.report_shortage(holder, shortage))
            .ok()?;
        if !self.sockets.lock().open(address) {
            let fields = slog::o!("port" => self.port, "peer" => address.to_string());
            self.node.emit(LogEvent::PortFull, fields);
            return None;
        }
        let sockets = self.sockets.clone();
        Some(PortConnection { address, sockets, _reservation: reservation })
    }
}

impl Drop for PortConnection {
    fn drop(&mut self) {
        self.sockets.lock().close(self.address);
    }
}

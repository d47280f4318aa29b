//! Tunnel to the platform's store for peers that the store refuses.
//!
//! While this instance reaches the store directly, it copies bytes between the connection of a peer
//! and one to the store. An instance that starts while the store refuses it has no member entry
//! yet, so the tunnel cannot authenticate its peers: only instances may have access to its port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use super::accept_loop;
use super::port_limits::PortLimits;
use super::relay_node::RelayNode;
use crate::event_catalogue::LogEvent;
use crate::http1::connection;

/// Time within which the store must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest life of one tunnel. A peer probes its direct path and uses a tunnel only meanwhile.
const MAX_TUNNEL_LIFETIME: Duration = Duration::from_secs(30);

/// Accepts connections of peers until the process ends.
pub async fn run(node: Arc<RelayNode>, listener: TcpListener) {
    let limits = PortLimits::new(&node, "tunnel");
    let open_tunnel = |stream, peer: SocketAddr| {
        if node.store.is_direct_path_up() {
            let Some(place) = limits.admit(peer.ip()) else { return };
            node.emit(LogEvent::TunnelOpened, slog::o!("peer" => peer.to_string()));
            let store = node.settings.store;
            tokio::spawn(async move {
                forward_to_store(store, stream).await;
                drop(place);
            });
        }
    };
    accept_loop::run(&node, listener, open_tunnel).await;
}

async fn forward_to_store(store_address: SocketAddr, mut peer: TcpStream) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(store_address));
    let Ok(Ok(mut store)) = connecting.await else { return };
    let options = [connection::set_socket_options(&peer), connection::set_socket_options(&store)];
    if options.iter().any(Result::is_err) {
        return;
    }
    // Either side may close the tunnel at any time; the peer then opens another one.
    let _ = tokio::time::timeout(
        MAX_TUNNEL_LIFETIME,
        tokio::io::copy_bidirectional(&mut peer, &mut store),
    )
    .await;
}

//! Tunnel to the platform's store for peers that the store refuses.
//!
//! A connection of a peer is joined with one to the store, byte for byte, while the store serves
//! this instance. An instance that starts while the store refuses it is not a member yet, so the
//! tunnel cannot tell peers from others: its port must be closed to all but the instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use super::accept_loop;
use super::relay_node::RelayNode;
use crate::event_catalogue::LogEvent;
use crate::http1::connection;

/// Time within which the store must accept a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest life of one connection. A peer looks for its own way to the store from time to time.
const TUNNEL_LIFE: Duration = Duration::from_secs(30);

/// Serves peers until the process ends.
pub async fn run(node: Arc<RelayNode>, listener: TcpListener) {
    let accepted = |stream, peer: SocketAddr| {
        if node.store.is_direct_path_up() {
            node.emit(LogEvent::TunnelOpened, slog::o!("peer" => peer.to_string()));
            tokio::spawn(join(node.settings.store, stream));
        }
    };
    accept_loop::run(&node, listener, accepted).await;
}

async fn join(store: SocketAddr, mut peer: TcpStream) {
    let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(store));
    let Ok(Ok(mut stream)) = connecting.await else { return };
    let options = [connection::set_socket_options(&peer), connection::set_socket_options(&stream)];
    if options.iter().any(Result::is_err) {
        return;
    }
    // Either side may end the tunnel at any time; the peer then opens another one.
    let _ =
        tokio::time::timeout(TUNNEL_LIFE, tokio::io::copy_bidirectional(&mut peer, &mut stream))
            .await;
}

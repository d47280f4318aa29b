//! Binding of listen addresses, and the loop that accepts connections on them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::relay_node::RelayNode;
use crate::event_catalogue::LogEvent;

/// Connections that may wait to be accepted. Large, as a broadcast opens many at once.
const LISTEN_BACKLOG: u32 = 1_024;
/// Delay after a failed accept. The usual cause is a lack of file descriptors, which retrying at
/// once would not cure.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Listens on an address.
///
/// # Errors
/// When the address is in use or does not belong to this machine.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Passes each accepted connection and the address of its peer to `serve`, until the process ends.
///
/// `serve` must return at once, as no connection is accepted meanwhile.
pub(super) async fn run(
    node: &RelayNode,
    listener: TcpListener,
    serve: impl Fn(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(error) => {
                node.emit(LogEvent::AcceptFailed, slog::o!("error" => error.to_string()));
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

//! Loop that accepts connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::relay_node::RelayNode;
use crate::event_catalogue::LogEvent;

/// Connections that wait to be accepted; a broadcast opens many at once.
const BACKLOG: u32 = 1_024;
/// Pause after a connection could not be accepted, which is usually a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds an address.
///
/// # Errors
/// When the address is in use or not of this machine.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Hands over each connection that comes, until the process ends.
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

//! Listening socket for HTTP.

use std::io;
use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted; a broadcast opens many at once.
const BACKLOG: u32 = 4_096;

/// Binds an address and returns the acceptor with the address that was bound.
///
/// Accepted connections inherit `TCP_NODELAY`. Without it each small event of a stream waits
/// for the acknowledgement of the one before, which the peer delays by about 40 ms.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<(TcpAcceptor, SocketAddr)> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    let listener: TcpListener = socket.listen(BACKLOG)?;
    let bound = listener.local_addr()?;
    Ok((TcpAcceptor::try_from(listener)?, bound))
}

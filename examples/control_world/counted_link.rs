//! TCP links that count the bytes of calls between nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use yuccareel::standins::platform;

/// Bytes of all links, both directions.
pub type ByteCount = Arc<AtomicU64>;

/// Starts a link to a target; returns the address to call instead.
pub async fn start(target: SocketAddr, bytes: ByteCount) -> SocketAddr {
    let listener = TcpListener::bind(platform::loopback()).await.expect("free loopback port");
    let address = listener.local_addr().expect("bound address");
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(pass(caller, target, Arc::clone(&bytes)));
        }
    });
    address
}

async fn pass(caller: TcpStream, target: SocketAddr, bytes: ByteCount) {
    let Ok(called) = TcpStream::connect(target).await else { return };
    let _ = (caller.set_nodelay(true), called.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_called, to_called) = called.into_split();
    tokio::join!(copy(from_caller, to_called, &bytes), copy(from_called, to_caller, &bytes));
}

/// Copies until the sender closes, then closes the receiver.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: &AtomicU64,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // The other side may have closed already.
    let _ = to.shutdown().await;
}

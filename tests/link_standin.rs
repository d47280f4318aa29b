//! Contract of the link stand-in, on which the silent-connection cells of the matrix rest.

use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use yuccareel::standins::{link, platform};

/// Far beyond a round trip on loopback.
const SILENCE: Duration = Duration::from_millis(300);

async fn start_echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind(platform::loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    address
}

async fn echoes(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

/// Guards against a fault that closes connections instead: a reset is noticed at once, and the
/// cells would prove nothing about timeouts.
#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    let link = link::LinkStandin::bind().await;
    link.connect_to(start_echo().await);
    let mut open = TcpStream::connect(link.address).await.unwrap();
    assert_eq!(echoes(&mut open).await.unwrap(), b'x');
    link.silence_open();
    let silent = tokio::time::timeout(SILENCE, echoes(&mut open)).await;
    assert!(silent.is_err(), "the open connection answers or ends: {silent:?}");
    let mut fresh = TcpStream::connect(link.address).await.unwrap();
    assert_eq!(echoes(&mut fresh).await.unwrap(), b'x');
}

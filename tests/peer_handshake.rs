//! Handshake between nodes: mutual proof, and its faults.

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use yuccareel::peer_handshake::{self, HandshakeError, SharedSecret};

fn secret() -> SharedSecret {
    SharedSecret::new(b"a secret of all nodes").unwrap()
}

/// Guards against a handshake that accepts a wrong proof, another protocol, a reflected proof,
/// or that waits for ever.
#[tokio::test(start_paused = true)]
async fn handshake_faults() {
    assert!(SharedSecret::new(b"short").is_none());
    let known = secret();
    let other = SharedSecret::new(b"another secret of nodes").unwrap();
    let (mut left, mut right) = tokio::io::duplex(1_024);
    let (connected, accepted) = tokio::join!(
        peer_handshake::connect(&mut left, &known),
        peer_handshake::accept(&mut right, &known)
    );
    assert!(connected.is_ok() && accepted.is_ok());

    let (mut left, right) = tokio::io::duplex(1_024);
    let called = async move {
        // Dropping the stream is how the service rejects.
        let (mut stream, secret) = (right, secret());
        peer_handshake::accept(&mut stream, &secret).await
    };
    let (connected, accepted) = tokio::join!(peer_handshake::connect(&mut left, &other), called);
    assert!(matches!(connected, Err(HandshakeError::Rejected)), "{connected:?}");
    assert!(matches!(accepted, Err(HandshakeError::WrongSecret)), "{accepted:?}");

    let (mut left, mut right) = tokio::io::duplex(1_024);
    right.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await.unwrap();
    let connected = peer_handshake::connect(&mut left, &known).await;
    assert!(matches!(connected, Err(HandshakeError::Protocol)), "{connected:?}");

    let (mut left, mut right) = tokio::io::duplex(1_024);
    let echo = async {
        let mut sent = [0; 68];
        right.read_exact(&mut sent[..36]).await.unwrap();
        right.write_all(&sent[..36]).await.unwrap();
        right.read_exact(&mut sent[36..]).await.unwrap();
        right.write_all(&sent[36..]).await.unwrap();
    };
    let (connected, ()) = tokio::join!(peer_handshake::connect(&mut left, &known), echo);
    assert!(matches!(connected, Err(HandshakeError::WrongSecret)), "reflected: {connected:?}");

    let (mut left, _silent) = tokio::io::duplex(1_024);
    let started = tokio::time::Instant::now();
    let connected = peer_handshake::connect(&mut left, &known).await;
    assert!(matches!(connected, Err(HandshakeError::Timeout)), "{connected:?}");
    assert_eq!(started.elapsed(), peer_handshake::TIME_LIMIT);
}

//! Proof by both sides of a connection that they know the shared secret.
//!
//! Each side sends a random challenge; the caller answers first, so that the
//! called side proves nothing to a stranger. The answers differ by a label, so
//! that neither side can return the other's answer as its own. Nothing after
//! the handshake is encrypted or authenticated.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hmac::{Hmac, KeyInit as _, Mac as _};
use rand::RngExt as _;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};

/// Time for the whole handshake.
pub const TIME_LIMIT: Duration = Duration::from_secs(2);
/// Least length of the secret, in bytes; shorter ones can be guessed offline
/// from one recorded handshake.
pub const SECRET_BYTES: usize = 16;
/// First bytes of each side: protocol name and version.
const MAGIC: [u8; 4] = *b"YCR1";
const CALLER_LABEL: &[u8] = b"yuccareel caller";
const CALLED_LABEL: &[u8] = b"yuccareel called";

type Challenge = [u8; 32];
type Proof = [u8; 32];

/// Secret that all nodes share.
#[derive(Clone)]
pub struct SharedSecret(Arc<[u8]>);

impl SharedSecret {
    /// Secret of at least 16 bytes.
    pub fn new(secret: &[u8]) -> Option<Self> {
        (secret.len() >= SECRET_BYTES).then(|| Self(Arc::from(secret)))
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedSecret(..)")
    }
}

/// Error of a handshake.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The other side took more than 2 s.
    #[error("handshake timed out")]
    Timeout,
    /// The other side speaks another protocol or version.
    #[error("handshake in another protocol or version")]
    Protocol,
    /// The other side does not know the secret.
    #[error("handshake with a wrong secret")]
    WrongSecret,
    /// The other side closed the connection instead of proving itself.
    #[error("handshake rejected by the other side")]
    Rejected,
    /// The connection failed.
    #[error("handshake: {0}")]
    Connection(#[from] io::Error),
}

impl HandshakeError {
    /// Label of the counter.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Protocol => "protocol",
            Self::WrongSecret => "wrong_secret",
            Self::Rejected => "rejected",
            Self::Connection(_) => "connection",
        }
    }
}

/// Handshake of the side that opened the connection.
///
/// # Errors
/// When the other side does not prove that it knows the secret within 2 s.
pub async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &SharedSecret,
) -> Result<(), HandshakeError> {
    within_limit(async {
        let own = send_challenge(stream).await?;
        let other = receive_challenge(stream).await?;
        stream.write_all(&proof(secret, CALLER_LABEL, &own, &other)).await?;
        let mut received: Proof = [0; 32];
        stream.read_exact(&mut received).await.map_err(|error| match error.kind() {
            io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset => {
                HandshakeError::Rejected
            }
            _ => HandshakeError::Connection(error),
        })?;
        check_proof(secret, CALLED_LABEL, &own, &other, &received)
    })
    .await
}

/// Handshake of the side that accepted the connection.
///
/// # Errors
/// When the other side does not prove that it knows the secret within 2 s.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &SharedSecret,
) -> Result<(), HandshakeError> {
    within_limit(async {
        let other = receive_challenge(stream).await?;
        let own = send_challenge(stream).await?;
        let mut received: Proof = [0; 32];
        stream.read_exact(&mut received).await?;
        check_proof(secret, CALLER_LABEL, &other, &own, &received)?;
        stream.write_all(&proof(secret, CALLED_LABEL, &other, &own)).await?;
        Ok(())
    })
    .await
}

async fn within_limit(
    handshake: impl Future<Output = Result<(), HandshakeError>>,
) -> Result<(), HandshakeError> {
    tokio::time::timeout(TIME_LIMIT, handshake).await.unwrap_or(Err(HandshakeError::Timeout))
}

async fn send_challenge<S: AsyncWrite + Unpin>(stream: &mut S) -> io::Result<Challenge> {
    let challenge: Challenge = rand::rng().random();
    let mut hello = [0; 36];
    hello[..4].copy_from_slice(&MAGIC);
    hello[4..].copy_from_slice(&challenge);
    stream.write_all(&hello).await?;
    Ok(challenge)
}

async fn receive_challenge<S: AsyncRead + Unpin>(
    stream: &mut S,
) -> Result<Challenge, HandshakeError> {
    let mut magic = [0; 4];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(HandshakeError::Protocol);
    }
    let mut challenge: Challenge = [0; 32];
    stream.read_exact(&mut challenge).await?;
    Ok(challenge)
}

fn proof(secret: &SharedSecret, label: &[u8], caller: &Challenge, called: &Challenge) -> Proof {
    keyed(secret, label, caller, called).finalize().into_bytes().into()
}

/// Compares in constant time.
fn check_proof(
    secret: &SharedSecret,
    label: &[u8],
    caller: &Challenge,
    called: &Challenge,
    received: &Proof,
) -> Result<(), HandshakeError> {
    keyed(secret, label, caller, called)
        .verify_slice(received)
        .map_err(|_| HandshakeError::WrongSecret)
}

fn keyed(
    secret: &SharedSecret,
    label: &[u8],
    caller: &Challenge,
    called: &Challenge,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.0).expect("HMAC takes keys of any length");
    mac.update(&MAGIC);
    mac.update(label);
    mac.update(caller);
    mac.update(called);
    mac
}

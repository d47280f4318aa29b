//! Client side of a connection.

use std::future::Future;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::buf::Chain;
use bytes::{Buf as _, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream, tcp};
use tokio::time::Instant;

use super::body_decoder::{BodyDecoder, BodyFraming};
use super::message_error::MessageError;
use super::message_reader::MessageReader;
use super::response_head::ResponseHead;

const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1_024;
/// Interim responses before a response that are skipped.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Idle time before the first TCP keep-alive probe, and between probes. Only unanswered probes
/// reveal a peer that lost power.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered TCP keep-alive probes after which the system closes the connection.
const MAX_UNANSWERED_PROBES: u32 = 3;
/// Time without acknowledgement of sent bytes after which the system closes the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Connection to a server. Carries one request at a time, without pipelining.
#[derive(Debug)]
pub struct ClientConnection {
    reader: MessageReader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    /// Head and body of the current request, without the bytes that were sent.
    unsent: Chain<Bytes, Bytes>,
    /// Whether a write has shown that the connection failed. The system reports a reset once, so a
    /// later read may see an end in order.
    has_failed: bool,
    number: u64,
    address: SocketAddr,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl ClientConnection {
    /// Connects to an address. `idle_timeout` is the assumed idle timeout of the server, until a
    /// response states another.
    ///
    /// # Errors
    /// When the connection fails or is not established within `timeout`.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
        idle_timeout: Duration,
    ) -> Result<Self, MessageError> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| MessageError::TimedOut)??;
        Self::open(stream, address, idle_timeout)
    }

    /// Connects to an address from a local one, by which the server knows this instance.
    ///
    /// # Errors
    /// When the connection fails or is not established within `timeout`.
    pub async fn connect_from(
        local: IpAddr,
        address: SocketAddr,
        timeout: Duration,
        idle_timeout: Duration,
    ) -> Result<Self, MessageError> {
        let socket = if local.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(local, 0))?;
        let connecting = tokio::time::timeout(timeout, socket.connect(address));
        let stream = connecting.await.map_err(|_| MessageError::TimedOut)??;
        Self::open(stream, address, idle_timeout)
    }

    fn open(
        stream: TcpStream,
        address: SocketAddr,
        idle_timeout: Duration,
    ) -> Result<Self, MessageError> {
        set_socket_options(&stream)?;
        let (reader, writer) = stream.into_split();
        let reader = MessageReader::new(reader, BytesMut::new());
        let idle_since = Instant::now();
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let unsent = Bytes::new().chain(Bytes::new());
        let has_failed = false;
        Ok(Self { reader, writer, unsent, has_failed, number, address, idle_since, idle_timeout })
    }

    /// Number of the connection, unique within the process.
    pub fn number(&self) -> u64 {
        self.number
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether no input is buffered and the server's idle timeout is more than `margin` away.
    pub fn is_reusable(&self, now: Instant, margin: Duration) -> bool {
        let has_no_input = self.reader.buffered_bytes() == 0;
        has_no_input && now.duration_since(self.idle_since) + margin < self.idle_timeout
    }

    /// Time since the connection was opened or last marked as idle.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.idle_since)
    }

    /// Starts the idle time after a complete response, which may have stated an idle timeout.
    pub fn mark_idle(&mut self, stated_timeout: Option<Duration>) {
        // A sent body would stay in memory as long as the idle connection.
        self.unsent = Bytes::new().chain(Bytes::new());
        self.idle_since = Instant::now();
        if let Some(timeout) = stated_timeout {
            self.idle_timeout = timeout;
        }
    }

    /// Sends a request and reads the head of a final response. The flag is true if the whole request
    /// was sent before the response arrived; otherwise the connection must not be reused. If the
    /// response does not belong to the request, [`Self::skip_body`] and [`Self::read_next_head`] go
    /// on sending the rest.
    ///
    /// # Errors
    /// When the connection fails or the head is malformed.
    pub async fn exchange(
        &mut self,
        head: &[u8],
        body: &Bytes,
    ) -> Result<(ResponseHead, bool), MessageError> {
        self.unsent = Bytes::copy_from_slice(head).chain(body.clone());
        self.read_next_head().await
    }

    /// Sends what is left of the request and reads the head of another response, after one that did
    /// not belong to the request. The flag is that of [`Self::exchange`].
    ///
    /// # Errors
    /// When the connection fails or the head is malformed.
    pub async fn read_next_head(&mut self) -> Result<(ResponseHead, bool), MessageError> {
        let Self { reader, writer, unsent, has_failed, .. } = self;
        let head = send_while(writer, unsent, has_failed, read_final_head(reader)).await?;
        Ok((head, !unsent.has_remaining()))
    }

    /// Sends what is left of the request, and reads and discards the body of a response that does not
    /// belong to it.
    ///
    /// # Errors
    /// When the connection fails or the body is truncated, malformed or over the limit.
    pub async fn skip_body(
        &mut self,
        head: &ResponseHead,
        max_bytes: usize,
    ) -> Result<(), MessageError> {
        let Self { reader, writer, unsent, has_failed, .. } = self;
        let reading = async {
            let mut decoder = BodyDecoder::new(head.framing);
            let mut skipped_bytes = 0;
            while let Some(data) = reader.read_body_data(&mut decoder).await? {
                skipped_bytes += data.len();
                if skipped_bytes > max_bytes {
                    return Err(MessageError::BodyTooLarge);
                }
            }
            Ok(())
        };
        send_while(writer, unsent, has_failed, reading).await
    }

    /// Reads the next bytes of a response body; `None` once it is complete.
    ///
    /// # Errors
    /// When the connection fails or the body is truncated or malformed.
    pub async fn read_body_data(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, MessageError> {
        let data = self.reader.read_body_data(decoder).await?;
        if data.is_none() && self.has_failed && decoder.is_close_delimited() {
            return Err(MessageError::Truncated);
        }
        Ok(data)
    }

    /// Reads a whole response body.
    ///
    /// # Errors
    /// When the connection fails or the body is truncated, malformed or over the limit.
    pub async fn read_body(
        &mut self,
        head: &ResponseHead,
        max_bytes: usize,
    ) -> Result<Bytes, MessageError> {
        let body = self.reader.read_body(head.framing, max_bytes).await?;
        if self.has_failed && head.framing == BodyFraming::UntilClose {
            return Err(MessageError::Truncated);
        }
        Ok(body)
    }

    /// Whether an idle connection has received unexpected bytes or was closed by the server. If so,
    /// it must not be reused: the check may have consumed a byte.
    pub fn has_pending_input(&mut self) -> bool {
        let mut byte = [0_u8; 1];
        self.reader.buffered_bytes() > 0 || self.reader.try_read_byte(&mut byte)
    }
}

/// Sends while a response is read, and stops once it was read. A request that fits into the socket
/// buffer goes out in one write, and so usually in one packet. Sets `has_failed` if a write fails before
/// the server has ended its side in order.
async fn send_while<T>(
    writer: &mut tcp::OwnedWriteHalf,
    unsent: &mut Chain<Bytes, Bytes>,
    has_failed: &mut bool,
    reading: impl Future<Output = Result<T, MessageError>>,
) -> Result<T, MessageError> {
    tokio::pin!(reading);
    let sent = tokio::select! {
        biased;
        sent = writer.write_all_buf(unsent) => sent,
        read = &mut reading => return read,
    };
    // A reset that follows the end of the server's side is reported as a broken pipe.
    *has_failed |= matches!(&sent, Err(error) if error.kind() != ErrorKind::BrokenPipe);
    // A server may respond and close before it has read a long body. Use its response.
    let read = reading.await;
    match sent {
        Ok(()) => read,
        Err(error) => read.map_err(|_| error.into()),
    }
}

/// Reads heads up to the first one that is not an interim response, which may come unrequested.
async fn read_final_head<R: AsyncRead + Unpin>(
    reader: &mut MessageReader<R>,
) -> Result<ResponseHead, MessageError> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = ResponseHead::parse(&reader.read_head(MAX_RESPONSE_HEAD_BYTES).await?)?;
        if !head.is_interim() {
            return Ok(head);
        }
    }
    Err(MessageError::Malformed("too many interim responses"))
}

/// Sets the socket options that detect a lost peer, and turns off Nagle's algorithm.
///
/// # Errors
/// When the system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> Result<(), MessageError> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(())
}

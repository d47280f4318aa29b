//! Client side of one connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpStream, tcp};
use tokio::time::Instant;

use super::body_decoder::BodyDecoder;
use super::message_error::MessageError;
use super::message_reader::MessageReader;
use super::response_head::ResponseHead;

/// Longest head of a response, in bytes.
const RESPONSE_HEAD_BYTES: usize = 64 * 1_024;
/// Idle time before the first keep-alive probe, and between probes. A connection whose peer lost
/// power shows it only by unanswered probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection counts as dead.
const PROBES: u32 = 3;
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Connection to a server, which carries one request at a time.
#[derive(Debug)]
pub struct ClientConnection {
    reader: MessageReader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    address: SocketAddr,
    idle_since: Instant,
    idle_limit: Duration,
}

impl ClientConnection {
    /// Connects to an address.
    ///
    /// # Errors
    /// When the connection is not established in time.
    pub async fn connect(
        address: SocketAddr,
        limit: Duration,
        idle_limit: Duration,
    ) -> Result<Self, MessageError> {
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| MessageError::TimedOut)??;
        set_socket_options(&stream)?;
        let (reader, writer) = stream.into_split();
        let reader = MessageReader::new(reader, BytesMut::new());
        let idle_since = Instant::now();
        Ok(Self { reader, writer, address, idle_since, idle_limit })
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a further request may be sent, `margin` before the server's idle limit.
    pub fn is_reusable(&self, now: Instant, margin: Duration) -> bool {
        let quiet = self.reader.buffered_bytes() == 0;
        quiet && now.duration_since(self.idle_since) + margin < self.idle_limit
    }

    /// Time since the last answer.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.idle_since)
    }

    /// Notes that an answer is complete and the connection idle.
    pub fn mark_idle(&mut self, keep_alive: Option<Duration>) {
        self.idle_since = Instant::now();
        if let Some(limit) = keep_alive {
            self.idle_limit = limit;
        }
    }

    /// Sends a request and reads the head of the answer; the flag says whether all of the request
    /// was sent before the answer came.
    ///
    /// # Errors
    /// When the connection fails or the head is malformed.
    pub async fn exchange(
        &mut self,
        head: &[u8],
        body: &Bytes,
    ) -> Result<(ResponseHead, bool), MessageError> {
        let Self { reader, writer, .. } = self;
        let sending = async {
            if body.len() <= 1_024 {
                let mut whole = Vec::with_capacity(head.len() + body.len());
                whole.extend_from_slice(head);
                whole.extend_from_slice(body);
                return writer.write_all(&whole).await;
            }
            writer.write_all(head).await?;
            writer.write_all(body).await
        };
        let reading = reader.read_head(RESPONSE_HEAD_BYTES);
        tokio::pin!(sending, reading);
        let early = tokio::select! {
            biased;
            sent = &mut sending => {
                // A server may answer and close before it has read a long body; its answer counts.
                if let Err(error) = sent {
                    return Ok((ResponseHead::parse(&reading.await.map_err(|_| error)?)?, false));
                }
                None
            }
            read = &mut reading => Some(read),
        };
        match early {
            Some(read) => Ok((ResponseHead::parse(&read?)?, false)),
            None => Ok((ResponseHead::parse(&reading.await?)?, true)),
        }
    }

    /// Reads the head of a further answer on this connection.
    ///
    /// # Errors
    /// When the connection fails or the head is malformed.
    pub async fn read_next_head(&mut self) -> Result<ResponseHead, MessageError> {
        ResponseHead::parse(&self.reader.read_head(RESPONSE_HEAD_BYTES).await?)
    }

    /// Reads the next piece of the answer's body.
    ///
    /// # Errors
    /// When the body is cut or malformed.
    pub async fn read_body_data(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, MessageError> {
        self.reader.read_body_data(decoder).await
    }

    /// Reads the whole body of the answer.
    ///
    /// # Errors
    /// When the body is cut, malformed or over the limit.
    pub async fn read_body(
        &mut self,
        head: &ResponseHead,
        limit_bytes: usize,
    ) -> Result<Bytes, MessageError> {
        self.reader.read_body(head.framing, limit_bytes).await
    }

    /// Whether bytes have arrived that no request asked for, or the server has closed.
    pub fn has_pending_input(&mut self) -> bool {
        let mut probe = [0_u8; 1];
        self.reader.buffered_bytes() > 0 || self.reader.try_read_byte(&mut probe)
    }
}

/// Sets the options that show a peer that is gone.
///
/// # Errors
/// When the system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> Result<(), MessageError> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    Ok(())
}

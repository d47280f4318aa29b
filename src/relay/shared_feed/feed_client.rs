//! Connection over which an instance takes changes from a reader.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::Instant;

use super::belief_age;
use super::feed_batch::FeedBatch;
use super::feed_message::{FeedMessageError, FeedRequest};
use super::feed_server;
use crate::http1::connection::ClientConnection;
use crate::http1::message_error::MessageError;

/// Limit on a batch. All records of the largest planned fleet take a few megabytes.
const MAX_BATCH_BYTES: usize = 8 * 1_024 * 1_024;

/// Why a reader gave no usable batch.
#[derive(Debug, thiserror::Error)]
pub enum FeedError {
    #[error("reader did not answer: {0}")]
    NoAnswer(#[from] MessageError),
    #[error("batch is unreadable: {0}")]
    Unreadable(#[from] FeedMessageError),
    /// The batch would occupy the link of the reader for too long.
    #[error("batch is too large to be passed on")]
    TooLarge,
    #[error("reader answered with status {0}")]
    Refused(u16),
    #[error("records of the reader are {} ms old", .0.as_millis())]
    Stale(Duration),
    /// The records of the reader are older than those of this instance.
    #[error("reader has an older revision")]
    Behind,
}

/// Client of one reader at a time.
#[derive(Debug)]
pub struct FeedClient {
    /// Address of this instance, by which a reader recognizes it.
    local: IpAddr,
    connection: Option<ClientConnection>,
}

impl FeedClient {
    pub fn new(local: IpAddr) -> Self {
        Self { local, connection: None }
    }

    /// Requests a batch; returns it with the age of its records on arrival. The reader must accept a
    /// connection within `connect_timeout`, and answer within `timeout`.
    ///
    /// # Errors
    /// When the reader does not answer, or not with a batch. Its connection is then closed.
    pub async fn request(
        &mut self,
        reader: SocketAddr,
        request: FeedRequest,
        connect_timeout: Duration,
        timeout: Duration,
    ) -> Result<(FeedBatch, Duration), FeedError> {
        let sent_at = Instant::now();
        let exchange = self.exchange(reader, request, connect_timeout, timeout);
        let outcome = tokio::time::timeout(timeout, exchange).await;
        let batch = outcome.unwrap_or(Err(FeedError::NoAnswer(MessageError::TimedOut)))?;
        let age = belief_age::age_on_arrival(batch.age, sent_at.elapsed(), batch.held);
        Ok((batch, age))
    }

    async fn exchange(
        &mut self,
        reader: SocketAddr,
        request: FeedRequest,
        connect_timeout: Duration,
        idle_timeout: Duration,
    ) -> Result<FeedBatch, FeedError> {
        let open = self.connection.take().filter(|open| open.address() == reader);
        let reusable = open.and_then(|mut open| (!open.has_pending_input()).then_some(open));
        let mut connection = match reusable {
            Some(connection) => connection,
            None => {
                let (local, timeout) = (self.local, connect_timeout);
                ClientConnection::connect_from(local, reader, timeout, idle_timeout).await?
            }
        };
        let head = feed_server::request_head(reader);
        let (head, _) = connection.exchange(&head, &request.encode()).await?;
        let body = connection.read_body(&head, MAX_BATCH_BYTES).await?;
        match head.status {
            200 => {}
            feed_server::TOO_LARGE_STATUS => {
                self.connection = Some(connection);
                return Err(FeedError::TooLarge);
            }
            status => return Err(FeedError::Refused(status)),
        }
        let batch = FeedBatch::decode(body)?;
        if head.is_keep_alive {
            self.connection = Some(connection);
        }
        Ok(batch)
    }
}

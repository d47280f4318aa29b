//! Server from which other instances of the data centre take changes.
//!
//! Only instances in the member list are served. A malformed message ends its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::{TcpListener, TcpStream};

use super::feed_message::FeedRequest;
use crate::event_catalogue::LogEvent;
use crate::http1::connection;
use crate::http1::message_error::MessageError;
use crate::http1::message_reader::MessageReader;
use crate::http1::request_head::RequestHead;
use crate::relay::accept_loop;
use crate::relay::caller_writer::CallerWriter;
use crate::relay::relay_node::RelayNode;
use crate::relay::store_era;

/// Status of an answer whose batch would occupy the link for too long.
pub(super) const TOO_LARGE_STATUS: u16 = 413;
/// Status while nothing was read yet, or while the instance drains.
const UNAVAILABLE_STATUS: u16 = 503;
const PATH: &str = "/feed";
const BATCH_CONTENT_TYPE: &str = "application/octet-stream";
/// Limit on the head of a request.
const MAX_HEAD_BYTES: usize = 1_024;
/// Connections open at once. A data centre of the planned fleet has under a hundred instances, each
/// with one connection for each scope.
const MAX_CONNECTIONS: usize = 400;
/// Time within which a request must follow the last one, and arrive as a whole. Instances send the
/// next one at once.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an answer to be written. Its instance has read the store itself long before.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which passing one batch to all instances of the data centre may occupy the link.
const MAX_LINK_TIME: Duration = Duration::from_millis(800);
/// Size of a batch that is passed on whatever the link.
const MIN_BATCH_LIMIT_BYTES: usize = 16 * 1_024;

/// Head of a request to a reader; a [`FeedRequest`] follows it.
pub(super) fn request_head(reader: SocketAddr) -> Vec<u8> {
    let length = FeedRequest::ENCODED_BYTES;
    format!("POST {PATH} HTTP/1.1\r\nHost: {reader}\r\nContent-Length: {length}\r\n\r\n")
        .into_bytes()
}

/// Largest batch that may be passed on over a link of this speed to this many instances.
pub fn max_batch_bytes(link_mbps: u32, members: usize) -> usize {
    let bytes_per_s = f64::from(link_mbps) * 1_000_000.0 / 8.0;
    let share = bytes_per_s * MAX_LINK_TIME.as_secs_f64() / members.max(1) as f64;
    (share as usize).max(MIN_BATCH_LIMIT_BYTES)
}

/// Accepts and serves connections until the process ends.
pub async fn run(node: Arc<RelayNode>, listener: TcpListener) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    let on_accept = |stream, peer: SocketAddr| {
        let rejection = if open_connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            Some("all connections are in use")
        } else if !node.members.lock().has_address(peer.ip()) {
            Some("peer is not in the member list")
        } else {
            None
        };
        if let Some(error) = rejection {
            let fields = slog::o!("peer" => peer.to_string(), "error" => error);
            node.emit(LogEvent::FeedRejected, fields);
            return;
        }
        let (node, open_connections) = (node.clone(), open_connections.clone());
        tokio::spawn(async move {
            open_connections.fetch_add(1, Ordering::Relaxed);
            let outcome = serve(&node, stream).await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
            if let Err(error @ (MessageError::Malformed(_) | MessageError::HeadTooLarge)) = outcome
            {
                let fields = slog::o!("peer" => peer.to_string(), "error" => error.to_string());
                node.emit(LogEvent::FeedRejected, fields);
            }
        });
    };
    accept_loop::run(&node, listener, on_accept).await;
}

async fn serve(node: &RelayNode, stream: TcpStream) -> Result<(), MessageError> {
    connection::set_socket_options(&stream)?;
    let (reader, writer) = stream.into_split();
    let mut reader = MessageReader::new(reader, BytesMut::new());
    let mut writer = CallerWriter::new(writer);
    loop {
        let reading = async {
            let head = RequestHead::parse(&reader.read_head(MAX_HEAD_BYTES).await?)?;
            reader.read_body(head.framing, FeedRequest::ENCODED_BYTES).await
        };
        let body: Bytes = tokio::time::timeout(REQUEST_TIMEOUT, reading)
            .await
            .map_err(|_| MessageError::TimedOut)??;
        let request =
            FeedRequest::decode(body).map_err(|_| MessageError::Malformed("feed request"))?;
        writer.begin_answer(false, false);
        let (status, body) = answer(node, request).await;
        let writing = writer.write_router_answer(status, BATCH_CONTENT_TYPE, &[], &body);
        tokio::time::timeout(WRITE_TIMEOUT, writing)
            .await
            .map_err(|_| MessageError::TimedOut)??;
    }
}

async fn answer(node: &RelayNode, request: FeedRequest) -> (u16, Bytes) {
    if node.drain_elapsed().is_some() {
        return (UNAVAILABLE_STATUS, Bytes::new());
    }
    // Another instance may have noticed a restoration of the store first.
    let eras = node.store.store_eras();
    if eras.current() > 0 {
        eras.observe(store_era::era_of(request.after));
    }
    let max_hold = request.scope.reader_hold(&node.settings.bounds);
    let Some(batch) = node.feeds.next_batch(request.scope, request.after, max_hold).await else {
        return (UNAVAILABLE_STATUS, Bytes::new());
    };
    let body = batch.encode();
    let members = node.members.lock().count_in(&node.settings.data_centre);
    let result = if body.len() > max_batch_bytes(node.settings.link_mbps, members) {
        "too_large"
    } else {
        "served"
    };
    metrics::counter!("yuccareel_feed_batches_total", "outcome" => result).increment(1);
    if result == "too_large" { (TOO_LARGE_STATUS, Bytes::new()) } else { (200, body) }
}

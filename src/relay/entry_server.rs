//! Answers at the addresses of the router itself: readiness, directory, metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};

use super::accept_loop;
use super::call_codec::EntryCall;
use super::caller_writer::{CallerWriter, JSON_TYPE};
use super::relay_node::RelayNode;
use crate::http1::connection;
use crate::http1::message_error::MessageError;
use crate::http1::message_reader::MessageReader;
use crate::http1::request_head::RequestHead;

/// Time for which callers keep an answer of the directory. A killed instance is named for the
/// life of its lease and this time.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Most addresses in one answer.
const MOST_ADDRESSES: usize = 64;
/// Members of a caller's data centre from which they are named alone; with fewer, the loss of
/// one would leave the others with twice their calls.
const LEAST_NEAR: usize = 3;
/// Time for which a connection may be idle.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Longest head, in bytes.
const HEAD_BYTES: usize = 8 * 1_024;
/// Type of the page of metrics: the text format of Prometheus.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// What an address serves.
#[derive(Clone)]
pub enum EntryEndpoints {
    /// Readiness and directory.
    Discovery,
    /// Metrics.
    Metrics(PrometheusHandle),
}

/// Serves an address until the process ends.
pub async fn run(node: Arc<RelayNode>, listener: TcpListener, endpoints: EntryEndpoints) {
    let accepted = |stream, _| {
        let (node, endpoints) = (node.clone(), endpoints.clone());
        tokio::spawn(async move {
            // The caller of a page sees a broken connection itself.
            let _ = serve(node, stream, endpoints).await;
        });
    };
    accept_loop::run(&node, listener, accepted).await;
}

async fn serve(
    node: Arc<RelayNode>,
    stream: TcpStream,
    endpoints: EntryEndpoints,
) -> Result<(), MessageError> {
    connection::set_socket_options(&stream)?;
    let (reader, writer) = stream.into_split();
    let mut reader = MessageReader::new(reader, BytesMut::new());
    let mut writer = CallerWriter::new(writer);
    loop {
        let reading = tokio::time::timeout(IDLE_LIMIT, reader.read_head(HEAD_BYTES));
        let text: Bytes = reading.await.map_err(|_| MessageError::TimedOut)??;
        let head = RequestHead::parse(&text)?;
        reader.read_body(head.framing, HEAD_BYTES).await?;
        writer.begin(!head.is_keep_alive);
        answer(&node, &head, &endpoints, &mut writer).await?;
        if writer.closes() {
            return Ok(writer.shut_down().await?);
        }
    }
}

async fn answer(
    node: &RelayNode,
    head: &RequestHead,
    endpoints: &EntryEndpoints,
    writer: &mut CallerWriter,
) -> std::io::Result<()> {
    if let EntryEndpoints::Metrics(metrics) = endpoints {
        return writer.write_own(200, METRICS_TYPE, &[], metrics.render().as_bytes()).await;
    }
    match node.call_codec.read_entry_call(head) {
        EntryCall::Readiness => {
            let status = if node.is_ready() { 200 } else { 503 };
            writer.write_own(status, JSON_TYPE, &[], b"{}").await
        }
        EntryCall::Directory { region, data_centre } => {
            let near = data_centre.as_deref();
            let mut addresses =
                node.members.lock().addresses(region.as_deref(), near, LEAST_NEAR, MOST_ADDRESSES);
            if addresses.is_empty() && node.is_ready() {
                addresses.push(node.settings.listen.calls);
            }
            if addresses.is_empty() {
                return writer.write_own(503, JSON_TYPE, &[], b"{}").await;
            }
            let ttl = DIRECTORY_TTL.min(node.settings.bounds.max_directory_ttl);
            let body = node.call_codec.write_directory(&addresses, ttl);
            writer.write_own(200, JSON_TYPE, &[], &body).await
        }
        EntryCall::Unknown => writer.write_own(404, JSON_TYPE, &[], b"{}").await,
    }
}

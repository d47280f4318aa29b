//! Server for requests to the instance itself: readiness, the directory of instances and metrics.
//!
//! Callers read the directory to learn the addresses to which they send calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};

use super::accept_loop;
use super::call_codec::DiscoveryRequest;
use super::caller_writer::{CallerWriter, JSON_CONTENT_TYPE};
use super::memory_holder::MemoryHolder;
use super::port_limits::PortLimits;
use super::relay_node::RelayNode;
use crate::http1::connection;
use crate::http1::message_error::MessageError;
use crate::http1::message_reader::MessageReader;
use crate::http1::request_head::RequestHead;

/// Time for which callers may cache a response of the directory. A killed instance still gets calls
/// until its lease has expired and this time has passed.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Addresses in one response of the directory.
const MAX_ADDRESSES: usize = 64;
/// Smallest number of members in the caller's data centre for which the response lists no others.
/// With two, the loss of one would double the calls to the other.
const MIN_LOCAL_MEMBERS: usize = 3;
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the body of a request to arrive, and for the answer to be written, each. They are small.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for the head and for the body of a request, each.
const MAX_MESSAGE_BYTES: usize = 8 * 1_024;
/// Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Endpoints that a listen address serves.
#[derive(Clone)]
pub enum ServedEndpoints {
    /// Readiness and the directory of instances.
    Discovery,
    Metrics(PrometheusHandle),
}

/// Accepts and serves connections until the process ends.
pub async fn run(node: Arc<RelayNode>, listener: TcpListener, endpoints: ServedEndpoints) {
    let port = match endpoints {
        ServedEndpoints::Discovery => "discovery",
        ServedEndpoints::Metrics(_) => "metrics",
    };
    let limits = PortLimits::new(&node, port);
    let on_accept = |stream, peer: SocketAddr| {
        let Some(place) = limits.admit(peer.ip()) else { return };
        let (node, endpoints) = (node.clone(), endpoints.clone());
        tokio::spawn(async move {
            // Not logged: the client sees the failed connection itself.
            let _ = serve(node, stream, endpoints).await;
            drop(place);
        });
    };
    accept_loop::run(&node, listener, on_accept).await;
}

async fn serve(
    node: Arc<RelayNode>,
    stream: TcpStream,
    endpoints: ServedEndpoints,
) -> Result<(), MessageError> {
    connection::set_socket_options(&stream)?;
    let (reader, writer) = stream.into_split();
    let mut reader = MessageReader::new(reader, BytesMut::new());
    let mut writer = CallerWriter::new(writer);
    loop {
        let reading = tokio::time::timeout(IDLE_TIMEOUT, reader.read_head(MAX_MESSAGE_BYTES));
        let text: Bytes = reading.await.map_err(|_| MessageError::TimedOut)??;
        let head = RequestHead::parse(&text)?;
        let reading = reader.read_body(head.framing, MAX_MESSAGE_BYTES);
        tokio::time::timeout(EXCHANGE_TIMEOUT, reading)
            .await
            .map_err(|_| MessageError::TimedOut)??;
        writer.begin_answer(!head.is_keep_alive, head.is_head_request());
        let answering = answer_request(&node, &head, &endpoints, &mut writer);
        tokio::time::timeout(EXCHANGE_TIMEOUT, answering)
            .await
            .map_err(|_| MessageError::TimedOut)??;
        if writer.closes_connection() {
            return Ok(writer.shut_down().await?);
        }
    }
}

async fn answer_request(
    node: &RelayNode,
    head: &RequestHead,
    endpoints: &ServedEndpoints,
    writer: &mut CallerWriter,
) -> std::io::Result<()> {
    if let ServedEndpoints::Metrics(metrics) = endpoints {
        let page = metrics.render();
        // A client that does not read the page keeps it until the time-out.
        let reserved = node.memory.reserve(MemoryHolder::Ports, None, page.len());
        let _reservation = match reserved {
            Ok(reservation) => reservation,
            Err(shortage) => {
                node.report_shortage(MemoryHolder::Ports, &shortage);
                return writer.write_router_answer(503, JSON_CONTENT_TYPE, &[], b"{}").await;
            }
        };
        return writer.write_router_answer(200, METRICS_CONTENT_TYPE, &[], page.as_bytes()).await;
    }
    match node.call_codec.read_discovery_request(head) {
        DiscoveryRequest::Readiness => {
            let status = if node.is_ready() { 200 } else { 503 };
            writer.write_router_answer(status, JSON_CONTENT_TYPE, &[], b"{}").await
        }
        DiscoveryRequest::Directory { region, data_centre } => {
            let local = data_centre.as_deref();
            let mut addresses = node.members.lock().call_addresses(
                region.as_deref(),
                local,
                MIN_LOCAL_MEMBERS,
                MAX_ADDRESSES,
            );
            // The member list may still lack this instance.
            if addresses.is_empty() && node.is_ready() {
                addresses.push(node.settings.listen.calls);
            }
            if addresses.is_empty() {
                return writer.write_router_answer(503, JSON_CONTENT_TYPE, &[], b"{}").await;
            }
            let ttl = DIRECTORY_TTL.min(node.settings.bounds.max_directory_ttl);
            let body = node.call_codec.write_directory(&addresses, ttl);
            writer.write_router_answer(200, JSON_CONTENT_TYPE, &[], &body).await
        }
        DiscoveryRequest::Unknown => {
            writer.write_router_answer(404, JSON_CONTENT_TYPE, &[], b"{}").await
        }
    }
}

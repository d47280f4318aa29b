//! Path of a call to a plain service.
//!
//! A call that may not be repeated is sent at most once: it is claimed first and
//! never sent again once its first byte may have left.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use salvo::http::Method;
use smallvec::SmallVec;

use crate::{error_body, ids, node, node_dispatch, records, refusal_reason, replica_table};

/// Attempts of a repeatable call, the first included.
const MAX_ATTEMPTS: usize = 3;

/// Call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Identifier in replies and logs.
    pub id: ids::RequestId,
    /// Customer that calls.
    pub customer: Arc<records::customer::CustomerRecord>,
    /// Service record of the path.
    pub service: Arc<records::service::ServiceRecord>,
    /// HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path_and_query: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Idempotency key of the caller.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Reply of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// Identifier of the call.
    pub id: ids::RequestId,
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// Answers a call.
///
/// # Errors
/// With a refusal that says whether the call may have run.
pub async fn answer(
    node: &Arc<node::Node>,
    call: ServiceCall,
) -> Result<ServiceReply, error_body::RequestRefusal> {
    let repeatable = call.service.repeatable(call.method.as_str(), &call.path_and_query);
    let mut tried: SmallVec<[ids::ReplicaName; 4]> = SmallVec::new();
    loop {
        let dispatch = node.dispatch_service(&call, &tried)?;
        match send(node, &call, &dispatch).await {
            Ok(reply) => return Ok(reply),
            Err(refusal) => {
                let harmless = repeatable || refusal.ran == error_body::RunState::No;
                if !harmless || tried.len() + 1 >= MAX_ATTEMPTS {
                    return Err(refusal);
                }
                tried.push(dispatch.row.name.clone());
            }
        }
    }
}

async fn send(
    node: &Arc<node::Node>,
    call: &ServiceCall,
    dispatch: &node_dispatch::DispatchGuard,
) -> Result<ServiceReply, error_body::RequestRefusal> {
    let url = format!("http://{}{}", dispatch.row.address, call.path_and_query);
    let mut request = node
        .service_http
        .request(call.method.clone(), url)
        .timeout(Duration::from_millis(call.service.timeout_ms))
        .header("x-request-id", format!("{:032x}", call.id))
        .body(call.body.clone());
    if let Some(key) = &call.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    if let Some(content_type) = &call.content_type {
        request = request.header("content-type", content_type);
    }
    let reply = request.send().await.map_err(send_refusal)?;
    let status = reply.status().as_u16();
    let content_type = reply.headers().get("content-type").and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let body = reply.bytes().await.map_err(send_refusal)?;
    Ok(ServiceReply { id: call.id, status, content_type, body })
}

/// A failed connect proves that no byte left; any other failure proves nothing.
fn send_refusal(error: reqwest::Error) -> error_body::RequestRefusal {
    let reason = refusal_reason::RefusalReason::BackendFailed;
    if error.is_connect() {
        error_body::RequestRefusal::not_run(reason, "service could not be reached")
    } else {
        error_body::RequestRefusal::unknown(reason, "service gave no whole answer")
    }
}

impl node::Node {
    /// Chooses a replica of a plain service.
    ///
    /// # Errors
    /// `no_replica` or `data_centre_drained`.
    pub fn dispatch_service(
        &self,
        call: &ServiceCall,
        tried: &SmallVec<[ids::ReplicaName; 4]>,
    ) -> Result<node_dispatch::DispatchGuard, error_body::RequestRefusal> {
        let table = self.replicas.load();
        let snapshot = self.snapshot.load();
        let pool = replica_table::ReplicaPool::Service(call.service.name.clone());
        let live = table.pool(&pool).iter().map(|&index| table.row(index));
        let row = live
            .filter(|row| !row.leaving && !snapshot.drained(&row.data_centre))
            .filter(|row| !tried.contains(&row.name))
            .min_by_key(|row| row.in_flight.load(std::sync::atomic::Ordering::Relaxed));
        row.map(node_dispatch::DispatchGuard::new).ok_or_else(|| {
            let reason = refusal_reason::RefusalReason::NoReplica;
            error_body::RequestRefusal::not_run(reason, "no live replica of the service")
        })
    }
}

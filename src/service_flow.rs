//! Path of a call to a plain service.
//!
//! A call that may not be repeated is sent at most once: it is claimed first and
//! never sent again once its first byte may have left.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use salvo::http::Method;
use tokio::time::Instant;

use crate::http1::response_head::ResponseHead;
use crate::{
    admission_queue, claim_record, error_body, ids, node, node_claims, node_dispatch, peer_message,
    records, refusal_reason, replica_table, retry_budget, retry_reason,
};

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
    let _admission = node.admit(&call.customer, 0).await?;
    let path = call.path_and_query.split('?').next().unwrap_or_default();
    if call.service.repeatable(call.method.as_str(), path) {
        return send_repeatable(node, &call).await;
    }
    send_once(node, &call, path).await
}

async fn send_repeatable(
    node: &Arc<node::Node>,
    call: &ServiceCall,
) -> Result<ServiceReply, error_body::RequestRefusal> {
    let mut tried = node_dispatch::TriedReplicas::new();
    let mut last: Option<error_body::RequestRefusal> = None;
    let mut may_have_run = false;
    let mut must_pay = false;
    loop {
        let dispatched = dispatch(node, call, &tried).await;
        let dispatch = dispatched.map_err(|refusal| refusal.after_attempts(may_have_run))?;
        let replica = dispatch.row.name.clone();
        if tried.is_empty() {
            node.retries.lock().record_first_attempt(&call.customer.name, &replica);
        }
        if must_pay && !node.try_take_retry(&call.customer.name, &replica) {
            return Err(last.unwrap_or_else(no_attempt).after_attempts(may_have_run));
        }
        let refusal = match send(node, call, &dispatch).await {
            Ok(reply) => {
                node.record_success(&dispatch);
                return Ok(reply);
            }
            Err(refusal) => refusal,
        };
        may_have_run |= refusal.ran == error_body::RunState::Unknown;
        let (reason, progress) = failure_kind(&refusal);
        tried.push(replica);
        match retry_budget::decide_retry(reason, true, progress, tried.len() as u32) {
            retry_budget::RetryDecision::DoNotRetry => {
                return Err(refusal.after_attempts(may_have_run));
            }
            decision => must_pay = decision == retry_budget::RetryDecision::RetryWithinBudget,
        }
        metrics::counter!("yuccareel_retries_total", "reason" => reason.code()).increment(1);
        last = Some(refusal);
    }
}

fn failure_kind(
    refusal: &error_body::RequestRefusal,
) -> (retry_reason::RetryReason, retry_budget::AttemptProgress) {
    match refusal.ran {
        error_body::RunState::No => {
            (retry_reason::RetryReason::ConnectFailed, retry_budget::AttemptProgress::NotSent)
        }
        error_body::RunState::Unknown => {
            (retry_reason::RetryReason::BackendError, retry_budget::AttemptProgress::MaybeSent)
        }
    }
}

fn no_attempt() -> error_body::RequestRefusal {
    let reason = refusal_reason::RefusalReason::BackendFailed;
    error_body::RequestRefusal::not_run(reason, "no attempt left")
}

/// Claims the call, then sends it once; only a failed connect is tried elsewhere.
async fn send_once(
    node: &Arc<node::Node>,
    call: &ServiceCall,
    path: &str,
) -> Result<ServiceReply, error_body::RequestRefusal> {
    let made = format!("{:032x}", call.id);
    let idempotency_key = call.idempotency_key.as_deref().unwrap_or(&made);
    let route = format!("{} {path}", call.method);
    let claim = claim_record::ClaimRequest {
        key: claim_record::claim_key(&call.customer.name, &route, idempotency_key),
        fingerprint: claim_record::digest(&[call.path_and_query.as_bytes(), &call.body]),
        request: call.id,
        serving: node.process.clone(),
    };
    let deadline = Instant::now() + Duration::from_millis(call.service.timeout_ms);
    match node.claim_call(&claim, deadline).await? {
        node_claims::CallClaim::Replay(answer) => return replay(call.id, &answer),
        node_claims::CallClaim::Send => {}
    }
    let mut ending = CallEnding::new(node, &claim);
    let sent = send_claimed(node, call, idempotency_key, &mut ending).await;
    match &sent {
        Ok(reply) => ending.finish(reply),
        Err(refusal) if refusal.ran == error_body::RunState::No => ending.abandon(),
        // The outcome is unknown; duplicates are told so.
        Err(_) => {}
    }
    sent
}

async fn send_claimed(
    node: &Arc<node::Node>,
    call: &ServiceCall,
    idempotency_key: &str,
    ending: &mut CallEnding,
) -> Result<ServiceReply, error_body::RequestRefusal> {
    let call = ServiceCall { idempotency_key: Some(idempotency_key.to_owned()), ..call.clone() };
    let mut tried = node_dispatch::TriedReplicas::new();
    loop {
        let dispatch = dispatch(node, &call, &tried).await?;
        ending.sending = true;
        let refusal = match send(node, &call, &dispatch).await {
            Ok(reply) => {
                node.record_success(&dispatch);
                return Ok(reply);
            }
            Err(refusal) => refusal,
        };
        let not_run = refusal.ran == error_body::RunState::No;
        if !not_run || tried.len() + 1 >= MAX_ATTEMPTS {
            return Err(refusal);
        }
        ending.sending = false;
        let reason = retry_reason::RetryReason::ConnectFailed.code();
        metrics::counter!("yuccareel_retries_total", "reason" => reason).increment(1);
        tried.push(dispatch.row.name.clone());
    }
}

/// Ends a claim; a caller that goes away before the send frees the key.
struct CallEnding {
    node: Arc<node::Node>,
    key: claim_record::ClaimKey,
    request: ids::RequestId,
    sending: bool,
    ended: bool,
}

impl CallEnding {
    fn new(node: &Arc<node::Node>, claim: &claim_record::ClaimRequest) -> Self {
        let (key, request) = (claim.key, claim.request);
        Self { node: Arc::clone(node), key, request, sending: false, ended: false }
    }

    fn finish(&mut self, reply: &ServiceReply) {
        let body = reply.body.clone();
        let answer = claim_record::ClaimAnswer::new(reply.status, reply.content_type.clone(), body);
        self.end(Some(answer));
    }

    fn abandon(&mut self) {
        self.end(None);
    }

    fn end(&mut self, answer: Option<claim_record::ClaimAnswer>) {
        self.ended = true;
        let (key, request) = (self.key, self.request);
        self.node.end_call(peer_message::FinishRequest { key, request, answer });
    }
}

impl Drop for CallEnding {
    fn drop(&mut self) {
        if !self.ended && !self.sending {
            self.abandon();
        }
    }
}

fn replay(
    id: ids::RequestId,
    answer: &claim_record::ClaimAnswer,
) -> Result<ServiceReply, error_body::RequestRefusal> {
    let body = answer.replay()?.clone();
    let content_type = answer.content_type.clone();
    Ok(ServiceReply { id, status: answer.status, content_type, body })
}

async fn dispatch(
    node: &Arc<node::Node>,
    call: &ServiceCall,
    tried: &node_dispatch::TriedReplicas,
) -> Result<node_dispatch::DispatchGuard, error_body::RequestRefusal> {
    let pool = replica_table::ReplicaPool::Service(call.service.name.clone());
    let deadline = Instant::now() + Duration::from_millis(call.service.timeout_ms);
    let lane = admission_queue::RequestLane::Interactive;
    let prefixes = Default::default();
    node.dispatch_in_pool(&call.customer.name, &pool, lane, deadline, tried, &prefixes).await
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
    if !ResponseHead::is_final_status(status) {
        return Err(error_body::RequestRefusal::may_have_run(
            refusal_reason::RefusalReason::BackendFailed,
            "service gave no valid status",
        ));
    }
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
        error_body::RequestRefusal::may_have_run(reason, "service gave no whole answer")
    }
}

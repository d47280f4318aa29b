//! HTTP interface towards callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::stream;
use salvo::http::ParseError;
use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};
use serde_json::json;
use xxhash_rust::xxh3;

use crate::{chat_flow, chat_request, error_body, ids, node, refusal_reason, service_flow};

/// Routes for callers.
pub fn router(node: &Arc<node::Node>) -> Router {
    let route = |call| CallerHandler { node: Arc::clone(node), call };
    Router::new()
        .push(Router::with_path("v1/chat/completions").post(route(CallerRoute::Chat)))
        .push(Router::with_path("v1/models").get(route(CallerRoute::Models)))
        .push(Router::with_path("v1/endpoints").get(route(CallerRoute::Endpoints)))
        .push(Router::with_path("healthz").get(route(CallerRoute::Health)))
        .push(Router::with_path("readyz").get(route(CallerRoute::Ready)))
        .push(Router::with_path("{**rest}").goal(route(CallerRoute::Service)))
}

/// Route of the metrics in the text format of Prometheus.
pub fn metrics_router(handle: Option<metrics_exporter_prometheus::PrometheusHandle>) -> Router {
    Router::with_path("metrics").get(MetricsHandler { handle })
}

struct MetricsHandler {
    handle: Option<metrics_exporter_prometheus::PrometheusHandle>,
}

#[handler]
impl MetricsHandler {
    async fn handle(&self, response: &mut Response) {
        let text = self.handle.as_ref().map(|handle| handle.render());
        response.render(text.unwrap_or_default());
    }
}

#[derive(Clone, Copy)]
enum CallerRoute {
    Chat,
    Models,
    Endpoints,
    Health,
    Ready,
    Service,
}

struct CallerHandler {
    node: Arc<node::Node>,
    call: CallerRoute,
}

/// Counts one request being served while it lives.
struct ServingGuard(Arc<node::Node>);

impl ServingGuard {
    fn new(node: &Arc<node::Node>) -> Self {
        node.serving.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(node))
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.fetch_sub(1, Ordering::SeqCst);
    }
}

#[handler]
impl CallerHandler {
    async fn handle(&self, request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        let node = &self.node;
        let served = match self.call {
            CallerRoute::Chat => self.chat(request, response).await,
            CallerRoute::Service => self.service(request, response).await,
            CallerRoute::Models => self.models(request, response),
            CallerRoute::Endpoints => self.endpoints(request, response),
            CallerRoute::Health => {
                response.render(salvo::writing::Json(json!({ "status": "ok" })));
                Ok(())
            }
            CallerRoute::Ready => {
                let ready = node.ready();
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                response.status_code(status);
                response.render(salvo::writing::Json(json!({ "ready": ready })));
                Ok(())
            }
        };
        if let Err(refusal) = served {
            node.count_refusal(&refusal);
            render_refusal(response, &refusal);
        }
    }
}

impl CallerHandler {
    async fn chat(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), error_body::RequestRefusal> {
        let guard = ServingGuard::new(&self.node);
        let id = name_request(response);
        let customer = self.node.authenticate(bearer_token(request).as_deref())?;
        let body = self.body(request).await?;
        let headers = chat_request::ChatHeaders {
            kind: request.header("x-yuccareel-kind"),
            session: request.header("x-yuccareel-session"),
            priority: request.header("x-yuccareel-priority"),
            deadline_ms: request.header("x-yuccareel-deadline-ms"),
        };
        let time = self.node.options.request_timeout;
        let parsed = chat_request::ChatRequest::parse(&body, headers, time)?;
        let stream = parsed.stream;
        let job = chat_flow::new_job(id, customer, parsed);
        match chat_flow::answer(&self.node, job).await? {
            chat_flow::ChatAnswer::Whole(answer) => {
                set_target(response, &answer.target);
                set_header(response, "x-yuccareel-cost-microcredits", &answer.cost.to_string());
                if stream {
                    set_header(response, "content-type", "text/event-stream");
                    response.body(answer.events());
                } else {
                    response.render(salvo::writing::Json(answer.body()));
                }
            }
            chat_flow::ChatAnswer::Streamed(answer) => {
                set_target(response, answer.target());
                set_header(response, "content-type", "text/event-stream");
                set_header(response, "cache-control", "no-cache");
                let pieces = stream::unfold((answer, guard), |(mut answer, guard)| async move {
                    let piece = answer.next().await?;
                    Some((Ok::<_, std::io::Error>(piece), (answer, guard)))
                });
                response.stream(pieces);
            }
        }
        Ok(())
    }

    async fn service(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), error_body::RequestRefusal> {
        let _guard = ServingGuard::new(&self.node);
        let id = name_request(response);
        let path = request.uri().path().to_owned();
        let service = self.node.snapshot.load().service_for(&path).cloned().ok_or_else(|| {
            let reason = refusal_reason::RefusalReason::RouteUnknown;
            error_body::RequestRefusal::not_run(reason, format!("no route for {path}"))
        })?;
        let customer = self.node.authenticate(bearer_token(request).as_deref())?;
        let body = self.body(request).await?;
        let call = service_flow::ServiceCall {
            id,
            customer,
            service,
            method: request.method().clone(),
            path_and_query: request.uri().path_and_query().map_or(path, ToString::to_string),
            content_type: request.header("content-type"),
            idempotency_key: request.header("idempotency-key"),
            body,
        };
        let reply = service_flow::answer(&self.node, call).await?;
        set_header(response, "content-type", &reply.content_type);
        response.status_code(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY));
        response.body(reply.body);
        Ok(())
    }

    fn models(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), error_body::RequestRefusal> {
        let customer = self.node.authenticate(bearer_token(request).as_deref())?;
        let snapshot = self.node.snapshot.load();
        let allowed = snapshot.models.keys().filter(|name| customer.allows_model(name));
        let data: Vec<_> = allowed
            .map(|name| json!({ "id": &**name, "object": "model", "created": 0, "owned_by": "yuccareel" }))
            .collect();
        response.render(salvo::writing::Json(json!({ "object": "list", "data": data })));
        Ok(())
    }

    fn endpoints(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), error_body::RequestRefusal> {
        // The address alone would send all callers behind one gateway to the same instance.
        let caller = (request.remote_addr().to_string(), bearer_token(request));
        let hash = xxh3::xxh3_64(format!("{caller:?}").as_bytes());
        response.render(salvo::writing::Json(self.node.endpoints.load().answer(hash)));
        Ok(())
    }

    async fn body(&self, request: &mut Request) -> Result<Bytes, error_body::RequestRefusal> {
        let limit = self.node.options.body_limit;
        let not_run = error_body::RequestRefusal::not_run;
        let time = self.node.options.body_timeout;
        let read = tokio::time::timeout(time, request.payload_with_max_size(limit)).await;
        match read {
            Err(_) => {
                let reason = refusal_reason::RefusalReason::CallerSlow;
                Err(not_run(reason, format!("body: not sent within {time:?}")))
            }
            Ok(Ok(body)) => Ok(body.clone()),
            Ok(Err(ParseError::PayloadTooLarge)) => {
                let reason = refusal_reason::RefusalReason::BodyTooLarge;
                Err(not_run(reason, format!("body: larger than {limit} bytes")))
            }
            Ok(Err(error)) => {
                let reason = refusal_reason::RefusalReason::BodyInvalid;
                Err(not_run(reason, format!("body: {error}")))
            }
        }
    }
}

fn bearer_token(request: &Request) -> Option<String> {
    let header: String = request.header("authorization")?;
    let (scheme, token) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim().to_owned())
}

/// Identifies a request in its reply, whether that is an answer or a refusal.
fn name_request(response: &mut Response) -> ids::RequestId {
    let id: ids::RequestId = rand::random();
    set_header(response, "x-request-id", &format!("{id:032x}"));
    id
}

fn set_target(response: &mut Response, target: &crate::chat_job::VersionTarget) {
    set_header(response, "x-yuccareel-model", &target.model.name);
    set_header(response, "x-yuccareel-version", &target.version);
    if target.repinned {
        set_header(response, "x-yuccareel-repinned", "true");
    }
}

fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// Writes a refusal as a typed error body.
pub fn render_refusal(response: &mut Response, refusal: &error_body::RequestRefusal) {
    let status = StatusCode::from_u16(refusal.reason.status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(seconds) = refusal.reason.retry_after_s() {
        set_header(response, "retry-after", &seconds.to_string());
    }
    response.render(salvo::writing::Json(refusal.body()));
}

//! Routing of a call by the configuration, before its first attempt.
//!
//! Calls that the configuration or the state of this instance rules out are refused here, before
//! anything is sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::call_job::CallJob;
use super::caller_refusal::CallerRefusal;
use super::relay_config::{CallKind, CustomerRow, RelayConfig};
use super::relay_node::RelayNode;
use super::run_proof::UnsentRequest;
use crate::http1::request_head::RequestHead;
use crate::ids;
use crate::refusal_reason::RefusalReason;

/// Time after the start of a drain during which streams are still accepted. Later ones would not
/// end within the platform's grace period.
const STREAM_ACCEPT_PERIOD: Duration = Duration::from_millis(2_000);
/// Time before the end of a drain at which the instance stops accepting calls.
const CALL_ACCEPT_MARGIN: Duration = Duration::from_millis(1_000);

impl RelayNode {
    /// Routes a call.
    ///
    /// # Errors
    /// When the call is refused; the text is its request identifier for the log.
    pub(super) fn route_call(
        &self,
        head: RequestHead,
        body: Bytes,
        received: Instant,
        request: &UnsentRequest,
    ) -> Result<CallJob, (CallerRefusal, String)> {
        let call = self.call_codec.read_call(&head);
        let id = call.id_text();
        let refuse = |reason, message: &str| {
            Err((CallerRefusal::proven(request.proof(), reason, message), id.clone()))
        };
        let config = self.config.load();
        let Some(config) = config.as_ref() else {
            return refuse(RefusalReason::NotReady, "no configuration is known yet");
        };
        if call.id.is_none() {
            return refuse(RefusalReason::BodyInvalid, "the call has no identifier");
        }
        let Some(route) = config.route(&call.host, head.path()) else {
            return refuse(RefusalReason::RouteUnknown, "no route leads there");
        };
        let customer = match authenticate(config, route.is_public, call.api_key.as_ref()) {
            Ok(customer) => customer,
            Err(reason) => return refuse(reason, "the key belongs to no customer"),
        };
        if !route.leads_to_model(&call) {
            return refuse(RefusalReason::ModelNotOnRoute, "the route does not lead to the model");
        }
        let accept_period = match route.kind {
            CallKind::Stream => STREAM_ACCEPT_PERIOD,
            CallKind::Safe | CallKind::Unsafe => {
                self.drain_timeout().saturating_sub(CALL_ACCEPT_MARGIN)
            }
        };
        if self.drain_elapsed().is_some_and(|elapsed| elapsed >= accept_period) {
            return refuse(RefusalReason::ShuttingDown, "the instance is leaving");
        }
        let Some(service) = route.service_for_hash(call.id_hash()) else {
            return refuse(RefusalReason::NoReplica, "the route leads to no service");
        };
        let timeout = call.timeout.unwrap_or(route.timeout).min(route.timeout);
        let service_row = config.services.get(service);
        let largest = route.models.last();
        let weight = |model: &ids::ModelName| {
            service_row.zip(largest).map_or(1.0, |(row, largest)| row.model_weight(model, largest))
        };
        Ok(CallJob {
            plans_by_time: self.settings.plans_by_time || self.fleet.lock().is_paced(service),
            crash_parts: CallJob::crash_parts(&call, &head, &body),
            model_weights: route.models.iter().map(weight).collect(),
            head,
            body,
            route: route.clone(),
            customer,
            service: service.clone(),
            cold_rate_per_s: service_row.map_or(0.0, |row| row.cold_rate_per_s),
            config_version: config.version,
            received,
            deadline: received + timeout,
            call,
        })
    }

    /// Whether the current configuration allows another attempt. It may be newer than the one that
    /// routed the call.
    pub(super) fn is_still_allowed(&self, job: &CallJob) -> bool {
        let config = self.config.load();
        let Some(config) = config.as_ref() else { return false };
        if config.version == job.config_version {
            return true;
        }
        let route = config.route(&job.call.host, job.head.path());
        route.is_some_and(|route| {
            route.services.iter().any(|target| target.service == job.service)
                && authenticate(config, route.is_public, job.call.api_key.as_ref()).is_ok()
        })
    }
}

/// Customer of a key; `None` if the call needs no key.
fn authenticate(
    config: &RelayConfig,
    is_public: bool,
    key: Option<&Bytes>,
) -> Result<Option<Arc<CustomerRow>>, RefusalReason> {
    let Some(customers) = config.customers.as_ref().filter(|_| !is_public) else { return Ok(None) };
    let key = key.ok_or(RefusalReason::TokenMissing)?;
    customers.get(key).cloned().map(Some).ok_or(RefusalReason::TokenUnknown)
}

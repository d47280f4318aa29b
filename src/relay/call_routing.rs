//! What the configuration decides of a call before its first attempt.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::call_job::CallJob;
use super::relay_config::{CallKind, CustomerRow, RelayConfig};
use super::relay_node::RelayNode;
use crate::error_body::RequestRefusal;
use crate::http1::request_head::RequestHead;
use crate::ids;
use crate::refusal_reason::RefusalReason;

/// Part of the memory that bodies may hold.
const BODY_MEMORY_PART: u64 = 4;
/// Time after the order to stop from which no more streams begin: they would outlast the time
/// that the platform leaves.
const STREAM_DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time before the end of the process from which no calls begin.
const CALL_DRAIN_MARGIN: Duration = Duration::from_millis(1_000);

impl RelayNode {
    /// Decides all that the configuration decides of a call.
    pub(super) fn route(
        &self,
        head: RequestHead,
        body: Bytes,
        received: Instant,
    ) -> Result<CallJob, (RequestRefusal, String)> {
        let call = self.call_codec.read_call(&head);
        let id = call.id_text();
        let refuse = |reason, message| Err((RequestRefusal::not_run(reason, message), id.clone()));
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
        let customer = match customer(config, route.public, call.api_key.as_ref()) {
            Ok(customer) => customer,
            Err(reason) => return refuse(reason, "the key belongs to no customer"),
        };
        let held_bytes = self.buffered_body_bytes.load(Ordering::Relaxed) as u64;
        if held_bytes > self.settings.memory_bytes / BODY_MEMORY_PART {
            return refuse(RefusalReason::Overloaded, "bodies hold all of their memory");
        }
        let accepted_for = match route.kind {
            CallKind::Stream => STREAM_DRAIN_TIME,
            CallKind::Safe | CallKind::Unsafe => {
                self.drain_timeout().saturating_sub(CALL_DRAIN_MARGIN)
            }
        };
        if self.drain_elapsed().is_some_and(|time| time >= accepted_for) {
            return refuse(RefusalReason::ShuttingDown, "the instance is leaving");
        }
        let Some(service) = route.service(CallJob::hash(&call)) else {
            return refuse(RefusalReason::NoReplica, "the route leads to no service");
        };
        let wait = call.time_left.unwrap_or(route.timeout).min(route.timeout);
        let row = config.services.get(service);
        let largest = route.models.last();
        let weight = |model: &ids::ModelName| {
            row.zip(largest).map_or(1.0, |(row, largest)| row.model_weight(model, largest))
        };
        Ok(CallJob {
            model_weights: route.models.iter().map(weight).collect(),
            head,
            body,
            route: route.clone(),
            customer,
            service: service.clone(),
            cold_rate_per_s: row.map_or(0.0, |row| row.cold_rate_per_s),
            config_version: config.version,
            received,
            deadline: received + wait,
            call,
        })
    }

    /// Whether the configuration in force still allows a call that was routed by an earlier one.
    pub(super) fn still_allowed(&self, job: &CallJob) -> bool {
        let config = self.config.load();
        let Some(config) = config.as_ref() else { return false };
        if config.version == job.config_version {
            return true;
        }
        let route = config.route(&job.call.host, job.head.path());
        route.is_some_and(|route| {
            route.services.iter().any(|share| share.service == job.service)
                && customer(config, route.public, job.call.api_key.as_ref()).is_ok()
        })
    }
}

/// Customer to whom the key of a call belongs; none where no key is needed.
fn customer(
    config: &RelayConfig,
    public: bool,
    key: Option<&Bytes>,
) -> Result<Option<Arc<CustomerRow>>, RefusalReason> {
    let Some(customers) = config.customers.as_ref().filter(|_| !public) else { return Ok(None) };
    let key = key.ok_or(RefusalReason::TokenMissing)?;
    customers.get(key).cloned().map(Some).ok_or(RefusalReason::TokenUnknown)
}

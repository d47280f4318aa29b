//! Admission of a request.
//!
//! A request is admitted if the configuration is confirmed, the ledger has capacity for its bill
//! and the customer's limits allow it. It waits a short time for a share that has to be leased.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use crate::refusal_reason::RefusalReason;
use crate::{customer_limits, error_body, ids, node, node_quota, records};

/// Interval at which a waiting request checks the limits again. The end of a share exchange wakes
/// it earlier; without one its token bucket may have refilled.
const SHARE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum time that a request waits for a share.
const SHARE_WAIT_TIMEOUT: Duration = Duration::from_millis(600);

/// Counts a request against the limits of its customer until it is dropped.
pub struct AdmissionGuard {
    node: Arc<node::Node>,
    customer: ids::CustomerName,
    estimated_cost: ids::Microcredits,
    cost: ids::Microcredits,
}

impl AdmissionGuard {
    /// Sets the actual cost; a request without one costs nothing.
    pub fn set_cost(&mut self, cost: ids::Microcredits) {
        self.cost = cost;
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.node.limits.lock().finish(&self.customer, self.estimated_cost, self.cost);
    }
}

impl node::Node {
    /// Admits a request of a customer.
    ///
    /// # Errors
    /// `Isolated` without a confirmed configuration, `Overloaded` if the ledger is full or no share
    /// arrives in time, or the limit that is exceeded.
    pub async fn admit(
        self: &Arc<Self>,
        customer: &records::customer::CustomerRecord,
        estimated_cost: ids::Microcredits,
    ) -> Result<AdmissionGuard, error_body::RequestRefusal> {
        let not_run = error_body::RequestRefusal::not_run;
        if !self.view.load().freshness.starts_work() {
            let message = "this instance cannot confirm its configuration";
            return Err(not_run(RefusalReason::Isolated, message));
        }
        if self.ledger.check_room().is_err() {
            return Err(not_run(RefusalReason::Overloaded, "no room for another bill"));
        }
        let started_at = self.clock();
        let mut outcome = self.try_admit(customer, estimated_cost, true);
        loop {
            match outcome {
                customer_limits::LimitOutcome::Admitted => break,
                customer_limits::LimitOutcome::Refused(reason) => {
                    return Err(not_run(reason, "limit of the customer is reached"));
                }
                customer_limits::LimitOutcome::AwaitShare => {
                    if self.clock() - started_at > SHARE_WAIT_TIMEOUT {
                        let message = "the customer's limits cannot be checked now";
                        return Err(not_run(RefusalReason::Overloaded, message));
                    }
                    let mut exchanged = pin!(self.share_wake.notified());
                    // Registers now, as the exchange may end before the wait is first polled.
                    exchanged.as_mut().enable();
                    self.quota_wake.notify_one();
                    // After a time-out the limits are checked as well.
                    let _ = tokio::time::timeout(SHARE_POLL_INTERVAL, exchanged).await;
                    outcome = self.try_admit(customer, estimated_cost, false);
                }
            }
        }
        Ok(AdmissionGuard {
            node: Arc::clone(self),
            customer: customer.name.clone(),
            estimated_cost,
            cost: 0,
        })
    }

    fn try_admit(
        &self,
        customer: &records::customer::CustomerRecord,
        estimated_cost: ids::Microcredits,
        is_arrival: bool,
    ) -> customer_limits::LimitOutcome {
        let node_count = self.view.load().members.len().max(1);
        let shares = self.shares.lock();
        let mut limits = self.limits.lock();
        let (day, now) = (node_quota::day_number(), self.clock());
        let check = customer_limits::LimitCheck {
            customer,
            estimated_cost,
            shares: &shares,
            node_count,
            day,
            now,
        };
        if is_arrival { limits.admit(check) } else { limits.admit_waiting(check) }
    }
}

//! Admission of a request: freshness, room for its bill, and the customer's limits.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use crate::refusal_reason::RefusalReason;
use crate::{customer_limits, error_body, ids, node, node_quota, records};

/// Time between two looks at a share that is being asked for. An exchange wakes the request
/// earlier; without one it waits for its bucket to fill at the rate that it has.
const SHARE_POLL: Duration = Duration::from_millis(2);
/// Time for the first share of a customer.
const SHARE_WAIT: Duration = Duration::from_millis(600);

/// Admitted request; counts against the customer's limits while it lives.
pub struct AdmissionGuard {
    node: Arc<node::Node>,
    customer: ids::CustomerName,
    estimated_cost: ids::Microcredits,
    cost: ids::Microcredits,
}

impl AdmissionGuard {
    /// Sets what the request cost in place of the estimate.
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
    /// `isolated`, `overloaded` when no bill has room, or the limit that is reached.
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
        let began = self.clock();
        let mut outcome = self.try_admit(customer, estimated_cost, true);
        loop {
            match outcome {
                customer_limits::LimitOutcome::Admitted => break,
                customer_limits::LimitOutcome::Refused(reason) => {
                    return Err(not_run(reason, "limit of the customer is reached"));
                }
                customer_limits::LimitOutcome::AwaitShare => {
                    if self.clock() - began > SHARE_WAIT {
                        let message = "the customer's limits cannot be checked now";
                        return Err(not_run(RefusalReason::Overloaded, message));
                    }
                    let mut exchanged = pin!(self.share_wake.notified());
                    // An exchange may end before the first poll of the wait.
                    exchanged.as_mut().enable();
                    self.quota_wake.notify_one();
                    // At the end of the time the limits are checked all the same.
                    let _ = tokio::time::timeout(SHARE_POLL, exchanged).await;
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
        arrives: bool,
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
        if arrives { limits.admit(check) } else { limits.admit_waiting(check) }
    }
}

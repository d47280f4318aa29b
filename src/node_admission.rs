//! Admission of a request: freshness, room for its bill, and the customer's limits.

use std::sync::Arc;
use std::time::Duration;

use crate::refusal_reason::RefusalReason;
use crate::{customer_limits, error_body, ids, node, node_quota, records};

/// Time for one exchange of shares.
const EXCHANGE_WAIT: Duration = Duration::from_millis(500);
/// Exchanges that a request waits for before it is refused. A node whose share was idle has
/// given it back; the first exchange may have been under way before the request came.
const SHARE_EXCHANGES: u32 = 2;

/// Admitted request; counts against the customer's limits while it lives.
pub struct AdmissionGuard {
    node: Arc<node::Node>,
    customer: ids::CustomerName,
    estimate: ids::Microcredits,
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
        self.node.limits.lock().finish(&self.customer, self.estimate, self.cost);
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
        estimate: ids::Microcredits,
    ) -> Result<AdmissionGuard, error_body::RequestRefusal> {
        let not_run = error_body::RequestRefusal::not_run;
        if !self.view.load().freshness.starts_work() {
            let message = "this instance cannot confirm its configuration";
            return Err(not_run(RefusalReason::Isolated, message));
        }
        if self.ledger.check_room().is_err() {
            return Err(not_run(RefusalReason::Overloaded, "no room for another bill"));
        }
        let mut exchanges = 0;
        loop {
            let outcome = self.try_admit(customer, estimate);
            let reason = match outcome {
                customer_limits::LimitOutcome::Admitted => break,
                customer_limits::LimitOutcome::Refused(reason) => reason,
                customer_limits::LimitOutcome::AwaitShare => RefusalReason::Overloaded,
            };
            if exchanges == SHARE_EXCHANGES {
                return Err(not_run(reason, "limit of the customer is reached"));
            }
            exchanges += 1;
            self.await_exchange().await;
        }
        Ok(AdmissionGuard {
            node: Arc::clone(self),
            customer: customer.name.clone(),
            estimate,
            cost: 0,
        })
    }

    /// Waits for one exchange of shares that has heard of the demand of now.
    async fn await_exchange(&self) {
        let exchanged = self.shares_exchanged.notified();
        self.state_use();
        self.quota_wake.notify_one();
        // On a timeout the caller looks again, and then refuses.
        let _ = tokio::time::timeout(EXCHANGE_WAIT, exchanged).await;
    }

    fn try_admit(
        &self,
        customer: &records::customer::CustomerRecord,
        estimate: ids::Microcredits,
    ) -> customer_limits::LimitOutcome {
        let nodes = self.view.load().members.len().max(1);
        let shares = self.shares.lock();
        let mut limits = self.limits.lock();
        limits.admit(customer, estimate, &shares, nodes, node_quota::day_number(), self.clock())
    }
}

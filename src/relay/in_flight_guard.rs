//! Attempt that counts as a request in flight at its replica until it is dropped.

use std::fmt;
use std::sync::Arc;

use super::relay_node::RelayNode;
use super::replica_choice::ReplicaChoice;

pub struct InFlightGuard {
    node: Arc<RelayNode>,
    choice: ReplicaChoice,
    has_first_byte: bool,
}

impl InFlightGuard {
    /// Guards a choice that the table of replicas has counted.
    pub fn new(node: &Arc<RelayNode>, choice: ReplicaChoice) -> Self {
        Self { node: node.clone(), choice, has_first_byte: false }
    }

    /// Records the first byte of the answer, after which the call no longer counts as prefill.
    pub fn record_first_byte(&mut self) {
        if !std::mem::replace(&mut self.has_first_byte, true) {
            let prefill_cost = self.choice.prefill_cost;
            self.node.fleet.lock().record_first_byte(&self.choice.entry.name, prefill_cost);
        }
    }

    pub fn choice(&self) -> &ReplicaChoice {
        &self.choice
    }
}

impl fmt::Debug for InFlightGuard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("InFlightGuard")
            .field("choice", &self.choice)
            .finish_non_exhaustive()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_first_byte();
        self.node.fleet.lock().record_finish(&self.choice.entry.name);
    }
}

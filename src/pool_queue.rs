//! Requests that wait for credit of one pool.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::{admission_queue, chat_job, ids, node_dispatch, refusal_reason};

/// Most requests that wait for one pool on one node.
pub const MAX_WAITING_REQUESTS: usize = 1_024;

/// Answer to a waiting request.
pub type WaitOutcome = Result<node_dispatch::DispatchGuard, refusal_reason::RefusalReason>;

/// Waiting request with what the next decision needs.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Where the answer goes.
    pub outcome_sender: oneshot::Sender<WaitOutcome>,
    /// Replicas that were tried.
    pub tried: node_dispatch::TriedReplicas,
    /// Prompt prefixes, for affinity.
    pub prefixes: crate::prefix_index::PromptPrefixes,
}

/// Fair queue of one pool.
pub type PoolQueue = admission_queue::AdmissionQueue<WaitingRequest>;

/// Queue lane of a job.
pub fn request_lane(job: &chat_job::ChatJob) -> admission_queue::RequestLane {
    match job.request.priority {
        crate::engine_client::EnginePriority::Interactive => {
            admission_queue::RequestLane::Interactive
        }
        crate::engine_client::EnginePriority::Batch => admission_queue::RequestLane::Batch,
    }
}

/// Weights of all customers.
pub fn customer_weights(
    snapshot: &crate::config_snapshot::ConfigSnapshot,
) -> HashMap<ids::CustomerName, u32> {
    snapshot.customers.values().map(|record| (record.name.clone(), record.weight)).collect()
}

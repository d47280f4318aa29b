//! Requests that wait until a replica of their pool is free.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::{admission_queue, chat_job, ids, node_dispatch, refusal_reason};

/// Limit of the requests that wait for one pool on one node.
pub const MAX_WAITING_REQUESTS: usize = 1_024;

/// Result for which a waiting request waits.
pub type WaitOutcome = Result<node_dispatch::DispatchGuard, refusal_reason::RefusalReason>;

/// Data of a waiting request that the next routing decision needs.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Closed when the caller has gone.
    pub outcome_sender: oneshot::Sender<WaitOutcome>,
    pub tried: node_dispatch::TriedReplicas,
    /// Prefixes of the prompt, for affinity to replicas that cache them.
    pub prefixes: crate::prefix_index::PromptPrefixes,
}

/// Fair queue of one pool.
pub type PoolQueue = admission_queue::AdmissionQueue<WaitingRequest>;

/// Maps the priority of a job to a queue lane.
pub fn request_lane(job: &chat_job::ChatJob) -> admission_queue::RequestLane {
    match job.request.priority {
        crate::engine_client::EnginePriority::Interactive => {
            admission_queue::RequestLane::Interactive
        }
        crate::engine_client::EnginePriority::Batch => admission_queue::RequestLane::Batch,
    }
}

/// Weights by which all customers divide the queues.
pub fn customer_weights(
    snapshot: &crate::config_snapshot::ConfigSnapshot,
) -> HashMap<ids::CustomerName, u32> {
    snapshot.customers.values().map(|record| (record.name.clone(), record.weight)).collect()
}

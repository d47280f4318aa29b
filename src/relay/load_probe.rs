//! Questions for the loads of replicas before a call with much work is placed.
//!
//! A large model reads a long prompt for most of a second. An instance of a large fleet has seen
//! few answers of each replica, and would place such a call behind others.

use std::time::Duration;

use bytes::Bytes;
use futures::future;
use tokio::time::Instant;

use super::call_codec::ReplicaLoad;
use super::call_job::{CallJob, CallProgress};
use super::relay_node::RelayNode;
use super::replica_entry::ReplicaEntry;
use crate::event_catalogue::LogEvent;
use crate::http1::connection::ClientConnection;
use crate::http1::message_error::MessageError;

/// Time for an answer. Replicas answer in a few milliseconds; the call waits meanwhile.
const ANSWER_LIMIT: Duration = Duration::from_millis(30);
/// Idle time after which a replica without a stated limit is assumed to close a connection.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Longest answer, in bytes: a replica names each request that it runs.
const ANSWER_BYTES: usize = 256 * 1_024;

impl RelayNode {
    /// Asks the replicas among which a call would be placed for their loads, where these matter.
    pub(super) async fn probe_loads(&self, job: &CallJob, progress: &CallProgress) {
        let entries = self.replicas_to_probe(job, progress);
        future::join_all(entries.iter().map(|entry| self.probe_load(job, entry))).await;
    }

    async fn probe_load(&self, job: &CallJob, entry: &ReplicaEntry) {
        let asking = tokio::time::timeout(ANSWER_LIMIT, self.request_load(entry)).await;
        let outcome = asking.unwrap_or(Err(MessageError::TimedOut));
        let result = if outcome.is_ok() { "answered" } else { "failed" };
        metrics::counter!("yuccareel_load_questions_total", "outcome" => result).increment(1);
        match outcome {
            Ok(load) => self.fleet.lock().record_load(&entry.name, load, Instant::now()),
            Err(error) => {
                let fields = slog::o!(
                    "request" => job.call.id_text(), "replica" => entry.name.to_string(),
                    "error" => error.to_string(),
                );
                self.emit(LogEvent::LoadUnknown, fields);
            }
        }
    }

    async fn request_load(&self, entry: &ReplicaEntry) -> Result<ReplicaLoad, MessageError> {
        let idle = self.connection_pool.lock().take(entry.address, true, Instant::now());
        let mut connection = match idle {
            Some(connection) => connection,
            None => ClientConnection::connect(entry.address, ANSWER_LIMIT, IDLE_LIMIT).await?,
        };
        let question = self.call_codec.write_load_probe(entry.address);
        let (head, _) = connection.exchange(&question, &Bytes::new()).await?;
        let body = connection.read_body(&head, ANSWER_BYTES).await?;
        let load = self.call_codec.read_load(&body).filter(|_| head.status == 200);
        // An answer that is none to the question leaves a connection on which another follows.
        let load = load.ok_or(MessageError::Malformed("the answer tells no load"))?;
        if head.is_keep_alive {
            self.keep(connection, &head);
        }
        Ok(load)
    }
}

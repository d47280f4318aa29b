//! Probes the loads of replicas before a call with a high prefill cost is sent.
//!
//! A large model takes most of a second for the prefill of a long prompt. In a large fleet, an
//! instance gets few answers from each replica and so few load reports. Without a probe it would
//! send such a call to a replica where others already wait.

use std::time::Duration;

use bytes::Bytes;
use futures::future;
use tokio::time::Instant;

use super::call_codec::ReplicaLoad;
use super::call_job::CallJob;
use super::connection_pool::PoolRequest;
use super::relay_node::RelayNode;
use super::replica_connection::ReplicaConnection;
use super::replica_entry::ReplicaEntry;
use crate::event_catalogue::LogEvent;
use crate::http1::message_error::MessageError;
use crate::ids;

/// Longest time that a call waits for a probe. Replicas answer within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(30);
/// Idle time after which a replica is assumed to close a connection, unless it states another one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Limit on the size of an answer, which lists each running request.
const MAX_ANSWER_BYTES: usize = 256 * 1_024;

impl RelayNode {
    /// Probes the best replicas for a call concurrently and records their loads, if the call costs
    /// enough to justify probes.
    pub(super) async fn probe_loads(
        &self,
        job: &CallJob,
        model_index: usize,
        excluded_replicas: &[ids::ReplicaName],
    ) {
        let entries = self.replicas_to_probe(job, model_index, excluded_replicas);
        future::join_all(entries.iter().map(|entry| self.probe_load(job, entry))).await;
    }

    async fn probe_load(&self, job: &CallJob, entry: &ReplicaEntry) {
        let outcome = tokio::time::timeout(PROBE_TIMEOUT, self.request_load(entry)).await;
        let outcome = outcome.unwrap_or(Err(MessageError::TimedOut));
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
        let idle_connection =
            self.connection_pool.lock().take(entry.address, PoolRequest::Probe, Instant::now());
        let mut connection = match idle_connection {
            Some(connection) => connection,
            None => ReplicaConnection::connect(entry.address, PROBE_TIMEOUT, IDLE_TIMEOUT).await?,
        };
        let probe = self.call_codec.write_load_probe(entry.address);
        let (head, _) = connection.stream.exchange(&probe, &Bytes::new()).await?;
        let body = connection.stream.read_body(&head, MAX_ANSWER_BYTES).await?;
        let load = self.call_codec.read_load(&body).filter(|_| head.status == 200);
        // The expected answer may still follow a wrong one, so that connection is not reused.
        let load = load.ok_or(MessageError::Malformed("answer contains no load report"))?;
        if head.is_keep_alive {
            self.return_connection(connection, &head);
        }
        Ok(load)
    }
}

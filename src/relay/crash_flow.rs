//! Finds out whether a replica crashed when an attempt was cut off before its answer had begun.
//!
//! A connection may also be closed for other reasons, such as an idle timeout or a limit on
//! connections. A replica whose process has ended refuses new connections as well.

use std::io;
use std::time::Duration;

use super::attempt_flow::{AttemptEnd, DEFAULT_IDLE_TIMEOUT};
use super::call_job::{CallJob, CallProgress};
use super::call_log;
use super::relay_node::RelayNode;
use super::replica_entry::ReplicaEntry;
use crate::event_catalogue::LogEvent;
use crate::http1::connection::ClientConnection;
use crate::http1::message_error::MessageError;
use crate::retry_reason::RetryReason;

/// Events of a stream after which the replica has begun to answer without a crash.
pub(super) const MIN_SOUND_EVENTS: u64 = 3;
/// Time within which a live replica accepts or refuses a connection.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

impl RelayNode {
    /// Checks after an attempt on a prompt with shared parts whether its replica crashed before the
    /// answer had begun.
    pub(super) async fn check_crash(
        &self,
        job: &CallJob,
        progress: &mut CallProgress,
        end: &AttemptEnd,
    ) {
        let is_cut = matches!(end, AttemptEnd::Failed(RetryReason::StreamTruncated));
        let has_begun = progress.attempt_events >= MIN_SOUND_EVENTS;
        if !is_cut || has_begun || job.call.shared_parts().is_empty() {
            return;
        }
        let Some(choice) = &progress.last_choice else { return };
        let entry = choice.entry.clone();
        if !self.refuses_connections(&entry).await {
            return;
        }
        progress.crashed_replicas += 1;
        let fields = slog::o!(
            "replica" => entry.name.to_string(), "request" => job.call.id_text(),
            "parts" => call_log::parts_text(job), "crashes" => progress.crashed_replicas,
        );
        self.emit(LogEvent::ReplicaCrashed, fields);
    }

    /// Whether nothing listens at the address of a replica. An accepted connection is kept for the
    /// next call.
    async fn refuses_connections(&self, entry: &ReplicaEntry) -> bool {
        metrics::counter!("yuccareel_backend_connections_total").increment(1);
        let connecting =
            ClientConnection::connect(entry.address, CRASH_CHECK_TIMEOUT, DEFAULT_IDLE_TIMEOUT);
        match connecting.await {
            Ok(connection) => {
                self.connection_pool.lock().put(connection);
                false
            }
            Err(MessageError::Io(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        }
    }
}

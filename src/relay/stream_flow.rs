//! Relays a stream of events from a replica to the caller.
//!
//! Events are forwarded one by one and their ids recorded, so that another replica can resume a
//! truncated stream. What a replica sends to resume a stream is forwarded only if it continues it: an
//! answer of the same type, in events with ids.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::attempt_reservation::{RESERVATION_INTERVAL, ReservationRefusal};
use super::call_job::{CallJob, CallProgress};
use super::caller_writer::{AnswerProgress, CallerWriter};
use super::event_splitter::{EventSplitter, StreamEvent};
use super::in_flight_guard::InFlightGuard;
use super::relay_node::RelayNode;
use crate::http1::body_decoder::BodyDecoder;
use crate::http1::connection::ClientConnection;
use crate::http1::message_error::MessageError;
use crate::http1::response_head::ResponseHead;

/// Multiple of the route's max event gap after which a silent stream is resumed at another replica,
/// if the call may run again.
const SILENCE_FACTOR: f64 = 1.5;
/// Limit on one event. Events hold a few tokens; bytes without end must not fill the memory.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// How the stream of one attempt ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// Whole stream was written to the caller.
    Complete,
    /// Stream ended early, or the replica was silent for too long.
    Truncated(MessageError),
}

impl RelayNode {
    /// Forwards the events of an attempt to the caller.
    ///
    /// # Errors
    /// When writing to the caller fails.
    pub(super) async fn relay_stream(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &mut CallProgress,
        guard: &mut InFlightGuard,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        writer: &mut CallerWriter,
    ) -> io::Result<StreamEnd> {
        let resumes = progress.stream_type.is_some();
        if resumes && progress.stream_type != Some(stream_type(head)) {
            let error = MessageError::Malformed("answer does not continue the stream");
            return Ok(StreamEnd::Truncated(error));
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut splitter = EventSplitter::default();
        let mut silence_timeout = self.silence_timeout(job, progress);
        let mut silence_end = silence_timeout.map(|timeout| Instant::now() + timeout);
        loop {
            let reading = connection.read_body_data(&mut decoder);
            // Bytes that complete no event do not extend the time, as a stalled replica may send
            // some now and then.
            let data = match silence_end {
                Some(end) => tokio::time::timeout_at(end, reading)
                    .await
                    .unwrap_or(Err(MessageError::TimedOut)),
                None => reading.await,
            };
            match data {
                Ok(Some(data)) => splitter.push(&data),
                Ok(None) => break,
                // Until another attempt is possible, the silent replica gets more time.
                Err(MessageError::TimedOut) => match self.reserve_retry(job, progress).await {
                    Ok(next) => {
                        progress.reserved_attempt = Some(next);
                        return Ok(StreamEnd::Truncated(MessageError::TimedOut));
                    }
                    Err(ReservationRefusal::Withdrawn | ReservationRefusal::Exhausted) => {
                        (silence_timeout, silence_end) = (None, None);
                        continue;
                    }
                    Err(ReservationRefusal::NoRoom(_)) => {
                        silence_end = Some(Instant::now() + RESERVATION_INTERVAL);
                        continue;
                    }
                },
                Err(error) => return Ok(StreamEnd::Truncated(error)),
            }
            guard.record_first_byte();
            while let Some(event) = splitter.next_event() {
                if resumes && event.id.is_none() && !event.is_comment() {
                    let error = MessageError::Malformed("event without id in a resumed stream");
                    return Ok(StreamEnd::Truncated(error));
                }
                let now = Instant::now();
                silence_end = silence_timeout.map(|timeout| now + timeout);
                let name = &guard.choice().entry.name;
                self.fleet.lock().record_activity(name, now);
                self.record_event(job, progress);
                write_event(progress, head, &event, writer).await?;
            }
            if splitter.buffered_bytes() > MAX_EVENT_BYTES {
                return Ok(StreamEnd::Truncated(MessageError::Malformed("event is too large")));
            }
        }
        let remainder = splitter.take_remainder();
        // Without a length or final chunk, only an incomplete event or the lack of any shows a
        // truncated stream. A caller that resumes a stream may have received all of its events.
        let lacks_events =
            writer.progress() == AnswerProgress::NotStarted && job.call.last_event_id.is_none();
        let is_truncated = if remainder.is_empty() {
            lacks_events && decoder.is_close_delimited()
        } else {
            resumes || decoder.is_close_delimited()
        };
        if is_truncated {
            return Ok(StreamEnd::Truncated(MessageError::Truncated));
        }
        if !remainder.is_empty() || writer.progress() == AnswerProgress::NotStarted {
            write_event(progress, head, &StreamEvent { id: None, text: remainder }, writer).await?;
        }
        writer.finish_stream().await?;
        Ok(StreamEnd::Complete)
    }

    fn silence_timeout(&self, job: &CallJob, progress: &CallProgress) -> Option<Duration> {
        let max_event_gap =
            job.route.max_event_gap.filter(|_| self.may_run_again(job, progress))?;
        Some(max_event_gap.mul_f64(SILENCE_FACTOR))
    }
}

async fn write_event(
    progress: &mut CallProgress,
    head: &ResponseHead,
    event: &StreamEvent,
    writer: &mut CallerWriter,
) -> io::Result<()> {
    // A replica that resumes a stream may repeat events that the caller already received.
    let is_repeated = event.id.zip(progress.last_event_id).is_some_and(|(id, last)| id <= last);
    if is_repeated {
        return Ok(());
    }
    if writer.progress() == AnswerProgress::NotStarted {
        progress.stream_type = Some(stream_type(head));
        writer.start_stream(head, &event.text).await?;
    } else if !event.text.is_empty() {
        writer.write_event(&event.text).await?;
    }
    progress.has_events_without_id |= event.id.is_none();
    progress.last_event_id = event.id.or(progress.last_event_id);
    progress.written_events += 1;
    Ok(())
}

/// Status and media type, which the answers of one stream have in common.
fn stream_type(head: &ResponseHead) -> (u16, Option<String>) {
    let content_type = head.headers.get_text("content-type");
    let media_type = content_type.and_then(|value| value.split(';').next());
    (head.status, media_type.map(|value| value.trim().to_ascii_lowercase()))
}

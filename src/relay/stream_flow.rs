//! Passing a stream on, event by event.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use super::attempt_budget::RepeatCause;
use super::call_flow::SendGuard;
use super::call_job::{CallJob, CallProgress};
use super::caller_writer::{AnswerProgress, CallerWriter};
use super::event_splitter::{EventSplitter, StreamEvent};
use super::relay_node::RelayNode;
use crate::http1::body_decoder::BodyDecoder;
use crate::http1::connection::ClientConnection;
use crate::http1::message_error::MessageError;
use crate::http1::response_head::ResponseHead;

/// Part of the longest allowed pause after which a silent stream goes on at another replica,
/// where it may.
const SILENCE_PART: f64 = 1.5;

/// How the relaying of one attempt ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// Caller has all of the stream.
    Complete,
    /// Replica cut the stream or fell silent.
    Cut(MessageError),
}

impl RelayNode {
    /// Passes the events of a replica on to the caller.
    ///
    /// # Errors
    /// When the caller cannot be written to.
    pub(super) async fn relay_stream(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &mut CallProgress,
        guard: &mut SendGuard,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        writer: &mut CallerWriter,
    ) -> io::Result<StreamEnd> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut splitter = EventSplitter::default();
        let mut silence = self.silence_limit(job, progress);
        loop {
            let reading = connection.read_body_data(&mut decoder);
            let piece = match silence {
                Some(limit) => tokio::time::timeout(limit, reading)
                    .await
                    .unwrap_or(Err(MessageError::TimedOut)),
                None => reading.await,
            };
            match piece {
                Ok(Some(piece)) => splitter.push(&piece),
                Ok(None) => break,
                // A silent replica may still go on; nothing pays for another one.
                Err(MessageError::TimedOut) if !self.take_repeat(job, RepeatCause::Failure) => {
                    silence = None;
                    continue;
                }
                Err(error) => {
                    progress.repeat_paid = matches!(error, MessageError::TimedOut);
                    return Ok(StreamEnd::Cut(error));
                }
            }
            guard.first_byte();
            let name = &guard.choice().entry.name;
            self.fleet.lock().record_activity(name, tokio::time::Instant::now());
            while let Some(event) = splitter.next_event() {
                write_event(progress, head, &event, writer).await?;
            }
        }
        let rest = splitter.rest();
        if !rest.is_empty() && decoder.is_close_delimited() {
            // A replica that ends within an event has not come to the end of the stream.
            return Ok(StreamEnd::Cut(MessageError::Truncated));
        }
        if !rest.is_empty() || writer.progress() == AnswerProgress::NotStarted {
            write_event(progress, head, &StreamEvent { number: None, text: rest }, writer).await?;
        }
        writer.finish_stream().await?;
        Ok(StreamEnd::Complete)
    }

    fn silence_limit(&self, job: &CallJob, progress: &CallProgress) -> Option<Duration> {
        let pause = job.route.pause_limit.filter(|_| self.may_run_again(job, progress))?;
        Some(pause.mul_f64(SILENCE_PART))
    }
}

async fn write_event(
    progress: &mut CallProgress,
    head: &ResponseHead,
    event: &StreamEvent,
    writer: &mut CallerWriter,
) -> io::Result<()> {
    // A replica may repeat events that the caller has.
    let known = event.number.zip(progress.last_event).is_some_and(|(number, last)| number <= last);
    if known {
        return Ok(());
    }
    if writer.progress() == AnswerProgress::NotStarted {
        writer.start_stream(head, &event.text).await?;
    } else if !event.text.is_empty() {
        writer.write_event(&event.text).await?;
    }
    progress.unnumbered_events |= event.number.is_none();
    progress.last_event = event.number.or(progress.last_event);
    progress.events += 1;
    Ok(())
}

//! Answer of the engine stand-in as a stream of events, with its faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use futures::stream;
use serde_json::{Value, json};

use crate::prefix_index;
use crate::standins::{engine, rating};

/// First word of an answer that meets the quality wanted.
pub const GOOD_MARK: &str = "good:";
/// First word of an answer that does not.
pub const POOR_MARK: &str = "poor:";

/// Fault of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// No byte at all.
    Silent,
    /// Ends in the middle without end marker.
    Truncate,
    /// Starts with an event of another request.
    Cross,
    /// Goes silent in the middle.
    Stall,
}

/// Counts one running request while it lives.
pub struct RunningSlot {
    running: Arc<AtomicU32>,
    /// Requests running with this one.
    pub concurrency: u32,
}

impl RunningSlot {
    /// Takes a slot while fewer than `limit` are taken.
    pub fn take(running: &Arc<AtomicU32>, limit: u32) -> Option<Self> {
        let former = running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |now| {
            (now < limit).then_some(now + 1)
        });
        let concurrency = former.ok()? + 1;
        Some(Self { running: Arc::clone(running), concurrency })
    }
}

impl Drop for RunningSlot {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl engine::EngineStandin {
    /// Events of an answer to a body.
    pub fn answer(
        &self,
        id: String,
        body: &Value,
        served: engine::ServedVersion,
        resume: u64,
        fault: Option<StreamFault>,
        slot: RunningSlot,
    ) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + use<> {
        let prompt = prompt_text(body);
        let prefixes = prefix_index::prompt_prefixes(prompt.as_bytes());
        self.cache.lock().take(&prefixes, &self.faults.lock().events);
        let skill = if self.faults.lock().poor { 0.0 } else { self.options.skill };
        let total = body["max_tokens"].as_u64().unwrap_or(self.options.answer_tokens).max(1);
        let state = AnswerState {
            engine: self.clone(),
            id,
            words: answer_words(&served, &prompt, skill, total),
            served,
            prompt_tokens: prompt.split_whitespace().count() as u64,
            offset: resume,
            fault,
            ended: false,
            _slot: slot,
        };
        stream::unfold(state, AnswerState::step)
    }
}

/// Answer under way.
struct AnswerState {
    engine: engine::EngineStandin,
    id: String,
    served: engine::ServedVersion,
    words: Vec<String>,
    prompt_tokens: u64,
    offset: u64,
    fault: Option<StreamFault>,
    ended: bool,
    _slot: RunningSlot,
}

impl AnswerState {
    async fn step(mut self) -> Option<(Result<Bytes, std::io::Error>, Self)> {
        if self.ended {
            return None;
        }
        if self.fault == Some(StreamFault::Cross) {
            self.fault = None;
            let other = "f".repeat(32);
            return Some((
                Ok(token_event(&self.served.model, &other, self.offset, "crossed ")),
                self,
            ));
        }
        let total = self.words.len() as u64;
        if self.offset >= total {
            self.ended = true;
            self.engine.answers.fetch_add(1, Ordering::SeqCst);
            let event = end_event(&self.served.model, &self.id, self.prompt_tokens, total);
            return Some((Ok(event), self));
        }
        if self.offset >= total / 2 {
            match self.fault {
                Some(StreamFault::Truncate) => return None,
                Some(StreamFault::Stall) => std::future::pending::<()>().await,
                _ => {}
            }
        }
        if !self.engine.options.token_time.is_zero() {
            tokio::time::sleep(self.engine.options.token_time).await;
        }
        let event = token_event(
            &self.served.model,
            &self.id,
            self.offset,
            &self.words[self.offset as usize],
        );
        self.offset += 1;
        Some((Ok(event), self))
    }
}

/// Text of the messages of a chat-completions body.
fn prompt_text(body: &Value) -> String {
    let messages = body["messages"].as_array();
    let texts = messages.into_iter().flatten().filter_map(|message| message["content"].as_str());
    texts.collect::<Vec<_>>().join("\n")
}

/// Words of an answer; the rating stand-in reads model and ability from them.
fn answer_words(
    served: &engine::ServedVersion,
    prompt: &str,
    skill: f64,
    total: u64,
) -> Vec<String> {
    let good = rating::is_good(prompt, &served.model, skill);
    let mark = if good { GOOD_MARK } else { POOR_MARK };
    let rated = rating::answer_text(&served.model, skill);
    let text = format!("{mark} {}/{} {rated}", served.model, served.version);
    let mut words: Vec<String> = text.split_whitespace().map(|word| format!("{word} ")).collect();
    words.extend((words.len() as u64..total).map(|index| format!("w{index} ")));
    words.truncate(total as usize);
    words
}

fn token_event(model: &str, id: &str, offset: u64, text: &str) -> Bytes {
    let body = json!({
        "id": id, "object": "chat.completion.chunk", "created": 0, "model": model,
        "offset": offset,
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
    });
    Bytes::from(format!("data: {body}\n\n"))
}

fn end_event(model: &str, id: &str, prompt_tokens: u64, completion_tokens: u64) -> Bytes {
    let body = json!({
        "id": id, "object": "chat.completion.chunk", "created": 0, "model": model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": completion_tokens },
    });
    Bytes::from(format!("data: {body}\n\n"))
}

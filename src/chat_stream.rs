//! Streamed answer on its way to the caller.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::json;

use crate::event_catalogue::LogEvent;
use crate::{
    answer_reader, chat_flow, chat_job, chat_request, engine_client, ids, node, node_admission,
    node_rating, node_rollout, quality_table,
};

/// End marker of an event stream.
const END_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Parts of a streamed answer.
pub struct StreamParts {
    /// Request.
    pub job: Arc<chat_job::ChatJob>,
    /// Serving node.
    pub node: Arc<node::Node>,
    /// Cell under which the answer's rating is recorded.
    pub cell: quality_table::QualityCell,
    /// Whether the step was chosen for learning.
    pub explored: bool,
    /// Admission, held until the end.
    pub admission: node_admission::AdmissionGuard,
    /// Reader, past the first event.
    pub reader: answer_reader::AnswerReader,
    /// First event.
    pub first: answer_reader::ReaderEvent,
}

/// Answer that is still arriving.
pub struct StreamedAnswer {
    job: Arc<chat_job::ChatJob>,
    node: Arc<node::Node>,
    cell: quality_table::QualityCell,
    explored: bool,
    admission: node_admission::AdmissionGuard,
    reader: answer_reader::AnswerReader,
    first: Option<answer_reader::ReaderEvent>,
    text: String,
    state: StreamState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    Running,
    Done,
    Closed,
}

impl StreamedAnswer {
    /// Answer whose first event has arrived.
    pub fn new(parts: StreamParts) -> Self {
        Self {
            job: parts.job,
            node: parts.node,
            cell: parts.cell,
            explored: parts.explored,
            admission: parts.admission,
            reader: parts.reader,
            first: Some(parts.first),
            text: String::new(),
            state: StreamState::Running,
        }
    }

    /// Request.
    pub fn id(&self) -> ids::RequestId {
        self.job.id
    }

    /// Model and version that answer.
    pub fn target(&self) -> &chat_job::VersionTarget {
        self.reader.target()
    }

    /// Next piece of the event stream; none after the end.
    pub async fn next(&mut self) -> Option<Bytes> {
        match self.state {
            StreamState::Closed => return None,
            StreamState::Done => {
                self.state = StreamState::Closed;
                return Some(Bytes::from_static(END_EVENT));
            }
            StreamState::Running => {}
        }
        loop {
            let found = match self.first.take() {
                Some(first) => Ok(first),
                None => self.reader.next().await,
            };
            match found {
                Ok(answer_reader::ReaderEvent::Token(text, raw)) => {
                    self.text.push_str(&text);
                    return Some(event(&raw));
                }
                Ok(answer_reader::ReaderEvent::Restarted) => {}
                Ok(answer_reader::ReaderEvent::End(usage, reason)) => {
                    self.state = StreamState::Done;
                    return Some(self.finish(usage, &reason).await);
                }
                Err(refusal) => {
                    self.bill_partial();
                    self.state = StreamState::Closed;
                    self.node.count_refusal(&refusal);
                    self.node.note_refusal(self.reader.target(), &refusal);
                    let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
                    return Some(event(&body));
                }
            }
        }
    }

    /// Bills the answer, then gives its last event.
    async fn finish(&mut self, usage: engine_client::TokenUsage, reason: &str) -> Bytes {
        let target = self.reader.target().clone();
        let step = chat_flow::bill_step(&target, usage);
        let cost = step.cost;
        self.admission.set_cost(cost);
        self.node.bill(&self.job, vec![step]).await;
        let slow = chat_flow::is_slow(&self.reader);
        self.node.record_rollout_outcome(&target, node_rollout::AnswerOutcome::Complete(slow));
        self.node.rate_delivered_answer(node_rating::AnswerSample {
            cell: self.cell.clone(),
            target: target.clone(),
            quality_target: self.job.customer.quality_target,
            prompt: self.job.request.prompt.clone(),
            answer: std::mem::take(&mut self.text),
            is_exploration: self.explored,
        });
        last_event(self.job.id, &target, usage, reason, cost)
    }

    /// Bills the tokens that were made when the answer ends early.
    fn bill_partial(&mut self) {
        let tokens = self.reader.tokens();
        if tokens == 0 {
            return;
        }
        let prompt_tokens = chat_request::estimated_tokens(&self.job.request.prompt);
        let usage = engine_client::TokenUsage { prompt_tokens, completion_tokens: tokens };
        let step = chat_flow::bill_step(self.reader.target(), usage);
        self.admission.set_cost(step.cost);
        let (node, job) = (Arc::clone(&self.node), Arc::clone(&self.job));
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let tasks = self.node.tasks.clone();
            tasks.spawn_on(async move { node.bill(&job, vec![step]).await }, &runtime);
        }
    }
}

impl Drop for StreamedAnswer {
    /// The caller went away before the end.
    fn drop(&mut self) {
        if self.state == StreamState::Running {
            let request = format!("{:032x}", self.job.id);
            self.node.emit(LogEvent::CallerGone, slog::o!("request" => request));
            self.bill_partial();
        }
    }
}

impl chat_flow::WholeAnswer {
    /// Whole answer as an event stream, for a streamed request that was answered whole.
    pub fn events(&self) -> Bytes {
        let body = json!({
            "id": format!("{:032x}", self.id),
            "object": "chat.completion.chunk",
            "created": node::unix_seconds(),
            "model": &*self.target.model.name,
            "choices": [{
                "index": 0,
                "delta": { "role": "assistant", "content": self.text },
                "finish_reason": null,
            }],
        });
        let first = event(body.to_string().as_bytes());
        let last = last_event(self.id, &self.target, self.usage, &self.finish_reason, self.cost);
        [&first[..], &last[..], END_EVENT].concat().into()
    }

    /// Body as chat clients read it.
    pub fn body(&self) -> serde_json::Value {
        json!({
            "id": format!("{:032x}", self.id),
            "object": "chat.completion",
            "created": node::unix_seconds(),
            "model": &*self.target.model.name,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish_reason,
            }],
            "usage": usage_body(self.usage),
        })
    }
}

/// Last event of a stream before its end marker.
fn last_event(
    id: ids::RequestId,
    target: &chat_job::VersionTarget,
    usage: engine_client::TokenUsage,
    reason: &str,
    cost: ids::Microcredits,
) -> Bytes {
    let id = format!("{id:032x}");
    let body = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "created": node::unix_seconds(),
        "model": &*target.model.name,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": reason }],
        "usage": usage_body(usage),
        "yuccareel": {
            "request_id": id,
            "version": &*target.version,
            "cost_microcredits": cost,
        },
    });
    event(body.to_string().as_bytes())
}

fn usage_body(usage: engine_client::TokenUsage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    })
}

fn event(data: &[u8]) -> Bytes {
    let mut event = Vec::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    Bytes::from(event)
}

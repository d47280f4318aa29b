//! Path of a chat request: who asks, which steps, the answer, the bill.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    answer_reader, chat_job, chat_request, engine_client, error_body, ids, node, refusal_reason,
};

/// Answer to a chat request.
pub enum ChatAnswer {
    /// Whole answer.
    Whole(WholeAnswer),
    /// Answer that is still arriving.
    Streamed(Box<StreamedAnswer>),
}

/// Whole answer with its cost.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Request.
    pub id: ids::RequestId,
    /// Model and version that answered.
    pub target: chat_job::VersionTarget,
    /// Text.
    pub text: String,
    /// Tokens of the answer that was delivered.
    pub usage: engine_client::TokenUsage,
    /// Reason of the end.
    pub finish_reason: String,
    /// Cost of all steps in microcredits.
    pub cost: ids::Microcredits,
}

/// Answer that is still arriving.
pub struct StreamedAnswer {
    job: Arc<chat_job::ChatJob>,
    node: Arc<node::Node>,
    reader: answer_reader::AnswerReader,
    first: Option<Bytes>,
    state: StreamState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    Running,
    Done,
    Closed,
}

/// Answers a chat request of a customer.
///
/// # Errors
/// With a refusal; a streamed answer that fails later ends with an error event.
pub async fn answer(
    node: &Arc<node::Node>,
    job: chat_job::ChatJob,
) -> Result<ChatAnswer, error_body::RequestRefusal> {
    let job = Arc::new(job);
    let target = node.choose_target(&job)?;
    if job.request.stream {
        return start_stream(node, job, target).await.map(ChatAnswer::Streamed);
    }
    let answer = read_whole(node, &job, target).await?;
    node.bill(&job, &answer.target, answer.usage, answer.cost).await;
    Ok(ChatAnswer::Whole(answer))
}

async fn read_whole(
    node: &Arc<node::Node>,
    job: &Arc<chat_job::ChatJob>,
    target: chat_job::VersionTarget,
) -> Result<WholeAnswer, error_body::RequestRefusal> {
    let mut reader =
        answer_reader::AnswerReader::new(Arc::clone(node), Arc::clone(job), target.clone(), false);
    let mut text = String::new();
    loop {
        match reader.next().await? {
            answer_reader::ReaderEvent::Token(token, _) => text.push_str(&token),
            answer_reader::ReaderEvent::Restarted => text.clear(),
            answer_reader::ReaderEvent::End(usage, finish_reason) => {
                let cost = target.model.cost(usage.prompt_tokens, usage.completion_tokens);
                return Ok(WholeAnswer { id: job.id, target, text, usage, finish_reason, cost });
            }
        }
    }
}

/// Waits for the first token, so that a refusal still gets its own status.
async fn start_stream(
    node: &Arc<node::Node>,
    job: Arc<chat_job::ChatJob>,
    target: chat_job::VersionTarget,
) -> Result<Box<StreamedAnswer>, error_body::RequestRefusal> {
    let mut reader =
        answer_reader::AnswerReader::new(Arc::clone(node), Arc::clone(&job), target, true);
    let first = loop {
        match reader.next().await? {
            answer_reader::ReaderEvent::Token(_, raw) => break raw,
            answer_reader::ReaderEvent::Restarted => {}
            answer_reader::ReaderEvent::End(..) => {
                let reason = refusal_reason::RefusalReason::BackendFailed;
                return Err(error_body::RequestRefusal::unknown(reason, "empty answer"));
            }
        }
    };
    let (node, state) = (Arc::clone(node), StreamState::Running);
    Ok(Box::new(StreamedAnswer { job, node, reader, first: Some(first), state }))
}

impl StreamedAnswer {
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
                return Some(Bytes::from_static(b"data: [DONE]\n\n"));
            }
            StreamState::Running => {}
        }
        if let Some(first) = self.first.take() {
            return Some(event(&first));
        }
        loop {
            match self.reader.next().await {
                Ok(answer_reader::ReaderEvent::Token(_, raw)) => return Some(event(&raw)),
                Ok(answer_reader::ReaderEvent::Restarted) => {}
                Ok(answer_reader::ReaderEvent::End(usage, reason)) => {
                    self.state = StreamState::Done;
                    return Some(self.finish(usage, &reason).await);
                }
                Err(refusal) => {
                    self.state = StreamState::Closed;
                    self.node.count_refusal(&refusal);
                    let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
                    return Some(event(&body));
                }
            }
        }
    }

    /// Bills the answer, then gives its last event.
    async fn finish(&mut self, usage: engine_client::TokenUsage, reason: &str) -> Bytes {
        let target = self.reader.target().clone();
        let cost = target.model.cost(usage.prompt_tokens, usage.completion_tokens);
        self.node.bill(&self.job, &target, usage, cost).await;
        let body = json!({
            "id": format!("{:032x}", self.job.id),
            "object": "chat.completion.chunk",
            "created": node::unix_seconds(),
            "model": &*target.model.name,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": reason }],
            "usage": usage_body(usage),
            "yuccareel": {
                "request_id": format!("{:032x}", self.job.id),
                "version": &*target.version,
                "cost_microcredits": cost,
            },
        });
        event(body.to_string().as_bytes())
    }
}

impl Drop for StreamedAnswer {
    /// Bills the tokens that were made before the caller went away.
    fn drop(&mut self) {
        let tokens = self.reader.tokens();
        if self.state != StreamState::Running || tokens == 0 {
            return;
        }
        let prompt_tokens = chat_request::estimated_tokens(&self.job.request.prompt);
        let usage = engine_client::TokenUsage { prompt_tokens, completion_tokens: tokens };
        let target = self.reader.target().clone();
        let cost = target.model.cost(usage.prompt_tokens, usage.completion_tokens);
        let (node, job) = (Arc::clone(&self.node), Arc::clone(&self.job));
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { node.bill(&job, &target, usage, cost).await });
        }
    }
}

impl WholeAnswer {
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

/// Job of a request that a customer sent now.
pub fn new_job(
    customer: Arc<crate::records::customer::CustomerRecord>,
    request: chat_request::ChatRequest,
) -> chat_job::ChatJob {
    let deadline = Instant::now() + request.deadline;
    chat_job::ChatJob { id: rand::random(), customer, request, deadline }
}

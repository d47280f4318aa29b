//! Path of a chat request: admission, cascade steps, the answer, the bill.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::{
    answer_reader, bill_line, cascade_policy, chat_job, chat_request, chat_stream, engine_client,
    error_body, ids, node, node_rating, node_rollout, node_versions, refusal_reason,
};

/// Longest wait of a streamed answer for a step's pool while a costlier step is left. The step that
/// exploration found to be sufficient may be cold when a surge begins.
const STREAM_QUEUE_LIMIT: Duration = Duration::from_millis(50);

/// Answer to a chat request.
pub enum ChatAnswer {
    /// Whole answer.
    Whole(WholeAnswer),
    /// Answer that is still arriving.
    Streamed(Box<chat_stream::StreamedAnswer>),
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
    /// Models and versions of all steps that ran.
    pub steps: Vec<bill_line::BillStep>,
}

/// Job of a request that a customer sent now.
pub fn new_job(
    id: ids::RequestId,
    customer: Arc<crate::records::customer::CustomerRecord>,
    request: chat_request::ChatRequest,
) -> chat_job::ChatJob {
    let deadline = Instant::now() + request.deadline;
    chat_job::ChatJob { id, customer, request, deadline, sent_addresses: Default::default() }
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
    let steps = node.job_steps(&job)?;
    let estimate = steps.iter().map(|step| step.cost).max().unwrap_or(0);
    let mut admission = node.admit(&job.customer, estimate).await?;
    let run = CascadeRun::new(node, &job, steps);
    if job.request.delivers_at_once() {
        return run.start_stream(admission).await.map(ChatAnswer::Streamed);
    }
    let answer = run.answer_whole().await?;
    admission.set_cost(answer.cost);
    node.bill(&job, answer.steps.clone()).await;
    Ok(ChatAnswer::Whole(answer))
}

/// One job on its way through the steps of its plan.
struct CascadeRun<'a> {
    node: &'a Arc<node::Node>,
    job: &'a Arc<chat_job::ChatJob>,
    steps: node_versions::JobSteps,
    plan: cascade_policy::CascadePlan,
    rating: cascade_policy::RatingAvailability,
}

impl<'a> CascadeRun<'a> {
    fn new(
        node: &'a Arc<node::Node>,
        job: &'a Arc<chat_job::ChatJob>,
        steps: node_versions::JobSteps,
    ) -> Self {
        let rating = node.rating_availability(job.request.delivers_at_once());
        let mut run = Self { node, job, steps, plan: cascade_policy::fixed_plan([0]), rating };
        let table = node.quality.lock();
        let chosen = cascade_policy::choose_plan(&table, &run.policy(), &mut rand::rng());
        drop(table);
        run.plan = chosen.unwrap_or(run.plan);
        run
    }

    fn policy(&self) -> cascade_policy::PolicyRequest<'_> {
        cascade_policy::PolicyRequest {
            customer: &self.job.customer.name,
            kind: &self.job.request.kind,
            steps: &self.steps,
            quality_target: self.job.customer.quality_target,
            rating: self.rating,
        }
    }

    /// Answers step by step until one is good enough or none is left.
    async fn answer_whole(&self) -> Result<WholeAnswer, error_body::RequestRefusal> {
        let mut best: Option<WholeAnswer> = None;
        let mut former: Option<usize> = None;
        let mut may_have_run = false;
        let mut place = 0;
        let mut step = self.plan.steps.first().copied().unwrap_or(0);
        loop {
            match self.read_step(step).await {
                Ok(mut answer) => {
                    if let Some(earlier) = best.take() {
                        answer.add_earlier(&earlier);
                    }
                    let decision = self.judge(&answer, step, former, place).await;
                    best = Some(answer);
                    former = Some(step);
                    match decision {
                        cascade_policy::AnswerDecision::Deliver => break,
                        cascade_policy::AnswerDecision::Escalate(next) => step = next,
                    }
                }
                Err(refusal) => {
                    may_have_run |= refusal.ran == error_body::RunState::Unknown;
                    match (best.is_some(), self.next_pool(step, &refusal)) {
                        // The answer of an earlier step is better than none.
                        (true, _) => break,
                        (false, Some(next)) => step = next,
                        (false, None) => return Err(refusal.after_attempts(may_have_run)),
                    }
                }
            }
            place += 1;
        }
        best.ok_or_else(|| {
            let reason = refusal_reason::RefusalReason::BackendFailed;
            error_body::RequestRefusal::may_have_run(reason, "no step gave an answer")
        })
    }

    /// Next step after one whose pool is exhausted or has no replica.
    fn next_pool(&self, step: usize, refusal: &error_body::RequestRefusal) -> Option<usize> {
        use refusal_reason::RefusalReason as Reason;
        let exhausted = matches!(
            refusal.reason,
            Reason::NoReplica | Reason::ColdStart | Reason::Overloaded | Reason::DataCentreDrained
        );
        (exhausted && step + 1 < self.steps.len()).then_some(step + 1)
    }

    async fn read_step(&self, step: usize) -> Result<WholeAnswer, error_body::RequestRefusal> {
        let target = self.node.choose_target(self.job, &self.steps[step].model).await?;
        let mut reader = self.reader(target.clone(), false);
        let mut text = String::new();
        loop {
            match reader.next().await {
                Err(refusal) => {
                    self.node.note_refusal(&target, &refusal);
                    return Err(refusal);
                }
                Ok(answer_reader::ReaderEvent::Token(token, _)) => text.push_str(&token),
                Ok(answer_reader::ReaderEvent::Restarted) => text.clear(),
                Ok(answer_reader::ReaderEvent::End(usage, finish_reason)) => {
                    let step = bill_step(&target, usage);
                    let cost = step.cost;
                    let slow = is_slow(&reader);
                    self.node.record_rollout_outcome(
                        &target,
                        node_rollout::AnswerOutcome::Complete(slow),
                    );
                    let (id, steps) = (self.job.id, vec![step]);
                    return Ok(WholeAnswer { id, target, text, usage, finish_reason, cost, steps });
                }
            }
        }
    }

    fn reader(
        &self,
        target: chat_job::VersionTarget,
        streamed: bool,
    ) -> answer_reader::AnswerReader {
        answer_reader::AnswerReader::new(
            Arc::clone(self.node),
            Arc::clone(self.job),
            target,
            streamed,
        )
    }

    /// Rates an answer where a decision hangs on it, else rates it later for learning.
    async fn judge(
        &self,
        answer: &WholeAnswer,
        step: usize,
        former: Option<usize>,
        place: usize,
    ) -> cascade_policy::AnswerDecision {
        let policy = self.policy();
        let rated = node_rating::AnswerSample {
            cell: cascade_policy::quality_cell(&policy, step, former),
            target: answer.target.clone(),
            quality_target: policy.quality_target,
            prompt: self.job.request.prompt.clone(),
            answer: answer.text.clone(),
            is_exploration: self.plan.is_exploration,
        };
        let may_escalate = place + 1 < self.plan.steps.len();
        if !may_escalate {
            self.node.rate_delivered_answer(rated);
            return cascade_policy::AnswerDecision::Deliver;
        }
        let score = match self.rating {
            cascade_policy::RatingAvailability::Available => self.node.rate_answer(rated).await,
            cascade_policy::RatingAvailability::Unavailable
            | cascade_policy::RatingAvailability::Streamed => None,
        };
        let table = self.node.quality.lock();
        cascade_policy::decide_after_answer(&table, &policy, &self.plan, place, score)
    }

    /// Waits for the first token, so that a refusal still gets its own status.
    async fn start_stream(
        &self,
        admission: crate::node_admission::AdmissionGuard,
    ) -> Result<Box<chat_stream::StreamedAnswer>, error_body::RequestRefusal> {
        let mut step = self.plan.steps.first().copied().unwrap_or(0);
        let mut may_have_run = false;
        loop {
            let chosen = self.node.choose_target(self.job, &self.steps[step].model).await;
            let target = chosen.map_err(|refusal| refusal.after_attempts(may_have_run))?;
            let mut reader = self.reader(target.clone(), true);
            if step + 1 < self.steps.len() {
                reader.limit_queue(STREAM_QUEUE_LIMIT);
            }
            match first_token(&mut reader).await {
                Ok(first) => {
                    let policy = self.policy();
                    let parts = chat_stream::StreamParts {
                        job: Arc::clone(self.job),
                        node: Arc::clone(self.node),
                        cell: cascade_policy::quality_cell(&policy, step, None),
                        explored: self.plan.is_exploration,
                        admission,
                        reader,
                        first,
                    };
                    return Ok(Box::new(chat_stream::StreamedAnswer::new(parts)));
                }
                Err(refusal) => {
                    self.node.note_refusal(&target, &refusal);
                    may_have_run |= refusal.ran == error_body::RunState::Unknown;
                    match self.next_pool(step, &refusal) {
                        Some(next) => step = next,
                        None => return Err(refusal.after_attempts(may_have_run)),
                    }
                }
            }
        }
    }
}

async fn first_token(
    reader: &mut answer_reader::AnswerReader,
) -> Result<answer_reader::ReaderEvent, error_body::RequestRefusal> {
    loop {
        match reader.next().await? {
            answer_reader::ReaderEvent::Restarted => {}
            event => return Ok(event),
        }
    }
}

/// Whether the first token came later than the target for interactive answers.
pub fn is_slow(reader: &answer_reader::AnswerReader) -> bool {
    reader.first_token().is_some_and(|elapsed| elapsed > node_rollout::SLOW_FIRST_TOKEN_THRESHOLD)
}

/// Bill of one step.
pub fn bill_step(
    target: &chat_job::VersionTarget,
    usage: engine_client::TokenUsage,
) -> bill_line::BillStep {
    bill_line::BillStep {
        model: target.model.name.clone(),
        version: target.version.clone(),
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
        cost: target.model.cost(usage.prompt_tokens, usage.completion_tokens),
    }
}

impl WholeAnswer {
    /// Adds the steps that ran before this one to the bill.
    fn add_earlier(&mut self, earlier: &Self) {
        self.cost += earlier.cost;
        self.steps.splice(0..0, earlier.steps.iter().cloned());
    }
}

impl node::Node {
    /// Records a failed step as evidence when an attempt ran.
    pub fn note_refusal(
        &self,
        target: &chat_job::VersionTarget,
        refusal: &error_body::RequestRefusal,
    ) {
        use refusal_reason::RefusalReason as Reason;
        let failed = matches!(refusal.reason, Reason::BackendFailed | Reason::AnswerTruncated);
        if failed {
            self.record_rollout_outcome(target, node_rollout::AnswerOutcome::Failed);
        }
    }
}

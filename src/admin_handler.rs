//! Handlers of `/admin/v1`.
//!
//! Every call carries the operators' bearer token. Reads answer from the
//! configuration in effect on this node; only `history` and `apply` call the
//! key-value service.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use salvo::http::ParseError;
use salvo::prelude::{Depot, FlowCtrl, Request, Response, Router, handler};
use salvo::writing::Json;
use serde::Serialize;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::admin_context::AdminContext;
use crate::admin_error::AdminError;
use crate::admin_types::{
    ApplyReply, ApplyRequest, CheckReply, HistoryReply, ListReply, StatusReply,
};
use crate::config_apply::{ApplyError, ApplyOutcome, ConfigApply};
use crate::config_snapshot::ConfigSnapshot;
use crate::config_store::ConfigStore;
use crate::error_body::RequestRefusal;
use crate::kv_store::{KvError, KvStore};
use crate::record_reader::RecordBatch;
use crate::refusal_reason::RefusalReason;
use crate::{ids, record_check, record_reader};

/// Largest body: a change of 1.5 MB with room for its JSON form.
const BODY_BYTES_MAX: usize = 4 << 20;
/// Changes that `history` answers when the query names no number.
const HISTORY_DEFAULT: usize = 20;
/// Longest author and apply id in bytes; both stand in the head.
const LABEL_BYTES_MAX: usize = 128;
/// Time for all attempts of one apply.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Dependencies of the handlers.
pub struct AdminState {
    /// Key-value service.
    pub store: Arc<dyn KvStore>,
    /// Configuration in effect.
    pub snapshot: Arc<ArcSwap<ConfigSnapshot>>,
    /// Node.
    pub context: Arc<dyn AdminContext>,
    /// SHA-256 of the operators' token.
    pub operator_token_sha256: [u8; 32],
}

/// Routes below `/admin/v1`.
pub fn router(state: Arc<AdminState>) -> Router {
    let goal = |call| AdminHandler { state: state.clone(), call };
    Router::with_path("admin/v1")
        .hoop(OperatorGuard { state: state.clone() })
        .push(Router::with_path("apply").post(goal(AdminCall::Apply)))
        .push(Router::with_path("check").post(goal(AdminCall::Check)))
        .push(Router::with_path("records").get(goal(AdminCall::List)))
        .push(Router::with_path("records/{kind}").get(goal(AdminCall::List)))
        .push(Router::with_path("records/{kind}/{name}").get(goal(AdminCall::Get)))
        .push(Router::with_path("history").get(goal(AdminCall::History)))
        .push(Router::with_path("status").get(goal(AdminCall::Status)))
        .push(Router::with_path("audit").get(goal(AdminCall::Audit)))
}

struct OperatorGuard {
    state: Arc<AdminState>,
}

#[handler]
impl OperatorGuard {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        if let Err(refusal) = check_token(request, &self.state.operator_token_sha256) {
            AdminError::from(refusal).render(response);
            flow.skip_rest();
        }
    }
}

/// Compares hashes in constant time, so that neither the token nor its hash can be guessed bytewise.
fn check_token(request: &Request, expected: &[u8; 32]) -> Result<(), RequestRefusal> {
    let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let Some(token) = header.and_then(|value| value.strip_prefix("Bearer ")) else {
        let message = "operator token is missing: send `Authorization: Bearer TOKEN`";
        return Err(RequestRefusal::not_run(RefusalReason::TokenMissing, message));
    };
    let digest = Sha256::digest(token.as_bytes());
    if bool::from(digest.as_slice().ct_eq(expected)) {
        return Ok(());
    }
    Err(RequestRefusal::not_run(RefusalReason::TokenUnknown, "operator token is wrong"))
}

#[derive(Clone, Copy)]
enum AdminCall {
    Apply,
    Check,
    List,
    Get,
    History,
    Status,
    Audit,
}

struct AdminHandler {
    state: Arc<AdminState>,
    call: AdminCall,
}

#[handler]
impl AdminHandler {
    async fn handle(&self, request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        let result = match self.call {
            AdminCall::Apply => answer(response, self.state.apply(request).await),
            AdminCall::Check => answer(response, self.state.check(request).await),
            AdminCall::List => answer(response, self.state.list(request)),
            AdminCall::Get => answer(response, self.state.get(request)),
            AdminCall::History => answer(response, self.state.history(request).await),
            AdminCall::Status => answer(response, Ok(self.state.status().await)),
            AdminCall::Audit => {
                answer(response, self.state.context.audit().await.map_err(AdminError::from))
            }
        };
        if let Err(error) = result {
            error.render(response);
        }
    }
}

fn answer<T: Serialize + Send>(
    response: &mut Response,
    result: Result<T, AdminError>,
) -> Result<(), AdminError> {
    result.map(|body| response.render(Json(body)))
}

impl AdminState {
    async fn apply(self: &Arc<Self>, request: &mut Request) -> Result<ApplyReply, AdminError> {
        self.context.may_accept()?;
        let body = read_body(request).await?;
        let apply_id = match &body.apply_id {
            Some(id) => id.clone(),
            None => format!("{:032x}", rand::random::<u128>()).into(),
        };
        check_label("author", &body.author)?;
        check_label("apply_id", &apply_id)?;
        let batch = read_documents(&body);
        if !batch.findings.is_empty() {
            let base = self.snapshot.load_full();
            let findings = record_check::check_onto(&base, &batch, &body.removals);
            let error = ApplyError::Findings(findings);
            return Err(AdminError::Apply { error, apply_id });
        }
        let apply = ConfigApply {
            apply_id: apply_id.clone(),
            author: body.author,
            written_at_ms: now_ms(),
            puts: batch.records,
            removals: body.removals,
            expected_sequence: body.expected_sequence,
        };
        // A task of its own: a caller that disconnects must not stop the node between the
        // commit and the push to its peers.
        let work = tokio::spawn(self.clone().commit(apply));
        let result = work.await.unwrap_or_else(|error| Err(unknown(&apply_id, error)));
        match result {
            Ok(outcome) => Ok(ApplyReply {
                sequence: outcome.sequence(),
                unchanged: matches!(outcome, ApplyOutcome::Unchanged(_)),
                apply_id,
            }),
            Err(ApplyError::Refused(refusal)) => Err(refusal.into()),
            Err(error) => Err(AdminError::Apply { error, apply_id }),
        }
    }

    async fn commit(self: Arc<Self>, apply: ConfigApply) -> Result<ApplyOutcome, ApplyError> {
        let store = ConfigStore::new(self.store.clone());
        let gate = || self.context.may_accept();
        let work = store.apply(self.snapshot.load_full(), &apply, &gate);
        let outcome = tokio::time::timeout(APPLY_TIMEOUT, work)
            .await
            .unwrap_or_else(|elapsed| Err(unknown(&apply.apply_id, elapsed)))?;
        if let ApplyOutcome::Committed(change) = &outcome {
            self.context.committed(change.clone());
        }
        Ok(outcome)
    }

    async fn check(&self, request: &mut Request) -> Result<CheckReply, AdminError> {
        let body = read_body(request).await?;
        let batch = read_documents(&body);
        let base = self.snapshot.load_full();
        let findings = record_check::check_onto(&base, &batch, &body.removals);
        Ok(CheckReply { sequence: base.sequence, findings })
    }

    fn list(&self, request: &Request) -> Result<ListReply, AdminError> {
        let snapshot = self.snapshot.load_full();
        let kind = request.param::<String>("kind");
        let wanted = |record: &crate::records::RoutingRecord| {
            kind.as_deref().is_none_or(|kind| kind == record.kind())
        };
        let records = snapshot.records();
        let records = records.iter().filter(|record| wanted(record));
        Ok(ListReply {
            sequence: snapshot.sequence,
            records: records.map(record_reader::record_value).collect(),
        })
    }

    fn get(&self, request: &Request) -> Result<ListReply, AdminError> {
        let snapshot = self.snapshot.load_full();
        let kind = request.param::<String>("kind").unwrap_or_default();
        let name = request.param::<String>("name").unwrap_or_default();
        let record = record_check::find_record(&snapshot, &kind, &name)
            .ok_or_else(|| AdminError::RecordUnknown(format!("{kind}/{name}")))?;
        let records = vec![record_reader::record_value(&record)];
        Ok(ListReply { sequence: snapshot.sequence, records })
    }

    async fn history(&self, request: &Request) -> Result<HistoryReply, AdminError> {
        let limit = request.query::<usize>("limit").unwrap_or(HISTORY_DEFAULT);
        let changes = ConfigStore::new(self.store.clone()).history(limit).await?;
        Ok(HistoryReply { changes })
    }

    async fn status(&self) -> StatusReply {
        let sequence = self.snapshot.load().sequence;
        StatusReply { sequence, instances: self.context.status().await }
    }
}

fn unknown(apply_id: &ids::ApplyId, cause: impl std::fmt::Display) -> ApplyError {
    let cause = KvError::NoAnswer(cause.to_string()).into();
    ApplyError::OutcomeUnknown { apply_id: apply_id.clone(), sequence: None, cause }
}

async fn read_body(request: &mut Request) -> Result<ApplyRequest, AdminError> {
    let bytes =
        request.payload_with_max_size(BODY_BYTES_MAX).await.map_err(|error| match error {
            ParseError::PayloadTooLarge => {
                let message = format!("body is over the limit of {BODY_BYTES_MAX} bytes");
                RequestRefusal::not_run(RefusalReason::BodyTooLarge, message).into()
            }
            other => AdminError::body(other.to_string()),
        })?;
    serde_json::from_slice(bytes).map_err(|error| AdminError::body(error.to_string()))
}

fn read_documents(body: &ApplyRequest) -> RecordBatch {
    let mut batch = RecordBatch::default();
    for document in &body.documents {
        batch.read_document(&document.file, &document.document);
    }
    batch
}

fn check_label(field: &str, text: &str) -> Result<(), AdminError> {
    let printable = text.chars().all(|character| !character.is_control());
    if text.is_empty() || text.len() > LABEL_BYTES_MAX || !printable {
        let message = format!("{field}: expected 1 to {LABEL_BYTES_MAX} printable bytes");
        return Err(AdminError::body(message));
    }
    Ok(())
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

//! Choice of the models and versions of a request, from cascades, rollouts and session pins.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::event_catalogue::LogEvent;
use crate::refusal_reason::RefusalReason;
use crate::{
    cascade_policy, chat_job, chat_request, config_snapshot, error_body, ids, node, peer_message,
    records, rendezvous, session_table,
};

/// Number of owners of a session pin.
const PIN_OWNERS: usize = 2;
/// Timeout of one call to a pin owner.
const PIN_CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Output tokens that a cost estimate assumes for requests without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// Steps that a job may use, in ascending order of cost.
pub type JobSteps = SmallVec<[cascade_policy::StepOption; 4]>;

impl node::Node {
    /// Steps of a job that its customer may use.
    ///
    /// # Errors
    /// `model_unknown`, `model_not_allowed` or `version_withdrawn`.
    pub fn job_steps(
        &self,
        job: &chat_job::ChatJob,
    ) -> Result<JobSteps, error_body::RequestRefusal> {
        let snapshot = self.snapshot.load();
        let models = target_models(&snapshot, job)?;
        let mut steps = JobSteps::new();
        let mut refusal_reason = RefusalReason::ModelNotAllowed;
        for name in models {
            let Some(model) = snapshot.models.get(&name) else { continue };
            let is_allowed =
                |version: &&records::model::ModelVersion| job.customer.allows(&name, &version.name);
            if !model.versions.iter().any(|version| is_allowed(&version)) {
                continue;
            }
            if usable_version(model, job).is_none() {
                refusal_reason = RefusalReason::VersionWithdrawn;
                continue;
            }
            let prompt_tokens = chat_request::estimated_tokens(&job.request.prompt);
            let rollouts = &snapshot.rollouts;
            steps.push(cascade_policy::StepOption {
                under_rollout: rollouts.values().any(|rollout| rollout.model == name),
                model: name,
                cost: model
                    .cost(prompt_tokens, job.request.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS)),
                prior_quality: model.prior_quality,
            });
        }
        if steps.is_empty() {
            let message = format!("model: {} has no version for this customer", job.request.target);
            return Err(error_body::RequestRefusal::not_run(refusal_reason, message));
        }
        Ok(steps)
    }

    /// Version of a model for a job: the requested one, the pinned one, or the one that a rollout
    /// prefers.
    ///
    /// # Errors
    /// `model_unknown`, `model_not_allowed` or `version_withdrawn`.
    pub async fn choose_target(
        &self,
        job: &chat_job::ChatJob,
        model: &ids::ModelName,
    ) -> Result<chat_job::VersionTarget, error_body::RequestRefusal> {
        let snapshot = self.snapshot.load_full();
        let not_run = error_body::RequestRefusal::not_run;
        let record = snapshot.models.get(model).ok_or_else(|| {
            not_run(RefusalReason::ModelUnknown, format!("model: no record of {model}"))
        })?;
        if let Some(version) = &job.request.version {
            check_version(record, job, version)?;
            let (model, version) = (Arc::clone(record), version.clone());
            return Ok(chat_job::VersionTarget { model, version, repinned: false });
        }
        let key = match &job.request.session {
            Some(session) => session.to_string(),
            None => format!("{:032x}", job.id),
        };
        let preferred =
            self.rollouts.preferred_version(&snapshot, &self.replicas.load(), model, &key);
        let preferred = preferred.unwrap_or_else(|| record.default_version.clone());
        let found = match &job.request.session {
            Some(session) => self.session_version(job, session, model, &preferred, &snapshot).await,
            None => self.sessionless_version(job, model, &preferred, &snapshot),
        };
        if let Some(reason) = found.as_ref().and_then(|found| found.repin_reason) {
            let fields = slog::o!("model" => model.to_string(), "reason" => reason.code());
            self.emit(LogEvent::SessionRepinned, fields);
        }
        let found = found.ok_or_else(|| {
            let message = "every allowed version is withdrawn".to_owned();
            not_run(RefusalReason::VersionWithdrawn, message)
        })?;
        Ok(chat_job::VersionTarget {
            model: Arc::clone(record),
            version: found.pin.version,
            repinned: found.repin_reason.is_some(),
        })
    }

    fn sessionless_version(
        &self,
        job: &chat_job::ChatJob,
        model: &ids::ModelName,
        preferred: &ids::VersionName,
        snapshot: &config_snapshot::ConfigSnapshot,
    ) -> Option<session_table::SessionVersion> {
        let key = session_table::SessionModel {
            customer: job.customer.name.clone(),
            session: format!("{:032x}", job.id).into(),
            model: model.clone(),
        };
        let mut table = session_table::SessionTable::with_capacity(1);
        table.resolve(&key, preferred, &job.customer, snapshot, self.clock())
    }

    /// Pinned version of a session. Queries the pin owners if this node has no pin, and stores new
    /// and moved pins at them.
    async fn session_version(
        &self,
        job: &chat_job::ChatJob,
        session: &ids::SessionKey,
        model: &ids::ModelName,
        preferred: &ids::VersionName,
        snapshot: &config_snapshot::ConfigSnapshot,
    ) -> Option<session_table::SessionVersion> {
        let key = session_table::SessionModel {
            customer: job.customer.name.clone(),
            session: session.clone(),
            model: model.clone(),
        };
        // Only one request at a time resolves the pin of a session, so that none is served under a
        // pin that its owner has not accepted.
        let _guard = self.pin_locks.lock_session(&key).await;
        let has_pin = self.sessions.lock().get(&key, self.clock()).is_some();
        if !has_pin {
            self.fetch_pin(&key).await;
        }
        let resolve = || {
            let mut sessions = self.sessions.lock();
            sessions.resolve(&key, preferred, &job.customer, snapshot, self.clock())
        };
        let found = resolve()?;
        if !found.is_changed {
            return Some(found);
        }
        let accepted = self.store_pin_at_owners(&key, &found.pin).await;
        // Another node may have pinned the session first; its pin takes precedence.
        if accepted == found.pin {
            return Some(found);
        }
        self.sessions.lock().apply_pin(key.clone(), accepted, self.clock());
        resolve()
    }

    async fn fetch_pin(&self, key: &session_table::SessionModel) {
        for owner in self.pin_owners(key) {
            let Some(peer) = self.owner_address(&owner) else { continue };
            let pin = self.peers.look_up_session(peer, PIN_CALL_TIMEOUT, key).await;
            if let Ok(Some(pin)) = pin {
                self.sessions.lock().apply_pin(key.clone(), pin, self.clock());
                return;
            }
        }
    }

    /// Stores a pin at its owners and returns the pin that the first reachable owner accepted, or
    /// the given one if none is reachable.
    ///
    /// All nodes call the owners in the same order, so that the first one decides between
    /// concurrent pins. The second one only stores a copy.
    async fn store_pin_at_owners(
        &self,
        key: &session_table::SessionModel,
        pin: &session_table::SessionPin,
    ) -> session_table::SessionPin {
        let mut accepted: Option<session_table::SessionPin> = None;
        for owner in self.pin_owners(key) {
            let pin = accepted.clone().unwrap_or_else(|| pin.clone());
            let answer = match self.owner_address(&owner) {
                None => Some(self.sessions.lock().accept_pin(key.clone(), pin, self.clock())),
                Some(peer) => {
                    let request = peer_message::PinRequest { key: key.clone(), pin };
                    self.peers.pin_session(peer, PIN_CALL_TIMEOUT, &request).await.ok()
                }
            };
            accepted = accepted.or(answer);
        }
        accepted.unwrap_or_else(|| pin.clone())
    }

    /// Owners of a pin. The first one decides between concurrent pins.
    fn pin_owners(&self, key: &session_table::SessionModel) -> Vec<ids::InstanceName> {
        let view = self.view.load();
        let name = format!("{}/{}/{}", key.customer, key.session, key.model);
        let owners = rendezvous::top_ranked(&name, &view.members, PIN_OWNERS);
        owners.into_iter().cloned().collect()
    }

    /// Peer address of an owner; `None` if the owner is this node or its address is unknown.
    fn owner_address(&self, owner: &ids::InstanceName) -> Option<std::net::SocketAddr> {
        (*owner != self.options.name).then(|| self.peer_address(owner)).flatten()
    }
}

fn target_models(
    snapshot: &config_snapshot::ConfigSnapshot,
    job: &chat_job::ChatJob,
) -> Result<SmallVec<[ids::ModelName; 4]>, error_body::RequestRefusal> {
    let target = job.request.target.as_str();
    if let Some((name, _)) = snapshot.models.get_key_value(target) {
        return Ok(SmallVec::from_iter([name.clone()]));
    }
    let cascade = match &job.customer.cascade {
        Some(cascade) if target == chat_request::AUTO_MODEL => Some(cascade.to_string()),
        _ => Some(target.to_owned()).filter(|name| snapshot.cascades.contains_key(name.as_str())),
    };
    match cascade {
        Some(cascade) => Ok(snapshot.cascade_models(&cascade)),
        None => Err(error_body::RequestRefusal::not_run(
            RefusalReason::ModelUnknown,
            format!("model: no model or cascade named {target}"),
        )),
    }
}

/// First active version that the customer may use and that the request accepts.
fn usable_version<'a>(
    model: &'a records::model::ModelRecord,
    job: &chat_job::ChatJob,
) -> Option<&'a ids::VersionName> {
    let is_usable = |version: &&records::model::ModelVersion| {
        version.state == records::model::VersionState::Active
            && job.customer.allows(&model.name, &version.name)
            && job.request.version.as_ref().is_none_or(|requested| *requested == version.name)
    };
    model.versions.iter().find(is_usable).map(|version| &version.name)
}

fn check_version(
    model: &records::model::ModelRecord,
    job: &chat_job::ChatJob,
    version: &str,
) -> Result<(), error_body::RequestRefusal> {
    let reason = match model.version_state(version) {
        None => RefusalReason::ModelUnknown,
        Some(_) if !job.customer.allows(&model.name, version) => RefusalReason::ModelNotAllowed,
        Some(records::model::VersionState::Withdrawn) => RefusalReason::VersionWithdrawn,
        Some(records::model::VersionState::Active) => return Ok(()),
    };
    let message = format!("model: version {version} of {}", model.name);
    Err(error_body::RequestRefusal::not_run(reason, message))
}

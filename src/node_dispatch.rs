//! Dispatch checks and choice of a replica, made just before each send.

use std::time::Duration;

use smallvec::SmallVec;

use crate::{
    chat_job, engine_client, error_body, ids, node, refusal_reason, replica_table, retry_reason,
};

/// Right to send one request to a replica; counts it in flight while it lives.
#[derive(Debug)]
pub struct DispatchGuard {
    /// Replica.
    pub row: replica_table::ReplicaRow,
    _in_flight: replica_table::InFlightGuard,
}

impl DispatchGuard {
    /// Guard of one request at a replica.
    pub fn new(row: &replica_table::ReplicaRow) -> Self {
        let in_flight = replica_table::InFlightGuard::new(&row.in_flight);
        Self { row: row.clone(), _in_flight: in_flight }
    }
}

impl node::Node {
    /// Chooses a replica for a step of a job.
    ///
    /// # Errors
    /// With the first dispatch check that fails.
    pub async fn dispatch(
        &self,
        job: &chat_job::ChatJob,
        target: &chat_job::VersionTarget,
        tried: &SmallVec<[ids::ReplicaName; 4]>,
        _attempts: u32,
    ) -> Result<DispatchGuard, error_body::RequestRefusal> {
        self.check_target(job, target)?;
        let table = self.replicas.load();
        let pool =
            replica_table::ReplicaPool::Version(target.model.name.clone(), target.version.clone());
        let snapshot = self.snapshot.load();
        let row = table
            .pool(&pool)
            .iter()
            .map(|&index| table.row(index))
            .filter(|row| !row.leaving && !snapshot.drained(&row.data_centre))
            .filter(|row| !tried.contains(&row.name))
            .min_by_key(|row| row.in_flight.load(std::sync::atomic::Ordering::Relaxed));
        row.map(DispatchGuard::new).ok_or_else(|| {
            let reason = refusal_reason::RefusalReason::NoReplica;
            error_body::RequestRefusal::not_run(reason, "no live replica of an allowed version")
        })
    }

    /// Repeats the checks for a request that goes back to the same replica.
    ///
    /// # Errors
    /// With the first check that fails.
    pub fn recheck(
        &self,
        job: &chat_job::ChatJob,
        target: &chat_job::VersionTarget,
        dispatch: &DispatchGuard,
    ) -> Result<(), error_body::RequestRefusal> {
        self.check_target(job, target)?;
        if self.snapshot.load().drained(&dispatch.row.data_centre) {
            let reason = refusal_reason::RefusalReason::DataCentreDrained;
            return Err(error_body::RequestRefusal::unknown(reason, "data centre was drained"));
        }
        Ok(())
    }

    fn check_target(
        &self,
        job: &chat_job::ChatJob,
        target: &chat_job::VersionTarget,
    ) -> Result<(), error_body::RequestRefusal> {
        let snapshot = self.snapshot.load();
        let not_run = error_body::RequestRefusal::not_run;
        let customer = snapshot.customers.get(&job.customer.name);
        if !customer.is_some_and(|customer| customer.allows(&target.model.name, &target.version)) {
            let reason = refusal_reason::RefusalReason::ModelNotAllowed;
            return Err(not_run(reason, "customer may not use this model and version"));
        }
        if !snapshot.version_active(&target.model.name, &target.version) {
            let reason = refusal_reason::RefusalReason::VersionWithdrawn;
            return Err(not_run(reason, "version is withdrawn"));
        }
        Ok(())
    }

    /// Whether the retry budget allows another attempt.
    pub fn retry_allowed(
        &self,
        _customer: &ids::CustomerName,
        _replica: &ids::ReplicaName,
        _reason: retry_reason::RetryReason,
    ) -> bool {
        true
    }

    /// Learns from the boot identifier of a reply.
    pub fn note_boot(&self, _dispatch: &DispatchGuard, _boot: Option<&ids::BootId>) {}

    /// Learns from the time to the first token.
    pub fn note_first_token(&self, _dispatch: &DispatchGuard, elapsed: Duration) {
        metrics::histogram!("yuccareel_first_token_seconds").record(elapsed.as_secs_f64());
    }

    /// Learns from an answer that came whole.
    pub fn note_success(&self, _dispatch: &DispatchGuard) {}

    /// Learns from a failed attempt.
    pub fn note_failure(&self, _dispatch: &DispatchGuard, _error: &engine_client::AttemptError) {}
}

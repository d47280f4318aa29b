//! Claims of one shard, as its owner knows them.
//!
//! A call may be sent once its `Started` record is stored. A row therefore passes
//! from `Starting` to `Running` only when the write of its own record is confirmed.

use std::collections::HashMap;

use crate::{claim_log, claim_record, ids, kv_store};

/// Prefix of all claim logs.
pub const LOG_PREFIX: &str = "claim/log/";

/// Error of loading a shard.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: claim segment cannot be read: {message}")]
pub struct ClaimLoadError {
    /// Key of the segment.
    pub key: String,
    /// Cause.
    pub message: String,
}

/// What the shard knows about a request to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimFinding {
    /// Key is free.
    Free,
    /// The same request waits for its start to be stored.
    OwnStart,
    /// The same request may run.
    OwnRun,
    /// The same request was abandoned; its id must not be used again.
    OwnAbandoned,
    /// Another request under the key has not ended.
    InProgress,
    /// Answer of the call.
    Finished(claim_record::ClaimAnswer),
    /// The call may have run, and its answer will not come.
    OutcomeUnknown,
    /// Key was used for a different request.
    Conflict,
}

#[derive(Clone, Debug)]
struct ClaimRow {
    request: ids::RequestId,
    fingerprint: claim_record::ClaimFingerprint,
    serving: ids::InstanceName,
    started_at_ms: u64,
    state: RowState,
}

#[derive(Clone, Debug)]
enum RowState {
    Starting(claim_log::RecordNumber),
    Running,
    Finished(claim_record::ClaimAnswer),
    Abandoned,
}

/// Claims of one shard.
#[derive(Clone, Debug, Default)]
pub struct ClaimShard {
    rows: HashMap<claim_record::ClaimKey, ClaimRow>,
    /// Records that wait and segments that are stored.
    pub log: claim_log::ClaimLog,
}

impl ClaimShard {
    /// Shard from its stored segments in the order of their keys.
    pub fn load(entries: &[kv_store::KvEntry]) -> Result<Self, ClaimLoadError> {
        let mut shard = Self::default();
        for entry in entries {
            let fail = |message: String| ClaimLoadError { key: entry.key.clone(), message };
            let number = entry.key.rsplit('/').next().and_then(|text| text.parse().ok());
            let number = number.ok_or_else(|| fail("no segment number".to_owned()))?;
            let records = claim_record::ClaimRecord::parse_segment(&entry.value)
                .map_err(|error| fail(error.to_string()))?;
            let newest_ms = records.iter().map(|record| record.at_ms).max().unwrap_or(0);
            shard.log.load_segment(number, entry, newest_ms);
            records.iter().for_each(|record| shard.replay(record));
        }
        Ok(shard)
    }

    /// Looks a request up. `is_live` tells whether a process still runs.
    pub fn find(
        &self,
        request: &claim_record::ClaimRequest,
        is_live: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> ClaimFinding {
        let Some(row) = self.rows.get(&request.key).filter(|row| !row.is_expired(now_ms)) else {
            return ClaimFinding::Free;
        };
        let own = row.request == request.request;
        match &row.state {
            RowState::Abandoned if own => ClaimFinding::OwnAbandoned,
            RowState::Abandoned => ClaimFinding::Free,
            _ if row.fingerprint != request.fingerprint => ClaimFinding::Conflict,
            RowState::Starting(_) if own => ClaimFinding::OwnStart,
            RowState::Starting(_) => ClaimFinding::InProgress,
            RowState::Running if own => ClaimFinding::OwnRun,
            RowState::Running if row.may_still_run(&is_live, now_ms) => ClaimFinding::InProgress,
            RowState::Running => ClaimFinding::OutcomeUnknown,
            RowState::Finished(answer) => ClaimFinding::Finished(answer.clone()),
        }
    }

    /// Whether a call that was started may still be answered.
    pub fn may_still_run(
        &self,
        key: &claim_record::ClaimKey,
        is_live: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> bool {
        self.rows.get(key).is_some_and(|row| match row.state {
            RowState::Starting(_) => true,
            RowState::Running => row.may_still_run(&is_live, now_ms),
            RowState::Finished(_) | RowState::Abandoned => false,
        })
    }

    /// Queues the start of a request whose key is free.
    pub fn start(&mut self, request: &claim_record::ClaimRequest, now_ms: u64) {
        let serving = request.serving.clone();
        let event = claim_record::ClaimEvent::Started(request.fingerprint, serving.clone());
        let number = self.push(request.key, request.request, now_ms, event);
        let row = ClaimRow {
            request: request.request,
            fingerprint: request.fingerprint,
            serving,
            started_at_ms: now_ms,
            state: RowState::Starting(number),
        };
        self.rows.insert(request.key, row);
    }

    /// Ends a call. False when the request does not hold the key.
    pub fn end(
        &mut self,
        key: &claim_record::ClaimKey,
        request: ids::RequestId,
        answer: Option<claim_record::ClaimAnswer>,
        now_ms: u64,
    ) -> bool {
        let Some(row) = self.rows.get_mut(key).filter(|row| row.request == request) else {
            return false;
        };
        match row.state {
            RowState::Running => {}
            RowState::Starting(_) => return false,
            RowState::Finished(_) => return answer.is_some(),
            RowState::Abandoned => return answer.is_none(),
        }
        let (state, event) = match answer {
            Some(answer) => {
                (RowState::Finished(answer.clone()), claim_record::ClaimEvent::Finished(answer))
            }
            None => (RowState::Abandoned, claim_record::ClaimEvent::Abandoned),
        };
        row.state = state;
        self.push(*key, request, now_ms, event);
        true
    }

    /// Frees a key whose start is not confirmed. When the start may be stored, a record that
    /// takes it back is queued.
    pub fn withdraw(&mut self, key: &claim_record::ClaimKey, now_ms: u64) {
        let Some(row) = self.rows.get(key) else { return };
        let RowState::Starting(number) = row.state else { return };
        let request = row.request;
        self.rows.remove(key);
        if !self.log.cancel(number) {
            self.push(*key, request, now_ms, claim_record::ClaimEvent::Abandoned);
        }
    }

    /// Keys whose start is not confirmed.
    pub fn starting(&self) -> Vec<claim_record::ClaimKey> {
        let rows = self.rows.iter();
        rows.filter(|(_, row)| matches!(row.state, RowState::Starting(_)))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Records that the outstanding write took effect. Returns the requests that may run now.
    pub fn written(
        &mut self,
        mod_revision: ids::KvRevision,
    ) -> Vec<(claim_record::ClaimKey, ids::RequestId)> {
        let mut started = Vec::new();
        for (number, record) in self.log.written(mod_revision) {
            let row = self.rows.get_mut(&record.key);
            if let Some(row) =
                row.filter(|row| matches!(row.state, RowState::Starting(own) if own == number))
            {
                row.state = RowState::Running;
                started.push((record.key, record.request));
            }
        }
        started
    }

    /// Takes over the segment that an earlier write of this owner left behind late, and takes
    /// back the starts in it that were refused meanwhile.
    pub fn adopt(&mut self, entry: &kv_store::KvEntry, now_ms: u64) -> Result<(), ClaimLoadError> {
        let records = claim_record::ClaimRecord::parse_segment(&entry.value).map_err(|error| {
            ClaimLoadError { key: entry.key.clone(), message: error.to_string() }
        })?;
        self.log.adopt(entry);
        for record in records {
            let started = matches!(record.event, claim_record::ClaimEvent::Started(..));
            let row = self.rows.get(&record.key);
            if started && row.is_none_or(|row| row.request != record.request) {
                let event = claim_record::ClaimEvent::Abandoned;
                self.push(record.key, record.request, now_ms, event);
            }
        }
        Ok(())
    }

    /// Drops claims that are past their retention.
    pub fn expire(&mut self, now_ms: u64) {
        self.rows
            .retain(|_, row| matches!(row.state, RowState::Starting(_)) || !row.is_expired(now_ms));
    }

    /// Number of claims in memory.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no claim is in memory.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn push(
        &mut self,
        key: claim_record::ClaimKey,
        request: ids::RequestId,
        at_ms: u64,
        event: claim_record::ClaimEvent,
    ) -> claim_log::RecordNumber {
        self.log.push(claim_record::ClaimRecord { key, request, at_ms, event })
    }

    /// Applies a stored record. Records may be stored twice, in the same order.
    fn replay(&mut self, record: &claim_record::ClaimRecord) {
        let row = self.rows.get_mut(&record.key);
        if let claim_record::ClaimEvent::Started(fingerprint, serving) = &record.event {
            let finished = |row: &&mut ClaimRow| matches!(row.state, RowState::Finished(_));
            if row.filter(finished).is_some_and(|row| !row.is_expired(record.at_ms)) {
                return;
            }
            let row = ClaimRow {
                request: record.request,
                fingerprint: *fingerprint,
                serving: serving.clone(),
                started_at_ms: record.at_ms,
                state: RowState::Running,
            };
            self.rows.insert(record.key, row);
            return;
        }
        let Some(row) = row.filter(|row| row.request == record.request) else { return };
        match (&row.state, &record.event) {
            (RowState::Running, claim_record::ClaimEvent::Abandoned) => {
                row.state = RowState::Abandoned;
            }
            (RowState::Running, claim_record::ClaimEvent::Finished(answer)) => {
                row.state = RowState::Finished(answer.clone());
            }
            _ => {}
        }
    }
}

impl ClaimRow {
    fn is_expired(&self, now_ms: u64) -> bool {
        self.started_at_ms + claim_record::RETENTION.as_millis() as u64 <= now_ms
    }

    fn may_still_run(&self, is_live: impl Fn(&str) -> bool, now_ms: u64) -> bool {
        let limit_ms = claim_record::CALL_LIMIT.as_millis() as u64;
        is_live(&self.serving) && now_ms < self.started_at_ms + limit_ms
    }
}

/// Key of a segment.
pub fn segment_key(shard: ids::ShardNumber, segment: u64) -> String {
    format!("{LOG_PREFIX}{shard:02}/{segment:012}")
}

/// Prefix of the segments of a shard.
pub fn segment_prefix(shard: ids::ShardNumber) -> String {
    format!("{LOG_PREFIX}{shard:02}/")
}

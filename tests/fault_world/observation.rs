//! What engines, services, callers and the bill audit showed during one cell.
//!
//! All times are durations since the start of the cell.

use std::time::Duration;

/// Arrival of a request at a backend server.
#[derive(Clone, Debug)]
pub struct BackendArrival {
    pub at: Duration,
    pub replica: String,
    pub data_centre: String,
    /// Loaded version; empty for a plain service.
    pub version: String,
    pub request_id: String,
    /// Key of a service call.
    pub idempotency_key: Option<String>,
    pub admitted: bool,
    pub cold: bool,
    /// Requests at once, this one included.
    pub concurrency: u32,
    pub cold_concurrency: u32,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Status 200 with the text, which the end marker closed.
    Whole(String),
    /// Status 200 that ended without end marker and without error.
    Silent(String),
    /// Refusal or error event.
    Refused { code: String, ran_no: bool },
    /// Connection broken, refused or without an answer in time.
    Broken(String),
}

/// Call of a caller.
#[derive(Clone, Debug)]
pub struct CallerCall {
    pub started: Duration,
    pub ended: Duration,
    pub instance: String,
    pub customer: String,
    /// From `x-request-id`; absent when no reply head came.
    pub request_id: Option<String>,
    pub session: Option<String>,
    /// From `x-yuccareel-version`.
    pub version: Option<String>,
    /// Tokens asked for; 0 for a service call.
    pub tokens: u64,
    pub idempotency_key: Option<String>,
    pub end: CallEnd,
}

/// What may receive no new work within a period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkBan {
    /// Withdrawn version.
    Version(String),
    /// Drained data centre.
    DataCentre(String),
    /// Leaving backend server.
    Replica(String),
}

/// Period of a ban, from the time at which it was accepted or listed.
#[derive(Clone, Debug)]
pub struct BanPeriod {
    pub ban: WorkBan,
    pub from: Duration,
    pub until: Option<Duration>,
}

/// Instance with its configuration sequence as its administration API tells it.
#[derive(Clone, Debug)]
pub struct ConfigSample {
    pub at: Duration,
    pub instance: String,
    pub sequence: u64,
}

/// Graceful stop of an instance.
#[derive(Clone, Debug)]
pub struct StopPeriod {
    pub instance: String,
    pub from: Duration,
    /// Time for which it still accepts requests.
    pub leave_time: Duration,
}

/// Everything that one cell showed.
#[derive(Clone, Debug, Default)]
pub struct CellObservations {
    pub arrivals: Vec<BackendArrival>,
    pub calls: Vec<CallerCall>,
    pub bans: Vec<BanPeriod>,
    /// Customer and versions that it allows.
    pub allowed: Vec<(String, Vec<String>)>,
    /// Replica and time at which it turned cold without warning.
    pub turned_cold: Vec<(String, Duration)>,
    /// Request identifiers of all bills.
    pub billed: Vec<String>,
    /// Findings of the audit.
    pub bill_findings: Vec<String>,
    /// Accepted sequence numbers with the time of acceptance.
    pub accepted: Vec<(u64, Duration)>,
    pub samples: Vec<ConfigSample>,
    pub stops: Vec<StopPeriod>,
}

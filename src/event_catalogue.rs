//! Numbered log events.
//!
//! Operators search logs by number, so a number is never reused. `docs/EVENTS.md`
//! lists the same events and is held against this file by a test.

use std::fmt;

use slog::{KV, Level, Logger, Record, RecordLocation, RecordStatic, Serializer};

macro_rules! events {
    ($($variant:ident = $number:literal $level:ident $code:literal $message:literal;)*) => {
        /// Numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum LogEvent {
            $(#[doc = $message] $variant = $number,)*
        }

        impl LogEvent {
            /// All events in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Level.
            pub fn level(self) -> Level {
                match self { $(Self::$variant => Level::$level,)* }
            }

            /// Stable code.
            pub fn code(self) -> &'static str {
                match self { $(Self::$variant => $code,)* }
            }

            /// Message for people.
            pub fn message(self) -> &'static str {
                match self { $(Self::$variant => $message,)* }
            }
        }
    };
}

events! {
    InstanceStarted = 101 Info "instance_started" "instance started";
    SettingsInvalid = 102 Critical "settings_invalid" "settings cannot be used";
    ListenFailed = 103 Critical "listen_failed" "address cannot be bound";
    InstanceReady = 104 Info "instance_ready" "instance takes requests";
    StartFailed = 105 Critical "start_failed" "instance cannot start";
    ShutdownStarted = 110 Info "shutdown_started" "shutdown started; leaving the endpoint answers";
    ShutdownDraining = 111 Info "shutdown_draining" "no new requests are accepted; requests in flight complete";
    ShutdownFinished = 112 Info "shutdown_finished" "all requests are complete; instance exits";
    ShutdownForced = 113 Error "shutdown_forced" "requests were still in flight at the shutdown limit";
    SettingsReloaded = 120 Info "settings_reloaded" "settings were read again";
    AcceptFailed = 130 Warning "accept_failed" "connection could not be accepted";
    CallerRejected = 131 Warning "caller_rejected" "connection closed; callers hold all of their sockets";
    ConfigInEffect = 202 Info "config_in_effect" "configuration change is in effect";
    ConfigAccepted = 203 Info "config_accepted" "configuration change accepted from an operator";
    FreshnessChanged = 230 Warning "freshness_changed" "freshness of this node changed";
    RecordUnreadable = 240 Warning "record_unreadable" "record in the store cannot be read and is left out";
    DataCentreDrained = 250 Info "data_centre_drained" "data centre was taken out of use or back into use";
    ListReadFailed = 320 Warning "list_read_failed" "instance list cannot be read; the last one stays";
    MemberRegistered = 330 Info "member_registered" "this instance stands in the list of members";
    MemberJoined = 331 Info "member_joined" "instance joined the members";
    MemberLeft = 332 Info "member_left" "instance left the members, or its entry lapsed";
    LeaseLost = 333 Warning "lease_lost" "lease of the member entry has ended";
    ReplicaStarted = 340 Info "replica_started" "replica or a new process of it is in the list";
    ReplicaDraining = 341 Info "replica_draining" "replica is leaving and gets no new work";
    ReplicaRemoved = 342 Info "replica_removed" "entry of a replica is gone from the list";
    LoadUnknown = 343 Debug "load_unknown" "replica did not tell its load; what is known decides";
    KvFailed = 401 Warning "kv_failed" "key-value service failed";
    StoreLost = 402 Warning "store_lost" "store does not answer; what is known stays in use";
    StoreReturned = 403 Info "store_returned" "store answers again";
    TunnelOpened = 404 Info "tunnel_opened" "peer reaches the store through this instance";
    RequestRefused = 501 Debug "request_refused" "request refused";
    AttemptRetried = 502 Debug "attempt_retried" "attempt failed and is retried";
    RequestRelayed = 503 Info "request_relayed" "request answered by a replica";
    ModelSteppedUp = 504 Debug "model_stepped_up" "unsure answer dropped; a larger model answers";
    ReplicaCold = 510 Info "replica_cold" "replica turned cold";
    ReplicaForeign = 511 Warning "replica_foreign" "another server has the replica's address; it is left out until the list is read again";
    ReplicaAvoided = 512 Warning "replica_avoided" "replica fails or is silent; requests go elsewhere";
    SessionRepinned = 550 Info "session_repinned" "session moved off a withdrawn version";
    RatingFailed = 560 Warning "rating_failed" "rating service failed; planning by learned pass rates";
    HolderTaken = 601 Info "holder_taken" "this node holds the rollouts";
    HolderLost = 602 Warning "holder_lost" "this node no longer holds the rollouts";
    RolloutOrdered = 605 Info "rollout_ordered" "operator ordered a rollout";
    RolloutPhaseSeen = 606 Info "rollout_phase_seen" "holder of the rollouts recorded a stage";
    StageRefused = 607 Warning "stage_refused" "stage was not recorded: another instance took over or recorded one";
    RolloutAdvanced = 610 Info "rollout_advanced" "rollout advanced to its next stage";
    RolloutRolledBack = 612 Error "rollout_rolled_back" "rollout rolled back";
    VersionLoaded = 613 Info "version_loaded" "engine has loaded the version of a rollout";
    VersionStopped = 614 Error "version_stopped" "version stopped on this node after consecutive errors";
    OrderFailed = 620 Warning "order_failed" "order to an engine failed";
    ClaimOutcomeUnknown = 703 Error "claim_outcome_unknown" "outcome of a call that must not be repeated is unknown";
    ClaimsUnavailable = 704 Warning "claims_unavailable" "claims cannot be recorded; new ones are refused";
    BillUnprotected = 801 Warning "bill_unprotected" "bill has no copy at a peer until its flush";
    BillTakenOver = 803 Info "bill_taken_over" "bills of a dead instance flushed";
    BillBufferFull = 804 Critical "bill_buffer_full" "bill memory is full";
    StreamResumed = 901 Info "stream_resumed" "silent stream resumed on a new connection";
    StreamTruncated = 902 Error "stream_truncated" "stream ended before its end marker";
    AnswerMismatched = 903 Error "answer_mismatched" "answer of another request dropped";
    CallerGone = 904 Debug "caller_gone" "caller disconnected; request cancelled";
}

impl LogEvent {
    /// Number, never reused.
    pub fn number(self) -> u32 {
        self as u32
    }
}

/// Logs an event with its fields, such as `slog::o!("member" => name)`.
pub fn emit(logger: &Logger, event: LogEvent, fields: impl KV) {
    let location = RecordLocation {
        file: file!(),
        line: line!(),
        column: column!(),
        function: "",
        module: module_path!(),
    };
    let place = RecordStatic { location: &location, tag: event.code(), level: event.level() };
    let fields = EventFields { event, fields };
    logger.log(&Record::new(
        &place,
        &format_args!("{}", event.message()),
        slog::BorrowedKV(&fields),
    ));
}

/// Fields of an event after its number and code.
struct EventFields<T> {
    event: LogEvent,
    fields: T,
}

impl<T: KV> KV for EventFields<T> {
    fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        // slog emits fields from the last to the first.
        self.fields.serialize(record, serializer)?;
        serializer.emit_str("code", self.event.code())?;
        serializer.emit_u32("event", self.event.number())
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.number(), self.code())
    }
}

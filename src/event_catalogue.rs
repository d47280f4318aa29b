//! Numbered log events.
//!
//! Operators search logs by number, so a number is never reused. A variant is named after its code.
//! `docs/EVENTS.md` lists the same events; a test compares the page with this file.

use std::fmt;

use slog::{KV, Level, Logger, Record, RecordLocation, RecordStatic, Serializer};

macro_rules! events {
    ($($variant:ident = $number:literal $level:ident $code:literal $message:literal;)*) => {
        /// Event of the log. The value of a variant is its number.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum LogEvent {
            $(#[doc = $message] $variant = $number,)*
        }

        impl LogEvent {
            /// All events, in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            pub fn level(self) -> Level {
                match self { $(Self::$variant => Level::$level,)* }
            }

            /// Value of the `code` field of log lines.
            pub fn code(self) -> &'static str {
                match self { $(Self::$variant => $code,)* }
            }

            pub fn message(self) -> &'static str {
                match self { $(Self::$variant => $message,)* }
            }
        }
    };
}

events! {
    InstanceStarted = 101 Info "instance_started" "instance started";
    SettingsInvalid = 102 Critical "settings_invalid" "settings are invalid";
    ListenFailed = 103 Critical "listen_failed" "failed to bind a listen address";
    InstanceReady = 104 Info "instance_ready" "instance accepts requests";
    StartFailed = 105 Critical "start_failed" "instance failed to start";
    ShutdownStarted = 110 Info "shutdown_started" "shutdown started; instance is being removed from endpoint responses";
    ShutdownDraining = 111 Info "shutdown_draining" "no new requests are accepted; waiting for requests in flight";
    ShutdownFinished = 112 Info "shutdown_finished" "all requests completed; instance exits";
    ShutdownForced = 113 Error "shutdown_forced" "shutdown timeout expired with requests in flight";
    SettingsReloaded = 120 Info "settings_reloaded" "settings file was read again";
    AcceptFailed = 130 Warning "accept_failed" "failed to accept a connection";
    CallerRejected = 131 Warning "caller_rejected" "connection closed; all sockets for callers are in use";
    MemoryShort = 132 Warning "memory_short" "share of the memory is used up; what finds no room is refused";
    PortFull = 133 Warning "port_full" "connection to a port other than the one for calls closed; all of its connections are in use";
    ConfigInEffect = 202 Info "config_in_effect" "configuration change is in effect";
    ConfigAccepted = 203 Info "config_accepted" "configuration change accepted from an operator";
    FreshnessChanged = 230 Warning "freshness_changed" "freshness of this node changed";
    RecordUnreadable = 240 Warning "record_unreadable" "record in the store is unreadable and was ignored";
    DataCentreDrained = 250 Info "data_centre_drained" "data centre drained or returned to service";
    ListReadFailed = 320 Warning "list_read_failed" "failed to read the instance list; keeping the last one";
    MemberRegistered = 330 Info "member_registered" "instance registered in the member list";
    MemberJoined = 331 Info "member_joined" "instance joined the member list";
    MemberLeft = 332 Info "member_left" "instance left the member list, or its entry expired";
    LeaseLost = 333 Warning "lease_lost" "lease of the member entry expired";
    ReplicaStarted = 340 Info "replica_started" "replica or a new process of it was added to the list";
    ReplicaDraining = 341 Info "replica_draining" "replica is draining and gets no new requests";
    ReplicaRemoved = 342 Info "replica_removed" "replica entry was removed from the list";
    LoadUnknown = 343 Debug "load_unknown" "load probe failed; the last known load is used";
    ReplicaSetAside = 344 Warning "replica_set_aside" "replica stated that it leaves or wants no requests for a time; requests go to others";
    ReplicaResumed = 345 Info "replica_resumed" "replica served a request after the pause that it had asked for";
    ReplicaLimited = 346 Info "replica_limited" "replica stated how many requests per second it takes from all instances";
    ReplicaUnlimited = 347 Info "replica_unlimited" "replica no longer states a limit on its requests";
    KvFailed = 401 Warning "kv_failed" "request to the key-value service failed";
    StoreLost = 402 Warning "store_lost" "store is unreachable; cached data stays in use";
    StoreReturned = 403 Info "store_returned" "store is reachable again";
    TunnelOpened = 404 Info "tunnel_opened" "tunnel to the store opened for a peer";
    ReaderFailed = 405 Info "reader_failed" "no usable records from the reader of the data centre; reading the store";
    FeedRejected = 406 Warning "feed_rejected" "connection for shared records rejected";
    PollOverdue = 407 Info "poll_overdue" "poll of the store had no answer in time; polling again";
    StoreEraRaised = 408 Warning "store_era_raised" "store was restored from an old copy; records are read and written again";
    StoreEraSettled = 409 Info "store_era_settled" "records were written again after the store was restored";
    StorePathChanged = 410 Info "store_path_changed" "calls to the store take another path";
    StoreCallFailed = 411 Debug "store_call_failed" "call to the store failed";
    RequestRefused = 501 Debug "request_refused" "request refused";
    AttemptRetried = 502 Debug "attempt_retried" "attempt failed; retrying";
    RequestRelayed = 503 Info "request_relayed" "request answered by a replica";
    ModelSteppedUp = 504 Debug "model_stepped_up" "low-confidence answer discarded; escalating to a larger model";
    ReplicaCold = 510 Info "replica_cold" "replica turned cold";
    ReplicaForeign = 511 Warning "replica_foreign" "a server refused a request as misdirected; another one may have the replica's address, which is used last for a time";
    ReplicaAvoided = 512 Warning "replica_avoided" "replica is failing or unresponsive; requests go to other replicas";
    ReplicaCrashed = 513 Warning "replica_crashed" "replica closed a connection before the answer had begun and now refuses connections";
    RequestMisdirected = 514 Info "request_misdirected" "replica refused a request as misdirected although it answers others; the caller gets the refusal";
    PartQuarantined = 520 Error "part_quarantined" "replicas crash under a part of prompts; requests with it are refused";
    PartReleased = 521 Info "part_released" "requests with a quarantined part of prompts are sent again";
    PartTried = 522 Info "part_tried" "request sent as the trial of a quarantined part of its prompt";
    SessionRepinned = 550 Info "session_repinned" "session moved from a withdrawn version to another one";
    RatingFailed = 560 Warning "rating_failed" "request to the rating service failed; planning by learned pass rates";
    HolderTaken = 601 Info "holder_taken" "this node acquired the rollout lease";
    HolderLost = 602 Warning "holder_lost" "this node lost the rollout lease";
    RolloutOrdered = 605 Info "rollout_ordered" "operator ordered a rollout";
    RolloutPhaseSeen = 606 Info "rollout_phase_seen" "holder of the rollout lease recorded a stage";
    StageRefused = 607 Warning "stage_refused" "stage was not recorded; another instance took the rollout lease or recorded a stage";
    RolloutAdvanced = 610 Info "rollout_advanced" "rollout advanced to its next stage";
    RolloutRolledBack = 612 Error "rollout_rolled_back" "rollout rolled back";
    VersionLoaded = 613 Info "version_loaded" "engine loaded the version of a rollout";
    VersionStopped = 614 Error "version_stopped" "version stopped on this node after consecutive errors";
    OrderFailed = 620 Warning "order_failed" "order to an engine failed";
    ClaimOutcomeUnknown = 703 Error "claim_outcome_unknown" "outcome of a non-repeatable call is unknown";
    ClaimsUnavailable = 704 Warning "claims_unavailable" "claims cannot be recorded; new claims are refused";
    BillUnprotected = 801 Warning "bill_unprotected" "bill has no copy at a peer until it is flushed";
    BillTakenOver = 803 Info "bill_taken_over" "bills of a dead instance were flushed";
    BillBufferFull = 804 Critical "bill_buffer_full" "bill buffer is full";
    StreamResumed = 901 Info "stream_resumed" "interrupted stream resumed on a new connection";
    StreamTruncated = 902 Error "stream_truncated" "stream ended before its end marker";
    AnswerMismatched = 903 Error "answer_mismatched" "response to another request discarded";
    CallerGone = 904 Debug "caller_gone" "caller disconnected; request cancelled";
}

impl LogEvent {
    pub fn number(self) -> u32 {
        self as u32
    }
}

/// Writes an event to the log with further fields, such as `slog::o!("member" => name)`.
pub fn emit(logger: &Logger, event: LogEvent, fields: impl KV) {
    let location = RecordLocation {
        file: file!(),
        line: line!(),
        column: column!(),
        function: "",
        module: module_path!(),
    };
    let record_static =
        RecordStatic { location: &location, tag: event.code(), level: event.level() };
    let fields = EventFields { event, fields };
    logger.log(&Record::new(
        &record_static,
        &format_args!("{}", event.message()),
        slog::BorrowedKV(&fields),
    ));
}

/// Adds the number and code of the event in front of its fields.
struct EventFields<T> {
    event: LogEvent,
    fields: T,
}

impl<T: KV> KV for EventFields<T> {
    fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        // slog writes fields in reverse order, so number and code come last here.
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

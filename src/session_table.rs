//! Versions to which sessions are pinned.
//!
//! The serving node and two home nodes keep each pin. A pin carries the number
//! of times that the session was moved, so that merged tables agree without a
//! common clock.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::records::{customer, model};
use crate::{config_snapshot, ids};

/// Most pins of one node.
pub const MAX_PINS: usize = 10_000;
/// Time without use after which a pin is dropped.
pub const PIN_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Session of a customer with one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionModel {
    /// Customer; session keys of two customers are unrelated.
    pub customer: ids::CustomerName,
    /// Session.
    pub session: ids::SessionKey,
    /// Model.
    pub model: ids::ModelName,
}

/// Pin as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionPin {
    /// Version that the session uses.
    pub version: ids::VersionName,
    /// Number of moves to another version.
    pub moves: u32,
}

/// Reason for which a session left its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepinReason {
    /// The version was withdrawn.
    Withdrawn,
    /// The version is no longer listed in the model record.
    Unknown,
    /// The customer may no longer use the version.
    NotAllowed,
}

impl RepinReason {
    /// Stable code for `x-yuccareel-repinned` and metric labels.
    pub fn code(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::Unknown => "unknown",
            Self::NotAllowed => "not_allowed",
        }
    }
}

/// Version chosen for a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionVersion {
    /// Pin to use.
    pub pin: SessionPin,
    /// Whether the pin is new or moved and has to be sent to the home nodes.
    pub is_changed: bool,
    /// Reason of a move.
    pub repin_reason: Option<RepinReason>,
}

#[derive(Clone, Debug)]
struct PinRow {
    pin: SessionPin,
    used_at: Duration,
    use_number: u64,
}

/// Pins known to this node.
#[derive(Clone, Debug)]
pub struct SessionTable {
    capacity: usize,
    idle: Duration,
    rows: HashMap<SessionModel, PinRow>,
    uses: BTreeMap<u64, SessionModel>,
    next_use: u64,
}

impl Default for SessionTable {
    fn default() -> Self {
        Self::with_capacity(MAX_PINS)
    }
}

impl SessionTable {
    /// Table with room for a number of pins, at least one.
    pub fn with_capacity(capacity: usize) -> Self {
        Self::with_limits(capacity, PIN_IDLE_TIMEOUT)
    }

    /// Table with room for a number of pins, at least one, that are dropped after a time without
    /// use.
    pub fn with_limits(capacity: usize, idle: Duration) -> Self {
        let (rows, uses) = (HashMap::new(), BTreeMap::new());
        Self { capacity: capacity.max(1), idle, rows, uses, next_use: 0 }
    }

    /// Pin of a session that is not idle.
    pub fn get(&self, key: &SessionModel, now: Duration) -> Option<&SessionPin> {
        let row = self.rows.get(key)?;
        (now.saturating_sub(row.used_at) < self.idle).then_some(&row.pin)
    }

    /// Version of a session; pins it when it is new and moves it when its version may not run.
    ///
    /// `preferred` is the version for new sessions. Returns none when no version may run.
    pub fn resolve(
        &mut self,
        key: &SessionModel,
        preferred: &ids::VersionName,
        customer: &customer::CustomerRecord,
        snapshot: &config_snapshot::ConfigSnapshot,
        now: Duration,
    ) -> Option<SessionVersion> {
        let pinned = self.get(key, now).cloned();
        let reason = match &pinned {
            Some(pin) => match repin_reason(&key.model, &pin.version, customer, snapshot) {
                None => {
                    self.put(key.clone(), pin.clone(), now);
                    return Some(SessionVersion {
                        pin: pin.clone(),
                        is_changed: false,
                        repin_reason: None,
                    });
                }
                reason => reason,
            },
            None => None,
        };
        let version = allowed_version(&key.model, preferred, customer, snapshot)?;
        let moves = pinned.map_or(0, |pin| pin.moves + 1);
        let pin = SessionPin { version, moves };
        self.put(key.clone(), pin.clone(), now);
        Some(SessionVersion { pin, is_changed: true, repin_reason: reason })
    }

    /// Takes a pin as home of its session and returns the pin that holds.
    ///
    /// The first pin holds, because an answer may already have been served under it. Only a
    /// session that moved off its version brings a pin with more moves, which replaces it.
    pub fn accept_pin(&mut self, key: SessionModel, pin: SessionPin, now: Duration) -> SessionPin {
        let held = match self.get(&key, now) {
            Some(known) if known.moves >= pin.moves => known.clone(),
            _ => pin,
        };
        self.put(key, held.clone(), now);
        held
    }

    /// Takes over the pin that a home of the session holds.
    pub fn apply_pin(&mut self, key: SessionModel, pin: SessionPin, now: Duration) {
        self.put(key, pin, now);
    }

    /// Drops idle pins.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some((&number, key)) = self.uses.first_key_value() {
            let idle =
                self.rows.get(key).is_none_or(|row| now.saturating_sub(row.used_at) >= self.idle);
            if !idle {
                break;
            }
            self.rows.remove(&key.clone());
            self.uses.remove(&number);
        }
    }

    /// Number of pins.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no pin.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn put(&mut self, key: SessionModel, pin: SessionPin, now: Duration) {
        let use_number = self.next_use;
        self.next_use += 1;
        let row = PinRow { pin, used_at: now, use_number };
        if let Some(former) = self.rows.insert(key.clone(), row) {
            self.uses.remove(&former.use_number);
        }
        self.uses.insert(use_number, key);
        if self.rows.len() > self.capacity
            && let Some((_, oldest)) = self.uses.pop_first()
        {
            self.rows.remove(&oldest);
        }
    }
}

fn repin_reason(
    model: &str,
    version: &str,
    customer: &customer::CustomerRecord,
    snapshot: &config_snapshot::ConfigSnapshot,
) -> Option<RepinReason> {
    let state = snapshot.models.get(model).and_then(|record| record.version_state(version));
    match state {
        None => Some(RepinReason::Unknown),
        Some(model::VersionState::Withdrawn) => Some(RepinReason::Withdrawn),
        Some(model::VersionState::Active) => {
            (!customer.allows(model, version)).then_some(RepinReason::NotAllowed)
        }
    }
}

/// Preferred version, else the default version, else the last one listed that may run.
fn allowed_version(
    model: &str,
    preferred: &ids::VersionName,
    customer: &customer::CustomerRecord,
    snapshot: &config_snapshot::ConfigSnapshot,
) -> Option<ids::VersionName> {
    let record = snapshot.models.get(model)?;
    let listed = record.versions.iter().rev().map(|version| &version.name);
    std::iter::once(preferred)
        .chain([&record.default_version])
        .chain(listed)
        .find(|version| repin_reason(model, version, customer, snapshot).is_none())
        .cloned()
}

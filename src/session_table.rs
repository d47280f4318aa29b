//! Versions to which sessions are pinned.
//!
//! The serving node and two owner nodes store each pin. A pin counts the moves of
//! the session to another version, so that nodes agree on the latest pin without
//! synchronized clocks.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::records::{customer, model};
use crate::{config_snapshot, ids};

/// Maximum pins of one node.
pub const MAX_PINS: usize = 10_000;
/// Time without use after which a pin expires.
pub const PIN_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Session of a customer with one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionModel {
    /// Scope of the session key; different customers may use the same key.
    pub customer: ids::CustomerName,
    pub session: ids::SessionKey,
    pub model: ids::ModelName,
}

/// Version to which a session is pinned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionPin {
    pub version: ids::VersionName,
    /// Number of times that the session moved to another version.
    pub moves: u32,
}

/// Reason why a session moved to another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepinReason {
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
    pub pin: SessionPin,
    /// Whether the pin is new or moved and must be sent to its owners.
    pub is_changed: bool,
    /// Reason of a move; `None` if the session is new or kept its version.
    pub repin_reason: Option<RepinReason>,
}

#[derive(Clone, Debug)]
struct PinRow {
    pin: SessionPin,
    last_used_at: Duration,
    use_number: u64,
}

/// Pins stored at this node, in order of last use.
#[derive(Clone, Debug)]
pub struct SessionTable {
    capacity: usize,
    idle_timeout: Duration,
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
    /// Table of at most `capacity` pins, at least one.
    pub fn with_capacity(capacity: usize) -> Self {
        Self::with_limits(capacity, PIN_IDLE_TIMEOUT)
    }

    /// Table of at most `capacity` pins, at least one, which expire after `idle_timeout` without
    /// use.
    pub fn with_limits(capacity: usize, idle_timeout: Duration) -> Self {
        let (rows, uses) = (HashMap::new(), BTreeMap::new());
        Self { capacity: capacity.max(1), idle_timeout, rows, uses, next_use: 0 }
    }

    /// Pin of a session; `None` if it is absent or expired. Does not count as use.
    pub fn get(&self, key: &SessionModel, now: Duration) -> Option<&SessionPin> {
        let row = self.rows.get(key)?;
        (now.saturating_sub(row.last_used_at) < self.idle_timeout).then_some(&row.pin)
    }

    /// Version of a session. Pins a new session and moves one whose version may no longer run.
    ///
    /// `preferred` is the first choice for new and moved sessions. Returns `None` if no version may
    /// run.
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

    /// Stores a pin at its owner and returns the current pin of the session.
    ///
    /// An existing pin is kept, because an answer may already have been served under it. Only a pin
    /// with more moves, from a session that has left its version, replaces it.
    pub fn accept_pin(&mut self, key: SessionModel, pin: SessionPin, now: Duration) -> SessionPin {
        let current = match self.get(&key, now) {
            Some(known) if known.moves >= pin.moves => known.clone(),
            _ => pin,
        };
        self.put(key, current.clone(), now);
        current
    }

    /// Replaces the local pin by the one stored at an owner.
    pub fn apply_pin(&mut self, key: SessionModel, pin: SessionPin, now: Duration) {
        self.put(key, pin, now);
    }

    /// Removes pins that have not been used within the idle timeout.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some((&number, key)) = self.uses.first_key_value() {
            let is_expired = self
                .rows
                .get(key)
                .is_none_or(|row| now.saturating_sub(row.last_used_at) >= self.idle_timeout);
            if !is_expired {
                break;
            }
            self.rows.remove(&key.clone());
            self.uses.remove(&number);
        }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn put(&mut self, key: SessionModel, pin: SessionPin, now: Duration) {
        let use_number = self.next_use;
        self.next_use += 1;
        let row = PinRow { pin, last_used_at: now, use_number };
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

/// First version that may run: the preferred one, the default one, then the listed ones from last
/// to first.
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

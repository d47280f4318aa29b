//! Decides which prompts are refused because replicas crash under one of their parts.
//!
//! One part of a prompt may crash each replica that begins to answer it, whatever else the prompt
//! holds. The last part belongs to one request, which its caller may send again under another
//! identifier; a request without a prompt counts as a single part. Requests with the part may come
//! to any instance, so the instances share the crashes of each part through the store. A part with
//! several crashes and no sound answer is quarantined: prompts with it are refused, except for
//! single trials after growing intervals.
//!
//! Other parts come into question too: those of requests that waited at a crashed replica, and
//! those that always stand beside the deadly part. A sound answer clears a part at once. A part is
//! not refused while another one explains its crashes, and a prompt is admitted as a trial only if
//! it tests a single part.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt as _;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::call_request::PromptPart;
use super::part_history::PartHistory;
use super::suspect_record::{CrashedProcess, SuspectRecord};
use crate::ids;

/// Suspected parts that are kept. Records in the store end with their lease.
const MAX_SUSPECTS: usize = 1_024;
/// Longest time from the start of a quarantine to the first trial of a part that shares its crashes
/// with another one: one of the two is sound, and a single prompt shows which.
const MAX_AMBIGUOUS_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// The same time by instance, as each of them tries to claim the trial.
const AMBIGUOUS_TRIAL_DELAY_PER_MEMBER: Duration = Duration::from_millis(5);
/// Time for which no further trial is tried after a claim was begun, or another instance took one.
const FAILED_CLAIM_DELAY: Duration = Duration::from_secs(1);
/// Longest random delay before sound answers are written to the store, as many instances may have
/// one: for a part that others refuse meanwhile, or will after another crash, and for any other.
const MAX_RELEASE_DELAY: Duration = Duration::from_millis(150);
const MAX_SOUND_DELAY: Duration = Duration::from_millis(1_500);

/// Prompt parts of one request, or a selection of them.
pub type PartList = SmallVec<[ids::PromptPartId; 4]>;

/// Decision on a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptVerdict {
    Allowed,
    /// Replicas crash under the part. The next trial is due after the duration.
    Refused(ids::PromptPartId, Duration),
    /// The prompt may be sent as the trial of the part if this instance can claim the trial.
    TrialDue(ids::PromptPartId),
}

/// Start or end of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    Started { crashes: usize },
    Ended,
}

/// Change of a record that is to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectChange {
    pub part: ids::PromptPartId,
    /// Revision of the record that is replaced; 0 if there is none.
    pub revision: ids::KvRevision,
    /// New record; `None` deletes it.
    pub record: Option<SuspectRecord>,
    /// Whether the part was at one crash only, as is any request that waited at the replica.
    pub is_single_crash: bool,
}

#[derive(Debug, Default)]
struct SuspectRow {
    /// Record in the store, with the crashes that are not written yet.
    record: SuspectRecord,
    revision: ids::KvRevision,
    unwritten_crashes: SmallVec<[CrashedProcess; 2]>,
    /// Whether the budget left no write for the record while it had a single crash.
    is_deferred: bool,
    /// Whether this instance has seen a sound answer since the first crash.
    is_sound: bool,
    /// Whether the record is to state that the part was sound before the crashes.
    is_objected: bool,
    /// Time from which a sound answer or an objection is written.
    write_at: Option<Instant>,
    /// Time from which crashes are written again that a restoration of the store may have undone;
    /// `None` unless only such crashes are to be written.
    rewrite_at: Option<Instant>,
    quarantined_since: Option<Instant>,
    next_claim_at: Option<Instant>,
}

impl SuspectRow {
    fn has_change(&self, now: Instant) -> bool {
        let is_due = self.write_at.is_some_and(|at| now >= at);
        if self.is_sound {
            return is_due;
        }
        let is_rewrite_due = self.rewrite_at.is_none_or(|at| now >= at);
        (!self.unwritten_crashes.is_empty() && is_rewrite_due)
            || (is_due && self.is_objected && !self.record.was_sound)
    }
}

/// Suspected prompt parts, and what this instance knows of sound ones.
#[derive(Debug, Default)]
pub struct SuspectTable {
    rows: HashMap<ids::PromptPartId, SuspectRow>,
    /// Parts whose trial was claimed in the store not long ago.
    held_parts: HashMap<ids::PromptPartId, Instant>,
    history: PartHistory,
    /// The same for requests without a prompt, each of which counts as one part.
    request_history: PartHistory,
    quarantine_changes: Vec<(ids::PromptPartId, QuarantineChange)>,
    member_count: Option<u32>,
}

impl SuspectTable {
    /// Sets the number of instances that share the records.
    pub fn set_member_count(&mut self, member_count: usize) {
        self.member_count = u32::try_from(member_count).ok();
    }

    /// Prepares all records to be written again after the store was restored from an old copy, each
    /// after a delay. Returns the number of records. A release that was not written stays one.
    pub fn begin_era(
        &mut self,
        delay_of: impl Fn(ids::PromptPartId) -> Duration,
        now: Instant,
    ) -> usize {
        for (part, row) in &mut self.rows {
            row.revision = 0;
            if !row.is_sound && !row.record.crashes.is_empty() {
                row.rewrite_at = Some(now + delay_of(*part));
                row.unwritten_crashes = row.record.crashes.iter().cloned().collect();
            }
        }
        self.rows.len()
    }

    /// Whether a record is still to be written again after a restoration of the store.
    pub fn is_rewrite_due(&self, part: ids::PromptPartId) -> bool {
        self.rows.get(&part).is_some_and(|row| row.rewrite_at.is_some())
    }

    /// Decides on a prompt before it is sent.
    pub fn verdict(&self, parts: &[PromptPart], now: Instant) -> PromptVerdict {
        let quarantined: PartList =
            parts.iter().map(|part| part.id).filter(|part| self.is_quarantined(*part)).collect();
        match quarantined[..] {
            [] => PromptVerdict::Allowed,
            [part] if self.time_to_trial(part, now).is_zero() => PromptVerdict::TrialDue(part),
            _ => {
                let times = quarantined.iter().map(|part| (self.time_to_trial(*part, now), *part));
                let (time, part) = times.max().unwrap_or_default();
                PromptVerdict::Refused(part, time)
            }
        }
    }

    /// Records that a replica crashed before it had begun to answer a prompt. Blames the quarantined
    /// parts, or else those that are not known to be sound, by any instance or by this one. Returns
    /// the blamed parts.
    pub fn record_crash(
        &mut self,
        parts: &[PromptPart],
        process: &CrashedProcess,
        now: Instant,
    ) -> PartList {
        let blamed = self.blamed_parts(parts, now);
        if blamed.is_empty() {
            for part in parts {
                self.history.record_crash(part.id);
                self.request_history.record_crash(part.id);
            }
        }
        for part in &blamed {
            let has_space = self.rows.len() < MAX_SUSPECTS || self.rows.contains_key(part);
            if !has_space {
                continue;
            }
            let row = self.rows.entry(*part).or_default();
            row.is_sound = false;
            if row.record.add_crash(process) {
                row.rewrite_at = None;
                row.unwritten_crashes.push(process.clone());
            }
            self.update_quarantine(*part, now);
        }
        blamed
    }

    /// Records that a replica began to answer a prompt and did not crash, which clears its parts.
    /// Returns whether one of them was suspected.
    pub fn record_sound(&mut self, parts: &[PromptPart], now: Instant) -> bool {
        let mut was_suspected = false;
        for part in parts {
            self.history.record_sound(part.id, now);
            was_suspected |= self.clear_part(part.id, now);
        }
        was_suspected
    }

    /// Records that a replica began to answer a request without a prompt and did not crash. Many
    /// callers may send the same one. Returns whether it was suspected.
    pub fn record_sound_request(&mut self, part: ids::PromptPartId, now: Instant) -> bool {
        self.request_history.record_sound(part, now);
        self.clear_part(part, now)
    }

    /// Clears a part after a sound answer without keeping it as sound for later crashes, as for the
    /// last part of a prompt: the history has no space for all of them. Returns whether it was
    /// suspected.
    pub fn clear_part(&mut self, part: ids::PromptPartId, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(&part).filter(|row| !row.is_sound) else { return false };
        row.is_sound = true;
        row.unwritten_crashes.clear();
        let is_refused_soon = row.record.crashes.len() + 1 >= row.record.min_crashes();
        let max_delay = if row.quarantined_since.is_some() || is_refused_soon {
            MAX_RELEASE_DELAY
        } else {
            MAX_SOUND_DELAY
        };
        row.write_at = Some(now + random_part_of(max_delay));
        let is_stored = row.revision != 0;
        self.update_quarantine(part, now);
        if !is_stored {
            self.rows.remove(&part);
        }
        true
    }

    /// Applies a record that was read from the store.
    pub fn apply_record(
        &mut self,
        part: ids::PromptPartId,
        record: SuspectRecord,
        revision: ids::KvRevision,
        now: Instant,
    ) {
        if self.rows.len() >= MAX_SUSPECTS && !self.rows.contains_key(&part) {
            return;
        }
        let was_sound_before = self.is_known_sound(part, now);
        let row = self.rows.entry(part).or_default();
        if revision < row.revision {
            return;
        }
        row.revision = revision;
        let trials = if row.rewrite_at.is_some() { row.record.trials } else { 0 };
        row.record = record;
        row.record.trials = row.record.trials.max(trials);
        row.record.limit_crashes();
        let record = &mut row.record;
        row.unwritten_crashes.retain(|process| record.add_crash(process));
        if row.unwritten_crashes.is_empty() {
            row.rewrite_at = None;
        }
        if was_sound_before && !row.record.was_sound && !row.is_objected {
            row.is_objected = true;
            let write_at = now + random_part_of(MAX_RELEASE_DELAY);
            row.write_at = Some(row.write_at.map_or(write_at, |at| at.min(write_at)));
        }
        self.update_quarantine(part, now);
    }

    /// Applies the deletion of a record in the store. Crashes that are not written yet remain.
    pub fn remove_record(&mut self, part: ids::PromptPartId, now: Instant) {
        let Some(row) = self.rows.get_mut(&part) else { return };
        let mut unwritten_crashes = std::mem::take(&mut row.unwritten_crashes);
        if row.rewrite_at.is_some() {
            // These were in the store before it was restored, so the deletion is later than they are.
            unwritten_crashes.clear();
        }
        let crashes = unwritten_crashes.to_vec();
        *row = SuspectRow {
            record: SuspectRecord { crashes, ..SuspectRecord::default() },
            unwritten_crashes,
            quarantined_since: row.quarantined_since,
            ..SuspectRow::default()
        };
        let is_empty = row.unwritten_crashes.is_empty();
        self.update_quarantine(part, now);
        if is_empty {
            self.rows.remove(&part);
        }
    }

    /// Records whether the store holds a claim on the trial of a part.
    pub fn set_held(&mut self, part: ids::PromptPartId, is_held: bool, now: Instant) {
        if !is_held {
            self.held_parts.remove(&part);
        } else if self.held_parts.len() < MAX_SUSPECTS {
            self.held_parts.insert(part, now);
        }
    }

    /// Changes that are to be written to the store, each conditional on its revision.
    pub fn due_changes(&self, now: Instant) -> Vec<SuspectChange> {
        let due = self.rows.iter().filter(|(_, row)| row.has_change(now));
        let changes = due.map(|(part, row)| SuspectChange {
            part: *part,
            revision: row.revision,
            is_single_crash: row.record.crashes.len() < 2,
            record: (!row.is_sound).then(|| SuspectRecord {
                was_sound: row.record.was_sound || row.is_objected,
                ..row.record.clone()
            }),
        });
        changes.collect()
    }

    /// Records that a change was written at `revision`.
    pub fn confirm_written(
        &mut self,
        change: &SuspectChange,
        revision: ids::KvRevision,
        now: Instant,
    ) {
        let Some(record) = &change.record else {
            self.held_parts.remove(&change.part);
            return self.remove_record(change.part, now);
        };
        if let Some(row) = self.rows.get_mut(&change.part) {
            row.unwritten_crashes.retain(|process| !record.crashes.contains(process));
            if row.unwritten_crashes.is_empty() {
                row.rewrite_at = None;
            }
            row.record.was_sound = record.was_sound;
            row.record.trials = record.trials;
            row.revision = revision;
        }
        self.update_quarantine(change.part, now);
    }

    /// Whether the crash of a process under one of the parts is not in the store yet, but soon will
    /// be.
    pub fn is_unwritten(&self, parts: &[ids::PromptPartId], process: &CrashedProcess) -> bool {
        let mut rows = parts.iter().filter_map(|part| self.rows.get(part));
        rows.any(|row| {
            let is_deferred = row.is_deferred && row.record.crashes.len() < 2;
            !is_deferred && row.unwritten_crashes.contains(process)
        })
    }

    /// Records that records with a single crash are not written for now.
    pub fn defer_single_crashes(&mut self) {
        let unwritten = self.rows.values_mut().filter(|row| !row.unwritten_crashes.is_empty());
        for row in unwritten.filter(|row| row.record.crashes.len() < 2) {
            row.is_deferred = true;
        }
    }

    /// Time until the first delayed change is due, at most `max`.
    pub fn time_to_change(&self, now: Instant, max: Duration) -> Duration {
        let times = self.rows.values().filter_map(|row| row.write_at);
        let due_in = times.filter(|at| *at > now).min().map(|at| at.duration_since(now));
        due_in.map_or(max, |time| time.min(max))
    }

    /// Starts a claim on the trial of a part, and returns the record and revision for it; `None` if
    /// the part is no longer quarantined, or another call of this instance claims the trial.
    pub fn begin_claim(&mut self, part: ids::PromptPartId, now: Instant) -> Option<SuspectChange> {
        let is_quarantined = self.is_quarantined(part);
        let row = self.rows.get_mut(&part).filter(|_| is_quarantined)?;
        if row.next_claim_at.is_some_and(|at| now < at) {
            return None;
        }
        row.next_claim_at = Some(now + FAILED_CLAIM_DELAY);
        let mut record = row.record.clone();
        record.trials += 1;
        let revision = row.revision;
        Some(SuspectChange { part, revision, record: Some(record), is_single_crash: false })
    }

    /// Delays the next claim of a trial, as another instance took it or the store did not answer.
    pub fn record_failed_claim(&mut self, part: ids::PromptPartId, now: Instant) {
        if let Some(row) = self.rows.get_mut(&part) {
            row.next_claim_at = Some(now + FAILED_CLAIM_DELAY);
        }
    }

    /// Record and revision with which a trial that was not sent is taken back; `None` if this
    /// instance knows no such trial in the store.
    pub fn unsent_trial_change(&self, part: ids::PromptPartId) -> Option<SuspectChange> {
        let row = self.rows.get(&part).filter(|row| row.revision != 0 && !row.is_sound)?;
        let trials = row.record.trials.checked_sub(1)?;
        let record = SuspectRecord { trials, ..row.record.clone() };
        let revision = row.revision;
        Some(SuspectChange { part, revision, record: Some(record), is_single_crash: false })
    }

    /// Allows the next claim at once, as the last one was made on an old record.
    pub fn allow_claim(&mut self, part: ids::PromptPartId) {
        if let Some(row) = self.rows.get_mut(&part) {
            row.next_claim_at = None;
        }
    }

    /// Removes and returns the starts and ends of quarantines since the last call.
    pub fn take_quarantine_changes(&mut self) -> Vec<(ids::PromptPartId, QuarantineChange)> {
        std::mem::take(&mut self.quarantine_changes)
    }

    /// Number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.rows.keys().filter(|part| self.is_quarantined(**part)).count()
    }

    fn is_known_sound(&self, part: ids::PromptPartId, now: Instant) -> bool {
        self.history.is_sound(part, now) || self.request_history.is_sound(part, now)
    }

    fn blamed_parts(&self, parts: &[PromptPart], now: Instant) -> PartList {
        let ids: PartList = parts.iter().map(|part| part.id).collect();
        if ids.iter().any(|part| self.is_quarantined(*part)) {
            return ids.into_iter().filter(|part| self.is_quarantined(*part)).collect();
        }
        let was_sound =
            |part: &ids::PromptPartId| self.rows.get(part).is_some_and(|row| row.record.was_sound);
        let mut blamed: PartList =
            ids.into_iter().filter(|part| !self.is_known_sound(*part, now)).collect();
        if !blamed.iter().all(was_sound) {
            blamed.retain(|part| !was_sound(part));
        }
        blamed
    }

    fn is_quarantined(&self, part: ids::PromptPartId) -> bool {
        let row = self.rows.get(&part).filter(|row| row.quarantined_since.is_some());
        row.is_some_and(|row| !self.is_explained(part, row))
    }

    /// Whether other quarantined parts, which were never sound, account for the crashes: for a part
    /// that was sound before, all but a few of them together, and for any other part, one that was
    /// at all of them and at more.
    fn is_explained(&self, part: ids::PromptPartId, row: &SuspectRow) -> bool {
        let record = &row.record;
        let never_sound = || self.others(part).filter(|other| !other.record.was_sound);
        if record.was_sound {
            let is_unexplained = |process: &&CrashedProcess| {
                !never_sound().any(|other| other.record.crashes.contains(process))
            };
            return record.crashes.iter().filter(is_unexplained).count() < record.min_crashes();
        }
        never_sound().any(|other| {
            other.record.crashes.len() > record.crashes.len()
                && record.shared_crashes(&other.record) == record.crashes.len()
        })
    }

    /// Whether another quarantined part was at most of the crashes too.
    fn is_ambiguous(&self, part: ids::PromptPartId, row: &SuspectRow) -> bool {
        let others = self.rows.iter().filter(|(other, _)| **other != part);
        others.filter(|(other, _)| self.is_quarantined(**other)).any(|(_, other)| {
            row.record.shared_crashes(&other.record) * 2 > row.record.crashes.len()
        })
    }

    fn others(&self, part: ids::PromptPartId) -> impl Iterator<Item = &SuspectRow> {
        let rows = self.rows.iter().filter(move |(other, _)| **other != part);
        rows.map(|(_, row)| row).filter(|row| row.quarantined_since.is_some())
    }

    /// Time until a trial of the part may be claimed.
    fn time_to_trial(&self, part: ids::PromptPartId, now: Instant) -> Duration {
        let Some((row, since)) =
            self.rows.get(&part).and_then(|row| Some((row, row.quarantined_since?)))
        else {
            return Duration::ZERO;
        };
        let interval = row.record.trial_interval();
        let due_at = match self.held_parts.get(&part) {
            Some(held_at) => (*held_at + interval).max(now + FAILED_CLAIM_DELAY),
            None if row.record.trials > 0 => since,
            None if self.is_ambiguous(part, row) => since + self.ambiguous_trial_delay(),
            None => since + interval,
        };
        let due_at = row.next_claim_at.map_or(due_at, |at| at.max(due_at));
        due_at.saturating_duration_since(now)
    }

    fn ambiguous_trial_delay(&self) -> Duration {
        self.member_count.map_or(MAX_AMBIGUOUS_TRIAL_DELAY, |count| {
            (AMBIGUOUS_TRIAL_DELAY_PER_MEMBER * count).min(MAX_AMBIGUOUS_TRIAL_DELAY)
        })
    }

    /// Starts or ends the quarantine of a part by its row.
    fn update_quarantine(&mut self, part: ids::PromptPartId, now: Instant) {
        let Some(row) = self.rows.get_mut(&part) else { return };
        let is_quarantined = row.record.is_quarantined() && !row.is_sound;
        let change = match (row.quarantined_since, is_quarantined) {
            (None, true) => {
                row.quarantined_since = Some(now);
                QuarantineChange::Started { crashes: row.record.crashes.len() }
            }
            (Some(_), false) => {
                row.quarantined_since = None;
                QuarantineChange::Ended
            }
            _ => return,
        };
        self.quarantine_changes.push((part, change));
    }
}

fn random_part_of(max: Duration) -> Duration {
    max.mul_f64(rand::rng().random::<f64>())
}

//! What this instance knows of prompt parts that replicas have answered soundly.
//!
//! A crash is blamed on the parts of a prompt that are not known to be sound. Parts in wide use are
//! answered all the time, so that only the rare parts of a prompt come into question.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids;

/// Time for which a sound answer counts. Parts may become deadly when replicas change.
const SOUND_TTL: Duration = Duration::from_secs(60);
/// Crashes of prompts with only sound parts after which the part no longer counts as sound.
const MAX_CRASHES_OF_SOUND_PARTS: u32 = 3;
/// Parts that are remembered.
const MAX_PARTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct PartRow {
    sound_at: Instant,
    /// Crashes since then of prompts whose parts were all known to be sound.
    crashes: u32,
}

/// Sound parts with the time of their last sound answer.
#[derive(Debug, Default)]
pub struct PartHistory {
    rows: HashMap<ids::PromptPartId, PartRow>,
}

impl PartHistory {
    /// Records that a replica began to answer a prompt with the part and did not crash.
    pub fn record_sound(&mut self, part: ids::PromptPartId, now: Instant) {
        if self.rows.len() >= MAX_PARTS && !self.rows.contains_key(&part) {
            self.rows.retain(|_, row| now < row.sound_at + SOUND_TTL / 3);
            if self.rows.len() >= MAX_PARTS {
                return;
            }
        }
        self.rows.insert(part, PartRow { sound_at: now, crashes: 0 });
    }

    /// Records a crash of a prompt whose parts are all known to be sound.
    pub fn record_crash(&mut self, part: ids::PromptPartId) {
        if let Some(row) = self.rows.get_mut(&part) {
            row.crashes += 1;
        }
    }

    /// Whether a recent prompt with the part was answered soundly, and crashes do not contradict it.
    pub fn is_sound(&self, part: ids::PromptPartId, now: Instant) -> bool {
        self.rows.get(&part).is_some_and(|row| {
            now < row.sound_at + SOUND_TTL && row.crashes < MAX_CRASHES_OF_SOUND_PARTS
        })
    }
}

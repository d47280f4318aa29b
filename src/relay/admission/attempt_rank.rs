//! Rank of an attempt at a replica, which runs the attempts of higher ranks first.
//!
//! A small model reads a prompt in a tenth of the time of a large one. If its attempts go before those
//! of large models for calls of like ranks, calls wait little for their first answer, and large models
//! wait hardly longer. The offset is small, so that an urgent call is not overtaken by all others.

/// Lowest rank that replicas know.
const LOWEST_RANK: u8 = 9;
/// Ranks by which attempts of large models follow.
const LARGE_MODEL_OFFSET: u8 = 3;

/// Rank of an attempt of a call with a rank, from 0, the highest, to 9.
pub fn attempt_rank(call_rank: u8, is_small_model: bool) -> u8 {
    let offset = if is_small_model { 0 } else { LARGE_MODEL_OFFSET };
    call_rank.saturating_add(offset).min(LOWEST_RANK)
}

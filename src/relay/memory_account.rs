//! Account of the memory that the process lends to its peers.
//!
//! Each holder has a fixed share of the memory limit and reserves bytes before it reads them. One
//! caller address may use most of a share of request bodies, but not all, so that many open bodies of
//! a few callers leave room for others. A share that nothing else uses grants one reservation of any
//! size: a legal request is served when there is no load, however small the limit.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use super::memory_holder::MemoryHolder;
use super::memory_shortage::MemoryShortage;

/// Part of a share that one caller address may use, as numerator and denominator. With the share of
/// long bodies this is a quarter of the memory, which callers behind one proxy could always use.
const CALLER_FRACTION: (u64, u64) = (4, 5);
/// Hold time that is assumed before any reservation has ended.
const INITIAL_HOLD: Duration = Duration::from_secs(1);
/// Weight of the last hold time in the mean, as a divisor.
const HOLD_WEIGHT_DIVISOR: u32 = 8;
/// Bounds on the stated delay. Reservations of a body end within the time for reading it and the
/// deadline of its call.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(20));

#[derive(Clone, Copy, Debug)]
struct MemoryShare {
    limit: u64,
    used: u64,
    mean_hold: Duration,
    /// Whether a reservation was refused since less than half was used.
    is_short: bool,
}

#[derive(Debug)]
pub struct MemoryAccount {
    shares: [MemoryShare; MemoryHolder::ALL.len()],
    /// Bytes of each holder and caller address, without those that hold nothing.
    callers: HashMap<(usize, IpAddr), u64>,
}

impl MemoryAccount {
    /// Divides a memory limit among the holders.
    pub fn new(memory_bytes: u64) -> Self {
        let share = |holder: MemoryHolder| MemoryShare {
            limit: memory_bytes / 16 * holder.share_sixteenths(),
            used: 0,
            mean_hold: INITIAL_HOLD,
            is_short: false,
        };
        Self { shares: MemoryHolder::ALL.map(share), callers: HashMap::new() }
    }

    /// Reserves further bytes for a reservation that has `held` already. `caller` is the address to
    /// which the bytes are charged as well, if any.
    ///
    /// # Errors
    /// When the share or the part of the caller has no room. Nothing is reserved then.
    pub fn reserve(
        &mut self,
        holder: MemoryHolder,
        caller: Option<IpAddr>,
        held: u64,
        bytes: u64,
    ) -> Result<(), MemoryShortage> {
        let share = &mut self.shares[holder as usize];
        let has_room = |used: u64, limit: u64| used <= held || used.saturating_add(bytes) <= limit;
        let caller_limit = share.limit / CALLER_FRACTION.1 * CALLER_FRACTION.0;
        let caller_key = caller.map(|address| (holder as usize, address));
        let caller_used = caller_key.and_then(|key| self.callers.get(&key)).copied().unwrap_or(0);
        let is_share_full = !has_room(share.used, share.limit);
        let is_caller_limit = caller.is_some() && !has_room(caller_used, caller_limit);
        if is_share_full || is_caller_limit {
            let is_first = !std::mem::replace(&mut share.is_short, true);
            let retry_after = share.mean_hold.clamp(RETRY_RANGE.0, RETRY_RANGE.1);
            let is_caller_limit = !is_share_full;
            return Err(MemoryShortage { retry_after, is_first, is_caller_limit });
        }
        share.used += bytes;
        if let Some(key) = caller_key {
            self.callers.insert(key, caller_used + bytes);
        }
        Ok(())
    }

    /// Returns the bytes of a reservation that was held for `held_for`.
    pub fn release(
        &mut self,
        holder: MemoryHolder,
        caller: Option<IpAddr>,
        bytes: u64,
        held_for: Duration,
    ) {
        let share = &mut self.shares[holder as usize];
        share.used = share.used.saturating_sub(bytes);
        share.is_short &= share.used >= share.limit / 2;
        share.mean_hold =
            (share.mean_hold * (HOLD_WEIGHT_DIVISOR - 1) + held_for) / HOLD_WEIGHT_DIVISOR;
        let Some(key) = caller.map(|address| (holder as usize, address)) else { return };
        if let Some(used) = self.callers.get_mut(&key) {
            *used = used.saturating_sub(bytes);
            if *used == 0 {
                self.callers.remove(&key);
            }
        }
    }

    /// Bytes that a holder has reserved.
    pub fn used(&self, holder: MemoryHolder) -> u64 {
        self.shares[holder as usize].used
    }

    /// Bytes that a holder may reserve.
    pub fn limit(&self, holder: MemoryHolder) -> u64 {
        self.shares[holder as usize].limit
    }
}

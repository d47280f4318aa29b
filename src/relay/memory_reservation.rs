//! Bytes reserved in the memory account.

use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::memory_account::MemoryAccount;
use super::memory_holder::MemoryHolder;
use super::memory_shortage::MemoryShortage;

/// Reserved bytes, which dropping the value returns.
#[derive(Debug)]
pub struct MemoryReservation {
    account: Arc<Mutex<MemoryAccount>>,
    holder: MemoryHolder,
    caller: Option<IpAddr>,
    bytes: u64,
    since: Instant,
}

/// Message body that keeps its reservation.
struct ReservedBody {
    body: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl MemoryReservation {
    pub(super) fn new(
        account: Arc<Mutex<MemoryAccount>>,
        holder: MemoryHolder,
        caller: Option<IpAddr>,
        bytes: u64,
    ) -> Self {
        Self { account, holder, caller, bytes, since: Instant::now() }
    }

    pub fn holder(&self) -> MemoryHolder {
        self.holder
    }

    /// Reserves further bytes for the same holder.
    ///
    /// # Errors
    /// When there is no room. The reservation stays as it was.
    pub fn grow(&mut self, bytes: usize) -> Result<(), MemoryShortage> {
        let bytes = bytes as u64;
        self.account.lock().reserve(self.holder, self.caller, self.bytes, bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Ties the reservation to a body. It ends when the last reference to the body is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody { body, _reservation: self })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let held_for = self.since.elapsed();
        self.account.lock().release(self.holder, self.caller, self.bytes, held_for);
    }
}

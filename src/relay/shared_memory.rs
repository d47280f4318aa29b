//! Memory account as the tasks of the process share it.

use std::net::IpAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use super::memory_account::MemoryAccount;
use super::memory_holder::MemoryHolder;
use super::memory_reservation::MemoryReservation;
use super::memory_shortage::MemoryShortage;

#[derive(Clone, Debug)]
pub struct SharedMemory(Arc<Mutex<MemoryAccount>>);

impl SharedMemory {
    /// Creates an account for a memory limit.
    pub fn new(memory_bytes: u64) -> Self {
        Self(Arc::new(Mutex::new(MemoryAccount::new(memory_bytes))))
    }

    /// Reserves bytes until the reservation is dropped.
    ///
    /// # Errors
    /// When there is no room.
    pub fn reserve(
        &self,
        holder: MemoryHolder,
        caller: Option<IpAddr>,
        bytes: usize,
    ) -> Result<MemoryReservation, MemoryShortage> {
        self.0.lock().reserve(holder, caller, 0, bytes as u64)?;
        Ok(MemoryReservation::new(self.0.clone(), holder, caller, bytes as u64))
    }

    /// Bytes that a holder may reserve.
    pub fn limit(&self, holder: MemoryHolder) -> u64 {
        self.0.lock().limit(holder)
    }

    /// Bytes that a holder has reserved.
    pub fn used(&self, holder: MemoryHolder) -> u64 {
        self.0.lock().used(holder)
    }
}

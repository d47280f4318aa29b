//! Decision on which connections of callers are accepted.
//!
//! Callers share a fixed number of sockets. While most are free, any address may open any number of
//! them, as many callers may stand behind one proxy. The last ones are for addresses that hold less
//! than half.

use std::collections::HashMap;
use std::net::IpAddr;

/// Part of the sockets above which addresses with half of them get no more, as numerator and
/// denominator.
const SCARCE_FRACTION: (usize, usize) = (7, 8);

#[derive(Debug)]
pub struct CallerSockets {
    max_open: usize,
    open: usize,
    by_address: HashMap<IpAddr, usize>,
}

impl CallerSockets {
    pub fn new(max_open: usize) -> Self {
        Self { max_open, open: 0, by_address: HashMap::new() }
    }

    /// Counts a new connection of an address. Returns false if it must be closed instead.
    pub fn open(&mut self, address: IpAddr) -> bool {
        let is_scarce = self.open >= self.max_open * SCARCE_FRACTION.0 / SCARCE_FRACTION.1;
        let of_address = self.by_address.get(&address).copied().unwrap_or(0);
        if self.open >= self.max_open || (is_scarce && of_address >= self.max_open / 2) {
            return false;
        }
        self.open += 1;
        self.by_address.insert(address, of_address + 1);
        true
    }

    /// Removes a connection that [`Self::open`] has counted.
    pub fn close(&mut self, address: IpAddr) {
        self.open = self.open.saturating_sub(1);
        if let Some(count) = self.by_address.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&address);
            }
        }
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open
    }
}

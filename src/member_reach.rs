//! How many members this node reached lately.

use std::time::Duration;

/// Time for which an exchange counts towards the majority.
pub const REACH_WINDOW: Duration = Duration::from_secs(3);

/// Members of the instance list and how many of them were reached lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberReach {
    /// Entry instances of the last list read.
    pub listed: usize,
    /// Those that took part in an answered heartbeat within 3 s, this node included.
    pub exchanged: usize,
}

impl MemberReach {
    /// Whether more than half of the members were reached.
    pub fn majority(self) -> bool {
        self.exchanged * 2 > self.listed
    }
}

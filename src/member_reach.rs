//! How many members this node reached lately.

use std::time::Duration;

/// Time for which an exchange counts towards the majority that accepts changes.
pub const REACH_WINDOW: Duration = Duration::from_secs(3);
/// Instances up to which news of more than half of them arrive within `REACH_WINDOW`.
const SMALL_GROUP: usize = 32;
/// Time for which an exchange counts in an outage in a larger group. Within 3 s a sixth of
/// 1,300 nodes hear of less than half of the others; each second more doubles the news.
const LARGE_WINDOW: Duration = Duration::from_secs(4);

/// Time for which an exchange counts towards the majority that serves on in an outage.
pub fn outage_window(listed: usize) -> Duration {
    if listed <= SMALL_GROUP { REACH_WINDOW } else { LARGE_WINDOW }
}

/// Members of the instance list and how many of them were reached lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberReach {
    /// Entry instances of the last list read.
    pub listed: usize,
    /// Those that took part in an answered heartbeat within 3 s, this node included.
    pub exchanged: usize,
    /// Those that did within the outage window, this node included.
    pub exchanged_in_outage: usize,
}

impl MemberReach {
    /// Whether more than half of the members were reached.
    pub fn majority(self) -> bool {
        self.exchanged * 2 > self.listed
    }

    /// Whether enough members were reached to serve on in an outage.
    pub fn outage_majority(self) -> bool {
        self.exchanged_in_outage * 2 > self.listed
    }
}

//! Rate limit for log lines, applied to each event by itself.
//!
//! Lines over the limit are dropped and counted. The next line of the same event that is written
//! carries the count.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::event_catalogue::LogEvent;

/// Lines of one event per window.
const MAX_LINES: u32 = 60;
const RATE_WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct EventWindow {
    started: Instant,
    lines: u32,
    dropped: u64,
}

#[derive(Debug, Default)]
pub struct LogLimiter {
    windows: HashMap<LogEvent, EventWindow>,
}

impl LogLimiter {
    /// Returns `None` if a line of the event is over the limit, and otherwise the number of lines
    /// that were dropped since the last one written.
    pub fn admit(&mut self, event: LogEvent, now: Instant) -> Option<u64> {
        let new_window = EventWindow { started: now, lines: 0, dropped: 0 };
        let window = self.windows.entry(event).or_insert(new_window);
        if now >= window.started + RATE_WINDOW {
            (window.started, window.lines) = (now, 0);
        }
        if window.lines >= MAX_LINES {
            window.dropped += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.dropped))
    }
}

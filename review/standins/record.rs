//! Record of what was sent, answered and run.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines of one run, with the time since its start.
#[derive(Clone)]
pub struct RunRecord {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl RunRecord {
    pub fn start() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line, and prints it.
    pub fn add(&self, line: impl AsRef<str>) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line for an earlier time.
    pub fn add_at(&self, at: Instant, line: impl AsRef<str>) {
        let time = at.saturating_duration_since(self.started).as_secs_f64();
        let line = format!("{time:8.3} s  {}", line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one[..8].cmp(&other[..8]));
        if let Err(error) = fs::write(path, lines.join("\n") + "\n") {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}

//! Checks the event catalogue against its documentation page, its log lines and its uses.

use std::io;
use std::path::Path;
use std::sync::Arc;

use parking_lot::Mutex;
use slog::{Drain as _, Level};
use yuccareel::event_catalogue::{self, LogEvent};

/// Guards against a page that lacks an event, lists a removed one or differs in level or text.
#[test]
fn page_matches_catalogue() {
    let page = include_str!("../docs/EVENTS.md");
    let listed: Vec<&str> = page.lines().filter(|line| line.starts_with("| ")).skip(1).collect();
    let expected: Vec<String> = LogEvent::ALL
        .iter()
        .map(|event| {
            let level = match event.level() {
                Level::Critical => "critical",
                Level::Error => "error",
                Level::Warning => "warning",
                Level::Info => "info",
                Level::Debug | Level::Trace => "debug",
            };
            format!("| {} | {level} | `{}` | {} |", event.number(), event.code(), event.message())
        })
        .collect();
    assert_eq!(listed, expected);
}

/// Guards against two events with the same number or code, which operators could not tell apart.
#[test]
fn numbers_ascend_and_codes_are_unique() {
    let numbers: Vec<u32> = LogEvent::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right), "{numbers:?}");
    let mut codes: Vec<&str> = LogEvent::ALL.iter().map(|event| event.code()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), LogEvent::ALL.len());
}

#[derive(Clone, Default)]
struct SharedText(Arc<Mutex<Vec<u8>>>);

impl io::Write for SharedText {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a log line without the number, code, message or fields of its event.
#[test]
fn log_line_has_number_code_and_fields() {
    let text = SharedText::default();
    let drain = std::sync::Mutex::new(slog_json::Json::default(text.clone())).fuse();
    let logger = slog::Logger::root(drain, slog::o!());
    event_catalogue::emit(&logger, LogEvent::ReplicaCold, slog::o!("replica" => "engine-1"));
    let line: serde_json::Value = serde_json::from_slice(&text.0.lock()).unwrap();
    assert_eq!(line["event"], 510);
    assert_eq!(line["code"], "replica_cold");
    assert_eq!(line["level"], "INFO");
    assert_eq!(line["msg"], "replica turned cold");
    assert_eq!(line["replica"], "engine-1");
}

/// Concatenated text of all Rust files below a directory.
fn read_sources(directory: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text.push_str(&read_sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&std::fs::read_to_string(path).unwrap());
        }
    }
    text
}

/// Guards against catalogue entries that no code emits any more.
#[test]
fn every_event_is_emitted() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let code = read_sources(&root.join("src")) + &read_sources(&root.join("platform/src"));
    for event in LogEvent::ALL {
        let name = format!("LogEvent::{event:?}");
        let used = code.match_indices(&name).any(|(position, _)| {
            !code[position + name.len()..].starts_with(|next: char| next.is_alphanumeric())
        });
        assert!(used, "{name} is in the catalogue and never emitted");
    }
}

//! What a process tells its operators: log lines on standard output, and metrics.

use std::fmt::Display;
use std::sync::mpsc;
use std::time::Duration;

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use slog::Drain as _;

use crate::event_catalogue::{self, LogEvent};

/// Log lines that wait to be written; further ones are dropped and counted.
const LOG_LINES: usize = 2_048;
/// Time for the last lines to be written when the process ends. Nobody may be reading them.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);
/// Time between two rounds in which samples are counted; they take memory until then.
pub const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Upper bounds of latencies, in seconds; the objectives of the users are among them.
const LATENCY_BOUNDS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1.0, 2.0, 3.0, 4.0, 10.0, 20.0, 60.0];

/// Log of a process.
pub struct ProcessLog {
    /// Logger.
    pub logger: slog::Logger,
    writer: slog_async::AsyncGuard,
}

impl ProcessLog {
    /// Log on standard output. It never blocks: lines beyond its bound are dropped and counted.
    pub fn start(instance: &str, level: slog::Level) -> Self {
        let drain = slog_json::Json::default(std::io::stdout()).fuse();
        let (drain, writer) = slog_async::Async::new(drain)
            .chan_size(LOG_LINES)
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
            .build_with_guard();
        let drain = slog::LevelFilter::new(drain.fuse(), level).fuse();
        Self {
            logger: slog::Logger::root(drain, slog::o!("instance" => instance.to_owned())),
            writer,
        }
    }

    /// Writes the last lines, for a bounded time.
    pub fn finish(self) {
        let (written, waiting) = mpsc::channel();
        std::thread::spawn(move || {
            drop(self.writer);
            // The receiver is gone when the time has passed.
            let _ = written.send(());
        });
        // Lines that are not written by then are lost with the process.
        let _ = waiting.recv_timeout(FLUSH_LIMIT);
    }
}

/// Writes the line of a process that cannot start with its settings.
pub fn report_invalid_settings(error: &dyn Display) {
    let log = ProcessLog::start("", slog::Level::Info);
    let fields = slog::o!("error" => error.to_string());
    event_catalogue::emit(&log.logger, LogEvent::SettingsInvalid, fields);
    log.finish();
}

/// Installs the recorder of the metrics.
///
/// # Errors
/// When a recorder is installed already.
pub fn install_metrics() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new().set_buckets(&LATENCY_BOUNDS_S)?.install_recorder()
}

/// Counts samples from time to time until the process ends; without it they are kept until the
/// next scrape, which may never come.
pub async fn run_metrics_upkeep(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        metrics.run_upkeep();
    }
}

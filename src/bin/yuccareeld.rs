//! Entry instance of yuccareel.

use std::process::ExitCode;

use slog::Drain as _;
use yuccareel::event_catalogue::{self, LogEvent};
use yuccareel::{daemon, settings};

/// Exit code for invalid settings, as is usual for wrong usage.
const USAGE_EXIT: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let settings = match settings::parse(&arguments, |name| std::env::var(name).ok()) {
        Ok(settings::SettingsRequest::Run(settings)) => *settings,
        Ok(settings::SettingsRequest::Help(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(USAGE_EXIT);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: settings::Settings) -> Result<(), Box<dyn std::error::Error>> {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog::LevelFilter::new(drain, settings.log_level).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    let logger = slog::Logger::root(drain, slog::o!("instance" => settings.name.to_string()));
    let metrics = metrics_exporter_prometheus::PrometheusBuilder::new().install_recorder()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let outcome = runtime.block_on(daemon::run(settings, logger.clone(), metrics));
    if let Err(error) = &outcome {
        event_catalogue::emit(
            &logger,
            LogEvent::ListenFailed,
            slog::o!("error" => error.to_string()),
        );
    }
    Ok(outcome?)
}

//! Entry instance of yuccareel.

use std::process::ExitCode;

use yuccareel::event_catalogue::{self, LogEvent};
use yuccareel::{daemon, process_output, settings};

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
            process_output::report_invalid_settings(&error);
            return ExitCode::from(USAGE_EXIT);
        }
    };
    // What failed stands in the log.
    run(settings).map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS)
}

/// Runs the instance and writes why it could not.
fn run(settings: settings::Settings) -> Result<(), Box<dyn std::error::Error>> {
    let log = process_output::ProcessLog::start(&settings.name, settings.log_level);
    let outcome = serve(settings, &log.logger);
    if let Err(error) = &outcome {
        let fields = slog::o!("error" => error.to_string());
        event_catalogue::emit(&log.logger, LogEvent::StartFailed, fields);
    }
    log.finish();
    outcome
}

fn serve(
    settings: settings::Settings,
    logger: &slog::Logger,
) -> Result<(), Box<dyn std::error::Error>> {
    let metrics = process_output::install_metrics()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    Ok(runtime.block_on(daemon::run(settings, logger.clone(), metrics))?)
}

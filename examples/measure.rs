//! Measures one deployment through all phases beside the baselines, and audits
//! the promises; a breach makes the exit code non-zero.
//!
//! `cargo run --release --example measure -- --deployment authority`

mod measure_world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use measure_world::{audit, chart, drive, report, shape};

/// Shortest run in which every phase still does what it is named for.
const SECONDS_MIN: u64 = 30;
/// Longest run; the program is to end within 3 minutes.
const SECONDS_MAX: u64 = 140;

struct MeasureOptions {
    shape: shape::DeploymentShape,
    seed: u64,
    json: bool,
    run: Duration,
    chart: Option<PathBuf>,
}

fn definitions() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("", "deployment", "authority (default) or rungwell", "NAME");
    options.optopt("", "seed", "seed of the requests, default 1", "N");
    options.optopt("", "seconds", "time of the load, default 60", "N");
    options.optopt("", "chart", "write a chart of the latency as SVG", "FILE");
    options.optflag("", "json", "print JSON instead of tables");
    options.optflag("h", "help", "print this help");
    options
}

fn read_options(matches: &getopts::Matches) -> Result<MeasureOptions, String> {
    let name = matches.opt_str("deployment").unwrap_or_else(|| "authority".to_owned());
    let shape = shape::DeploymentShape::find(&name);
    let number_error = |error: std::num::ParseIntError| error.to_string();
    let seconds: u64 = matches.opt_get_default("seconds", 60).map_err(number_error)?;
    if !(SECONDS_MIN..=SECONDS_MAX).contains(&seconds) {
        return Err(format!("--seconds: expected {SECONDS_MIN} to {SECONDS_MAX}, found {seconds}"));
    }
    Ok(MeasureOptions {
        shape: shape.ok_or_else(|| format!("--deployment: no deployment named {name}"))?,
        seed: matches.opt_get_default("seed", 1).map_err(number_error)?,
        json: matches.opt_present("json"),
        run: Duration::from_secs(seconds),
        chart: matches.opt_str("chart").map(PathBuf::from),
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let definitions = definitions();
    let matches = definitions.parse(std::env::args().skip(1)).map_err(|error| error.to_string());
    if matches.as_ref().is_ok_and(|matches| matches.opt_present("help")) {
        print!("{}", definitions.usage("measure [options]"));
        return ExitCode::SUCCESS;
    }
    let options = match matches.and_then(|matches| read_options(&matches)) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let run = drive::run(options.shape, options.run, options.seed).await;
    let (ways, promises) = (report::measure(&run), audit::audit(&run));
    match options.json {
        true => println!("{:#}", report::to_json(&run, &ways, &promises)),
        false => report::print(&run, &ways, &promises),
    }
    if let Some(path) = &options.chart
        && let Err(error) = chart::write(&run, path)
    {
        eprintln!("--chart: {}: {error}", path.display());
        return ExitCode::FAILURE;
    }
    let held = promises.iter().all(|result| result.breaches.is_empty());
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

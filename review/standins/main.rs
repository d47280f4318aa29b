//! Cases of the review: each starts instances of the router between stand-ins and checks one rule.
//!
//! Usage: `cases NAME FOLDER TROUBLE`. Writes `record.txt` to the folder. Exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case could not run. If `TROUBLE` is 0, the disruption
//! is left out; if it is 1, it is not.

mod base64;
mod client;
mod config_history;
mod cut_answer;
mod entry;
mod http;
mod json;
mod large_watch;
mod operator;
mod record;
mod replica;
mod silent_stream;
mod store;
mod unknown_model;

use std::path::Path;
use std::process::ExitCode;

/// Outcome of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CaseOutcome {
    Held,
    Broken,
    /// An instance or a stand-in did not start, or the conditions of the case did not come about.
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [name, folder, trouble] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let has_trouble = trouble != "0";
    let record = record::RunRecord::start();
    let run = match name.as_str() {
        "cut-answer" => cut_answer::run,
        "silent-stream" => silent_stream::run,
        "unknown-model" => unknown_model::run,
        "large-watch" => large_watch::run,
        "config-history" => config_history::run,
        _ => {
            eprintln!("unknown case {name}");
            return ExitCode::from(2);
        }
    };
    let outcome = run(&record, has_trouble);
    record.add(format!("outcome: {outcome:?}"));
    record.write(&Path::new(folder).join("record.txt"));
    println!("{name}: {outcome:?}");
    match outcome {
        CaseOutcome::Held => ExitCode::SUCCESS,
        CaseOutcome::Broken => ExitCode::from(1),
        CaseOutcome::NotRun => ExitCode::from(2),
    }
}

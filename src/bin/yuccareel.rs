//! Command-line tool for operators.

use std::io::Write as _;
use std::process::ExitCode;

use yuccareel::cli;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let output = cli::run(&arguments, |name| std::env::var(name).ok());
    // A reader that closes its end early does not change the outcome.
    let _ = std::io::stdout().write_all(output.output.as_bytes());
    let _ = std::io::stderr().write_all(output.errors.as_bytes());
    output.exit.into()
}

//! Arguments and environment of the command-line tool.

use std::time::Duration;

use getopts::{Matches, Options};

use crate::cli_exit::CliExit;
use crate::{field_reader, ids, record_fields};

/// Time limit of `--wait` without a value: the bound for 1,300 nodes with some reserve.
const WAIT_DEFAULT_S: u64 = 30;
/// Changes that `history` prints without `--limit`.
const HISTORY_DEFAULT: usize = 20;

const BRIEF: &str = "\
Usage: yuccareel [OPTIONS] COMMAND

Commands:
    check FILE...      check records in TOML or JSON files as a whole configuration
    apply FILE...      add or replace records in one change
    remove KIND NAME   remove a record
    get KIND NAME      print a record in effect
    list [KIND]        list records in effect
    history            list changes, newest first
    status             list instances with the sequence number in effect
    audit              check the bill batches
    hash-token         print the SHA-256 of the token on standard input

Kinds: customer, model, cascade, rollout, data_centre, service";

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CliCommand {
    /// Check files, alone or on top of the configuration in effect.
    Check { files: Vec<String>, against: CheckBase },
    /// Apply files.
    Apply { files: Vec<String> },
    /// Remove a record.
    Remove { kind: String, name: String },
    /// Print a record.
    Get { kind: String, name: String },
    /// List records.
    List { kind: Option<String> },
    /// List changes.
    History { limit: usize },
    /// List instances.
    Status,
    /// Check bills.
    Audit,
    /// Hash a token.
    HashToken,
    /// Print the help text.
    Help,
}

/// Configuration with which checked files are compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckBase {
    /// The files are a whole configuration and are compared with none.
    Nothing,
    /// The files are put on top of the records in effect.
    Server,
    /// The files are a whole configuration and are compared with a saved one.
    File(String),
}

/// Validated arguments and environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliOptions {
    /// What to do.
    pub command: CliCommand,
    /// Base URL of an instance; empty for commands that call none.
    pub server: String,
    /// Operator token.
    pub token: String,
    /// Operator.
    pub author: String,
    /// Sequence number that the operator has seen.
    pub expected_sequence: Option<ids::ConfigSequence>,
    /// Time to wait until a change is in effect everywhere.
    pub wait: Option<Duration>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Definitions of all options.
fn definitions() -> Options {
    let mut options = Options::new();
    options.optopt("s", "server", "base URL of any instance (YUCCAREEL_SERVER)", "URL");
    options.optopt(
        "",
        "token",
        "operator token (YUCCAREEL_TOKEN, which does not show in process lists)",
        "TOKEN",
    );
    options.optopt("a", "author", "who makes the change (YUCCAREEL_AUTHOR, USER)", "NAME");
    options.optopt(
        "e",
        "expect-sequence",
        "refuse when a later change than this one touched the same records",
        "NUMBER",
    );
    options.optflagopt(
        "w",
        "wait",
        "wait until the change is in effect on every instance; --wait=SECONDS sets the limit (default 30 s)",
        "SECONDS",
    );
    options.optflag(
        "",
        "against-server",
        "check on top of the records in effect, and print what differs from them",
    );
    options.optopt("", "against-file", "print what differs from a saved configuration", "FILE");
    options.optopt("n", "limit", "number of changes in the history (default 20)", "NUMBER");
    options.optflag("j", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    options
}

/// Help text with the exit codes.
pub fn help() -> String {
    let mut text = definitions().usage(BRIEF);
    text.push_str("\nExit codes:\n");
    for exit in CliExit::ALL {
        text.push_str(&format!("    {}  {}\n", exit.number(), exit.meaning()));
    }
    text
}

/// Parses arguments; all findings are returned together.
///
/// # Errors
/// One line for each fault.
pub fn parse(
    arguments: &[String],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<CliOptions, Vec<String>> {
    let matches = definitions().parse(arguments).map_err(|fail| vec![fail.to_string()])?;
    let mut findings = Vec::new();
    let command = command(&matches, &mut findings);
    let setting = |option: &str, name: &str| {
        matches.opt_str(option).or_else(|| variable(name)).filter(|text| !text.is_empty())
    };
    let mut options = CliOptions {
        command: command.clone().unwrap_or(CliCommand::Help),
        server: setting("server", "YUCCAREEL_SERVER").unwrap_or_default(),
        token: setting("token", "YUCCAREEL_TOKEN").unwrap_or_default(),
        author: setting("author", "YUCCAREEL_AUTHOR")
            .or_else(|| variable("USER"))
            .unwrap_or_default(),
        expected_sequence: number(&matches, "expect-sequence", &mut findings),
        wait: wait(&matches, &mut findings),
        json: matches.opt_present("json"),
    };
    if let Some(command) = &command {
        check_key(command, &mut findings);
        check_connection(command, &mut options, &mut findings);
    }
    if findings.is_empty() { Ok(options) } else { Err(findings) }
}

/// Kind and name become parts of a URL.
fn check_key(command: &CliCommand, findings: &mut Vec<String>) {
    let (kind, name) = match command {
        CliCommand::Remove { kind, name } | CliCommand::Get { kind, name } => (kind, Some(name)),
        CliCommand::List { kind: Some(kind) } => (kind, None),
        _ => return,
    };
    if !record_fields::KINDS.contains(&kind.as_str()) {
        let known = record_fields::KINDS.join(" ");
        findings.push(format!("unknown kind {kind:?}: expected one of {known}"));
    }
    if let Some(name) = name.filter(|name| !field_reader::valid_name(name.as_str())) {
        findings.push(format!("{name:?} is no record name"));
    }
}

fn check_connection(command: &CliCommand, options: &mut CliOptions, findings: &mut Vec<String>) {
    let offline = matches!(
        command,
        CliCommand::Check { against: CheckBase::Nothing | CheckBase::File(_), .. }
            | CliCommand::HashToken
            | CliCommand::Help
    );
    if offline {
        return;
    }
    if options.server.is_empty() {
        findings.push("no server: set --server or YUCCAREEL_SERVER".to_owned());
    } else if !options.server.starts_with("http://") {
        findings.push(format!("server {:?}: expected a URL with http://", options.server));
    }
    if options.token.is_empty() {
        findings.push("no operator token: set --token or YUCCAREEL_TOKEN".to_owned());
    }
    let writes = matches!(command, CliCommand::Apply { .. } | CliCommand::Remove { .. });
    if writes && options.author.is_empty() {
        findings.push("no author: set --author, YUCCAREEL_AUTHOR or USER".to_owned());
    }
    options.server.truncate(options.server.trim_end_matches('/').len());
}

fn command(matches: &Matches, findings: &mut Vec<String>) -> Option<CliCommand> {
    if matches.opt_present("help") {
        return Some(CliCommand::Help);
    }
    let Some((verb, rest)) = matches.free.split_first() else {
        findings.push("no command".to_owned());
        return None;
    };
    let files = rest.to_vec();
    let command = match (verb.as_str(), rest) {
        ("check" | "apply", []) => {
            findings.push(format!("{verb}: no files"));
            return None;
        }
        ("check", _) => CliCommand::Check { files, against: check_base(matches, findings) },
        ("apply", _) => CliCommand::Apply { files },
        ("remove", [kind, name]) => CliCommand::Remove { kind: kind.clone(), name: name.clone() },
        ("get", [kind, name]) => CliCommand::Get { kind: kind.clone(), name: name.clone() },
        ("list", []) => CliCommand::List { kind: None },
        ("list", [kind]) => CliCommand::List { kind: Some(kind.clone()) },
        ("history", []) => {
            let limit = number(matches, "limit", findings).unwrap_or(HISTORY_DEFAULT);
            CliCommand::History { limit }
        }
        ("status", []) => CliCommand::Status,
        ("audit", []) => CliCommand::Audit,
        ("hash-token", []) => CliCommand::HashToken,
        ("remove" | "get", _) => {
            findings.push(format!("{verb}: expected KIND NAME"));
            return None;
        }
        ("list" | "history" | "status" | "audit" | "hash-token", _) => {
            findings.push(format!("{verb}: unexpected {:?}", rest.join(" ")));
            return None;
        }
        _ => {
            findings.push(format!("unknown command {verb:?}"));
            return None;
        }
    };
    Some(command)
}

fn check_base(matches: &Matches, findings: &mut Vec<String>) -> CheckBase {
    match (matches.opt_present("against-server"), matches.opt_str("against-file")) {
        (false, None) => CheckBase::Nothing,
        (true, None) => CheckBase::Server,
        (false, Some(file)) => CheckBase::File(file),
        (true, Some(_)) => {
            findings
                .push("check: --against-server and --against-file exclude each other".to_owned());
            CheckBase::Nothing
        }
    }
}

fn number<T: std::str::FromStr>(
    matches: &Matches,
    option: &str,
    findings: &mut Vec<String>,
) -> Option<T> {
    let text = matches.opt_str(option)?;
    let parsed = text.parse().ok();
    if parsed.is_none() {
        findings.push(format!("--{option}: expected a whole number, found {text:?}"));
    }
    parsed
}

fn wait(matches: &Matches, findings: &mut Vec<String>) -> Option<Duration> {
    if !matches.opt_present("wait") {
        return None;
    }
    let seconds = number(matches, "wait", findings).unwrap_or(WAIT_DEFAULT_S);
    Some(Duration::from_secs(seconds))
}

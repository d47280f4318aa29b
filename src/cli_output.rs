//! What the command-line tool prints.

use std::fmt::Write as _;

use serde::Serialize;
use serde_json::{Value, json};

use crate::admin_types::{ApplyReply, AuditReport, HistoryReply, ListReply, StatusReply};
use crate::check_report::CheckReport;
use crate::cli_client::CallError;
use crate::cli_exit::CliExit;
use crate::record_finding::RecordFinding;

/// Text for standard output and standard error, with the exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliOutput {
    /// Text for standard output.
    pub output: String,
    /// Text for standard error.
    pub errors: String,
    /// Exit code.
    pub exit: CliExit,
}

impl CliOutput {
    /// Success.
    pub fn done(output: String) -> Self {
        Self { output, errors: String::new(), exit: CliExit::Done }
    }

    /// Failure with a message.
    pub fn failed(exit: CliExit, errors: String) -> Self {
        Self { output: String::new(), errors, exit }
    }

    /// Success with a body in JSON.
    pub fn json(body: &impl Serialize) -> Self {
        Self::done(pretty(body))
    }

    /// Findings, one a line.
    pub fn findings(findings: &[RecordFinding], json: bool) -> Self {
        Self::check(&report(findings), json)
    }

    /// Report of a check; only its findings change the exit code.
    pub fn check(report: &CheckReport, json: bool) -> Self {
        let exit = if report.findings.is_empty() { CliExit::Done } else { CliExit::Findings };
        let output = if json { pretty(report) } else { report.text() };
        Self { output, errors: String::new(), exit }
    }

    /// Refusal or failure of a call.
    pub fn call_error(error: &CallError, json: bool) -> Self {
        let mut exit = error.exit();
        if exit == CliExit::Unknown && matches!(error, CallError::NoAnswer(_)) {
            // A read leaves nothing open.
            exit = CliExit::Unreachable;
        }
        Self::fault(error, exit, String::new(), json)
    }

    /// Refusal or failure of a change.
    pub fn change_error(error: &CallError, apply_id: &str, json: bool) -> Self {
        let exit = error.exit();
        let hint = if exit == CliExit::Unknown {
            format!("yuccareel: look for apply id {apply_id} in the history before trying again\n")
        } else {
            String::new()
        };
        Self::fault(error, exit, hint, json)
    }

    fn fault(error: &CallError, exit: CliExit, hint: String, json: bool) -> Self {
        let mut output = String::new();
        let mut errors = format!("yuccareel: {error}\n{hint}");
        if let CallError::Refused(fault) = error {
            if json {
                output = pretty(fault);
            } else if !fault.findings.is_empty() {
                output = report(&fault.findings).text();
            }
            if let Some(conflict) = &fault.conflict {
                let names: Vec<String> =
                    conflict.names.iter().map(|(kind, name)| format!("{kind}/{name}")).collect();
                let _ = writeln!(errors, "yuccareel: changed by both: {}", names.join(" "));
            }
        }
        Self { output, errors, exit }
    }

    /// Accepted change.
    pub fn applied(reply: &ApplyReply, json: bool) -> Self {
        if json {
            return Self::json(reply);
        }
        Self::done(applied_line(reply))
    }

    /// Change that is in effect on every instance.
    pub fn in_effect(reply: &ApplyReply, json: bool) -> Self {
        if json {
            return Self::json(&outcome(reply, true, &[]));
        }
        Self::done(applied_line(reply) + "in effect on every instance\n")
    }

    /// Change that is not in effect everywhere within the time limit.
    pub fn not_in_effect(reply: &ApplyReply, behind: &[String], json: bool) -> Self {
        let output =
            if json { pretty(&outcome(reply, false, behind)) } else { applied_line(reply) };
        let mut errors = "yuccareel: not in effect everywhere within the time limit\n".to_owned();
        for line in behind {
            let _ = writeln!(errors, "yuccareel: {line}");
        }
        Self { output, errors, exit: CliExit::NotInEffect }
    }

    /// Kind and name of each record.
    pub fn records(reply: &ListReply) -> Self {
        let lines = reply
            .records
            .iter()
            .map(|record| format!("{}/{}\n", text(&record["kind"]), text(&record["name"])));
        Self::done(lines.collect())
    }

    /// Sequence, author, apply id and names of each change.
    pub fn history(reply: &HistoryReply) -> Self {
        let lines = reply.changes.iter().map(|change| {
            let mut names = String::new();
            for record in change["puts"].as_array().into_iter().flatten() {
                let _ = write!(names, " {}/{}", text(&record["kind"]), text(&record["name"]));
            }
            for key in change["removals"].as_array().into_iter().flatten() {
                let _ = write!(names, " -{}/{}", text(&key[0]), text(&key[1]));
            }
            let (author, id) = (text(&change["author"]), text(&change["apply_id"]));
            format!("{}\t{author}\t{id}\t{}\n", change["sequence"], names.trim_start())
        });
        Self::done(lines.collect())
    }

    /// Name, data centre, sequence and age of each instance.
    pub fn status(reply: &StatusReply) -> Self {
        let mut output = format!("sequence {}\n", reply.sequence);
        for row in &reply.instances {
            let _ = writeln!(
                output,
                "{}\t{}\tsequence {}\t{} ms ago",
                row.name, row.data_centre, row.sequence, row.age_ms
            );
        }
        Self::done(output)
    }

    /// Result of an audit.
    pub fn audit(report: &AuditReport, json: bool) -> Self {
        let exit = if report.faults.is_empty() { CliExit::Done } else { CliExit::Findings };
        let output = if json {
            pretty(report)
        } else {
            let mut text: String = report.faults.iter().map(|fault| format!("{fault}\n")).collect();
            let _ = writeln!(
                text,
                "{} instances, {} batches, {} bills, {} microcredits, {} faults",
                report.instances,
                report.batches,
                report.bills,
                report.microcredits,
                report.faults.len()
            );
            text
        };
        Self { output, errors: String::new(), exit }
    }
}

fn applied_line(reply: &ApplyReply) -> String {
    if reply.unchanged {
        return format!("unchanged at sequence {}\n", reply.sequence);
    }
    format!("accepted at sequence {} (apply {})\n", reply.sequence, reply.apply_id)
}

fn outcome(reply: &ApplyReply, in_effect: bool, behind: &[String]) -> Value {
    let mut value = json!(reply);
    value["in_effect"] = json!(in_effect);
    value["behind"] = json!(behind);
    value
}

fn report(findings: &[RecordFinding]) -> CheckReport {
    CheckReport { findings: findings.to_vec(), ..CheckReport::default() }
}

fn pretty(body: &impl Serialize) -> String {
    serde_json::to_string_pretty(body).unwrap_or_default() + "\n"
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

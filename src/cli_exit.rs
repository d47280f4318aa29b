//! Exit codes of the command-line tool.

use std::process::ExitCode;

/// Exit code with its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CliExit {
    /// Done.
    Done,
    /// Records are faulty, or an audit found faults.
    Findings,
    /// Arguments are wrong or a file cannot be read.
    Usage,
    /// Another operator changed the same records first.
    Conflict,
    /// The server refused; nothing was written.
    Refused,
    /// The server cannot be reached; nothing was written.
    Unreachable,
    /// Accepted, but not in effect on every instance within the time limit.
    NotInEffect,
    /// The change may or may not have been written.
    Unknown,
    /// No such record.
    NotFound,
}

impl CliExit {
    /// All codes, for the help text.
    pub const ALL: [Self; 9] = [
        Self::Done,
        Self::Findings,
        Self::Usage,
        Self::Conflict,
        Self::Refused,
        Self::Unreachable,
        Self::NotInEffect,
        Self::Unknown,
        Self::NotFound,
    ];

    /// Number that the process returns.
    pub fn number(self) -> u8 {
        self as u8
    }

    /// Meaning, for the help text.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Findings => "records are faulty, or the audit found faults",
            Self::Usage => "arguments are wrong or a file cannot be read",
            Self::Conflict => "another operator changed the same records first",
            Self::Refused => "the server refused; nothing was written",
            Self::Unreachable => "the server cannot be reached; nothing was written",
            Self::NotInEffect => "accepted, but not in effect everywhere within the time limit",
            Self::Unknown => "the change may or may not have been written",
            Self::NotFound => "no such record",
        }
    }
}

impl From<CliExit> for ExitCode {
    fn from(exit: CliExit) -> Self {
        Self::from(exit.number())
    }
}

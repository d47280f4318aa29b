//! Rule for the service versions on which a call may run during a rollout.

use crate::ids;

/// Service versions on which a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    Any,
    /// This version only.
    Only(ids::VersionName),
    /// Any version except this one.
    Not(ids::VersionName),
}

impl VersionRule {
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Not(excluded) => **excluded != *version,
        }
    }
}

//! Versions on which a call may run.

use crate::ids;

/// Versions on which a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version.
    Any,
    /// One version only.
    Only(ids::VersionName),
    /// Any version but one.
    Not(ids::VersionName),
}

impl VersionRule {
    /// Whether the rule allows a version.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Not(excluded) => **excluded != *version,
        }
    }
}

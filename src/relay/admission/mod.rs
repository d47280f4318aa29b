//! Admission of calls when replicas have less room than callers ask for.

pub mod attempt_rank;
pub mod escalation_rule;
pub mod wait_rule;

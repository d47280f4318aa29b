//! Crashes of replicas on the two versions of one rollout order.
//!
//! A request may crash each replica that gets it, whatever its version, and one crash cuts all calls
//! that the replica runs. So cut calls are no evidence; crashed processes are counted, and count
//! against a version only if it has more than its share of them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::suspect_record::CrashedProcess;
use super::version_comparison;
use crate::rollout_evidence::EvidenceBlock;

/// Crashes of the new version from which the shares are compared.
const MIN_COMPARED_CRASHES: usize = 4;
/// Least share of the crashes that is expected on the new version. Replicas also crash without
/// calls, and a version with few calls may have many replicas.
const MIN_EXPECTED_SHARE: f64 = 0.25;
/// Processes that are kept for one version.
const MAX_PROCESSES: usize = 64;

/// Processes that crashed since the order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// On the old version.
    pub from: BTreeSet<CrashedProcess>,
    /// On the new version.
    pub to: BTreeSet<CrashedProcess>,
}

impl CrashEvidence {
    /// Adds a process, which several calls may report.
    pub fn record(&mut self, process: CrashedProcess, is_target: bool) {
        let processes = if is_target { &mut self.to } else { &mut self.from };
        if processes.len() < MAX_PROCESSES {
            processes.insert(process);
        }
    }

    /// Adds the processes that another instance saw.
    pub fn merge(&mut self, other: &Self) {
        for (processes, others) in [(&mut self.from, &other.from), (&mut self.to, &other.to)] {
            processes.extend(others.iter().cloned());
        }
    }

    /// Whether the new version has more than its share of the crashes, by its share of the answers.
    pub fn is_target_worse(&self, answers: &EvidenceBlock) -> bool {
        let (from, to) = (self.from.len(), self.to.len());
        let target_answers = answers.to.requests as f64;
        let answers = target_answers + answers.from.requests as f64;
        let expected_share = (target_answers / answers.max(1.0)).max(MIN_EXPECTED_SHARE);
        to >= MIN_COMPARED_CRASHES
            && version_comparison::exceeds(to as u64, (from + to) as u64, expected_share)
    }
}

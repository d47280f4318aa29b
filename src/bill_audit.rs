//! Audit of the bill batches in the key-value service.
//!
//! Checks that the ranges of each instance are contiguous and do not overlap,
//! sums the costs per customer, and compares with the answers where a list of
//! them is available. All findings are reported together.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::{bill_batch, ids, kv_store};

/// Fault found by an audit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BillFinding {
    /// Key is not `bill/<instance>/<number>`.
    #[error("{0}: key does not name an instance and a number")]
    KeyInvalid(String),
    /// Value is not a batch.
    #[error("{0}: batch cannot be read: {1}")]
    BatchUnreadable(String, String),
    /// Batch whose contents contradict its key or range.
    #[error("{0}: lines do not match the key and the range")]
    RangeInvalid(String),
    /// Numbers between two batches, first and last, that no batch covers.
    #[error("{0}: numbers {1} to {2} are in no batch")]
    RangeGap(ids::InstanceName, bill_batch::BillNumber, bill_batch::BillNumber),
    /// Numbers, first and last, that two batches cover.
    #[error("{0}: numbers {1} to {2} are in two batches")]
    RangeOverlap(ids::InstanceName, bill_batch::BillNumber, bill_batch::BillNumber),
    /// Numbers, first and last, that a successor did not have; their bills may stand under
    /// later numbers.
    #[error("{0}: numbers {1} to {2} were unknown to the writer of their batch")]
    NumbersMissing(ids::InstanceName, bill_batch::BillNumber, bill_batch::BillNumber),
    /// Request with more than one bill.
    #[error("request {0:032x} is billed {1} times")]
    BilledAgain(ids::RequestId, usize),
    /// Answer without a bill.
    #[error("{0}: answer {1:032x} has no bill")]
    AnswerUnbilled(ids::InstanceName, ids::RequestId),
    /// Bill of an instance whose answers do not contain the request.
    #[error("{0}: bill {1:032x} has no answer")]
    BillUnanswered(ids::InstanceName, ids::RequestId),
}

/// Bills and cost of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerTotal {
    /// Number of bills.
    pub bills: u64,
    /// Sum of their costs.
    pub cost: ids::Microcredits,
}

/// Answers by process name, where they are known.
pub type AnswerList = BTreeMap<ids::InstanceName, Vec<ids::RequestId>>;

/// Result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BillAudit {
    /// Totals by customer.
    pub totals: BTreeMap<ids::CustomerName, CustomerTotal>,
    /// All faults found.
    pub findings: Vec<BillFinding>,
}

impl BillAudit {
    /// Audits the entries below `bill/`. Instances absent from the answers are not compared.
    pub fn new(entries: &[kv_store::KvEntry], answers: &AnswerList) -> Self {
        let mut audit = Self::default();
        let mut chains: BTreeMap<ids::InstanceName, Vec<bill_batch::BillBatch>> = BTreeMap::new();
        for entry in entries {
            if let Some((instance, batch)) = audit.read(entry) {
                chains.entry(instance).or_default().push(batch);
            }
        }
        for (instance, chain) in &mut chains {
            chain.sort_by_key(|batch| batch.first);
            audit.check_ranges(instance, chain);
        }
        audit.count_requests(&chains);
        for (instance, requests) in answers {
            let chain = chains.get(instance).map_or(&[][..], Vec::as_slice);
            audit.compare_answers(instance, chain, requests);
        }
        audit
    }

    fn read(
        &mut self,
        entry: &kv_store::KvEntry,
    ) -> Option<(ids::InstanceName, bill_batch::BillBatch)> {
        let Some((instance, first)) = bill_batch::parse_key(&entry.key) else {
            self.findings.push(BillFinding::KeyInvalid(entry.key.clone()));
            return None;
        };
        match bill_batch::BillBatch::from_bytes(&entry.value) {
            Ok(batch) => {
                if batch.first != first || !numbers_match(&batch) {
                    self.findings.push(BillFinding::RangeInvalid(entry.key.clone()));
                }
                Some((instance.into(), batch))
            }
            Err(error) => {
                let finding = BillFinding::BatchUnreadable(entry.key.clone(), error.to_string());
                self.findings.push(finding);
                None
            }
        }
    }

    fn check_ranges(&mut self, instance: &ids::InstanceName, chain: &[bill_batch::BillBatch]) {
        let mut last = 0;
        for batch in chain {
            if batch.first > last + 1 {
                let gap = BillFinding::RangeGap(instance.clone(), last + 1, batch.first - 1);
                self.findings.push(gap);
            }
            if batch.first <= last {
                let end = last.min(batch.last);
                self.findings.push(BillFinding::RangeOverlap(instance.clone(), batch.first, end));
            }
            for (first, end) in &batch.missing {
                self.findings.push(BillFinding::NumbersMissing(instance.clone(), *first, *end));
            }
            last = last.max(batch.last);
        }
    }

    fn count_requests(&mut self, chains: &BTreeMap<ids::InstanceName, Vec<bill_batch::BillBatch>>) {
        let mut counts: HashMap<ids::RequestId, usize> = HashMap::new();
        for (customer, line) in chains.values().flatten().flat_map(bill_batch::BillBatch::lines) {
            let total = self.totals.entry(customer.clone()).or_default();
            total.bills += 1;
            total.cost += line.cost();
            *counts.entry(line.request).or_default() += 1;
        }
        let mut repeated: Vec<_> = counts.into_iter().filter(|(_, count)| *count > 1).collect();
        repeated.sort_unstable();
        let found = repeated.into_iter();
        self.findings
            .extend(found.map(|(request, count)| BillFinding::BilledAgain(request, count)));
    }

    fn compare_answers(
        &mut self,
        instance: &ids::InstanceName,
        chain: &[bill_batch::BillBatch],
        requests: &[ids::RequestId],
    ) {
        let answered: HashSet<_> = requests.iter().copied().collect();
        let lines = chain.iter().flat_map(bill_batch::BillBatch::lines);
        let billed: HashSet<_> = lines.map(|(_, line)| line.request).collect();
        let mut unbilled: Vec<_> = answered.difference(&billed).copied().collect();
        let mut unanswered: Vec<_> = billed.difference(&answered).copied().collect();
        unbilled.sort_unstable();
        unanswered.sort_unstable();
        self.findings.extend(
            unbilled.into_iter().map(|id| BillFinding::AnswerUnbilled(instance.clone(), id)),
        );
        self.findings.extend(
            unanswered.into_iter().map(|id| BillFinding::BillUnanswered(instance.clone(), id)),
        );
    }
}

/// Whether lines and missing ranges cover the range of a batch once each.
fn numbers_match(batch: &bill_batch::BillBatch) -> bool {
    let lines = batch.lines().map(|(_, line)| (line.number, line.number));
    let mut ranges: Vec<_> = lines.chain(batch.missing.iter().copied()).collect();
    ranges.sort_unstable();
    let mut next = batch.first;
    for (first, last) in ranges {
        if first != next || last < first {
            return false;
        }
        next = last + 1;
    }
    batch.first <= batch.last && next == batch.last + 1
}

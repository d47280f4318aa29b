//! Batch of consecutively numbered bills, as kept below `bill/<instance>/`.
//!
//! The batches of an instance form a chain: each starts one above the end of the
//! previous one and is written only when its key is absent. Two writers that
//! race therefore meet on the same key, and ranges cannot overlap.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{bill_line, ids};

/// Number of a bill within its instance, from 1.
pub type BillNumber = u64;

/// Largest batch. The key-value service refuses values over 1 MB.
pub const BATCH_BYTES: usize = 900_000;
/// Prefix of all batches.
pub const BILL_PREFIX: &str = "bill/";

/// Bills of one instance with the numbers `first` to `last`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillBatch {
    /// First number.
    pub first: BillNumber,
    /// Last number.
    pub last: BillNumber,
    /// Ranges, first and last, of numbers that the writer did not have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<(BillNumber, BillNumber)>,
    /// Lines by customer.
    pub customers: BTreeMap<ids::CustomerName, Vec<NumberedLine>>,
}

/// Bill with its number. The customer is the key of the list that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedLine {
    /// Number.
    #[serde(rename = "n")]
    pub number: BillNumber,
    /// Request that is billed.
    #[serde(rename = "r", with = "bill_line::request_hex")]
    pub request: ids::RequestId,
    /// Steps that ran.
    #[serde(rename = "s")]
    pub steps: smallvec::SmallVec<[bill_line::BillStep; 1]>,
}

impl NumberedLine {
    /// Cost of all steps.
    pub fn cost(&self) -> ids::Microcredits {
        self.steps.iter().map(|step| step.cost).sum()
    }
}

impl BillBatch {
    /// Batch of bills in the order of their numbers, which starts the chain link at `first`.
    /// `None` when there are no bills.
    pub fn collect<'a>(
        first: BillNumber,
        bills: impl IntoIterator<Item = (BillNumber, &'a bill_line::BillLine)>,
    ) -> Option<Self> {
        let mut batch =
            Self { first, last: first - 1, missing: Vec::new(), customers: BTreeMap::new() };
        for (number, line) in bills {
            if number > batch.last + 1 {
                batch.missing.push((batch.last + 1, number - 1));
            }
            batch.last = number;
            let numbered =
                NumberedLine { number, request: line.request, steps: line.steps.clone() };
            batch.customers.entry(line.customer.clone()).or_default().push(numbered);
        }
        (batch.last >= first).then_some(batch)
    }

    /// All lines, by customer.
    pub fn lines(&self) -> impl Iterator<Item = (&ids::CustomerName, &NumberedLine)> {
        self.customers
            .iter()
            .flat_map(|(customer, lines)| lines.iter().map(move |line| (customer, line)))
    }

    /// Stored form.
    pub fn to_bytes(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Batch from its stored form.
    pub fn from_bytes(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }
}

/// Name of one process start. Numbers start again at 1 with each process, so the
/// bare instance name would collide with the batches of an earlier start.
pub fn process_name(instance: &str, incarnation: u64) -> ids::InstanceName {
    format!("{instance}@{incarnation}").into()
}

/// Key of the batch that starts at a number. Padding keeps keys in numeric order.
pub fn key(instance: &str, first: BillNumber) -> String {
    format!("{BILL_PREFIX}{instance}/{first:012}")
}

/// Instance and first number in a key.
pub fn parse_key(key: &str) -> Option<(&str, BillNumber)> {
    let (instance, first) = key.strip_prefix(BILL_PREFIX)?.rsplit_once('/')?;
    Some((instance, first.parse().ok()?))
}

/// Instance name within a process name.
pub fn instance_name(process: &str) -> &str {
    process.rsplit_once('@').map_or(process, |(instance, _)| instance)
}

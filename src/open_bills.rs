//! Bills of one instance that are not yet flushed.
//!
//! The instance and its peer hold the same structure, so that either can extend
//! the chain of batches. When a batch of the other side is found in the chain,
//! the bills in it are dropped by request id, and bills whose numbers it covers
//! without containing them receive new numbers.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::{bill_batch, bill_line, ids};

/// Unflushed bills and the end of the chain as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct OpenBills {
    flushed: bill_batch::BillNumber,
    highest: bill_batch::BillNumber,
    lines: BTreeMap<bill_batch::BillNumber, bill_line::BillLine>,
    numbers: HashMap<ids::RequestId, bill_batch::BillNumber>,
    renumbered: HashSet<ids::RequestId>,
    size_bytes: usize,
}

impl OpenBills {
    /// Last number of the chain.
    pub fn flushed(&self) -> bill_batch::BillNumber {
        self.flushed
    }

    /// Number of open bills.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether no bill is open.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Bytes of the open bills.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Whether a request has an open bill.
    pub fn contains(&self, request: ids::RequestId) -> bool {
        self.numbers.contains_key(&request)
    }

    /// Open bills from a number.
    pub fn from_number(
        &self,
        number: bill_batch::BillNumber,
    ) -> impl Iterator<Item = (bill_batch::BillNumber, &bill_line::BillLine)> {
        self.lines.range(number..).map(|(number, line)| (*number, line))
    }

    /// Adds a bill under the next number.
    pub fn push(&mut self, line: bill_line::BillLine) -> bill_batch::BillNumber {
        let number = self.highest.max(self.flushed) + 1;
        self.insert(number, line);
        number
    }

    /// Adds a bill under a given number. A request keeps only its latest number.
    pub fn insert(&mut self, number: bill_batch::BillNumber, line: bill_line::BillLine) {
        self.remove_request(line.request);
        self.highest = self.highest.max(number);
        let replaced = self.lines.remove(&number);
        self.size_bytes += line.size_bytes();
        self.numbers.insert(line.request, number);
        self.lines.insert(number, line);
        if let Some(replaced) = replaced {
            self.renumber(replaced);
        }
    }

    /// Applies a batch of the chain. Returns whether bills received new numbers.
    pub fn adopt(&mut self, batch: &bill_batch::BillBatch) -> bool {
        for (_, line) in batch.lines() {
            self.remove_request(line.request);
        }
        self.flushed = self.flushed.max(batch.last);
        let later = self.lines.split_off(&(self.flushed + 1));
        let covered = std::mem::replace(&mut self.lines, later);
        let renumbered = !covered.is_empty();
        for line in covered.into_values() {
            self.renumber(line);
        }
        renumbered
    }

    /// Drops the bills up to a number that the instance reports as flushed.
    ///
    /// An instance that reports a longer chain has read it and flushes the bills that are
    /// not in it, so bills that were given new numbers here must not be flushed again.
    pub fn drop_through(&mut self, number: bill_batch::BillNumber) {
        if number <= self.flushed {
            return;
        }
        for request in std::mem::take(&mut self.renumbered) {
            self.remove_request(request);
        }
        let later = self.lines.split_off(&(number + 1));
        for line in std::mem::replace(&mut self.lines, later).into_values() {
            self.forget(&line);
        }
        self.flushed = number;
    }

    /// Next batch of the chain, within the size limit.
    pub fn next_batch(&self) -> Option<bill_batch::BillBatch> {
        let mut size = 0;
        let bills = self.from_number(0).take_while(|(_, line)| {
            let first = size == 0;
            size += line.size_bytes();
            first || size <= bill_batch::BATCH_BYTES
        });
        bill_batch::BillBatch::collect(self.flushed + 1, bills)
    }

    fn remove_request(&mut self, request: ids::RequestId) {
        if let Some(number) = self.numbers.get(&request)
            && let Some(line) = self.lines.remove(number)
        {
            self.forget(&line);
        }
    }

    fn renumber(&mut self, line: bill_line::BillLine) {
        self.forget(&line);
        self.renumbered.insert(line.request);
        self.push(line);
    }

    fn forget(&mut self, line: &bill_line::BillLine) {
        self.numbers.remove(&line.request);
        self.renumbered.remove(&line.request);
        self.size_bytes -= line.size_bytes();
    }
}

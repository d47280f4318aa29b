//! Copies of other instances' open bills, and their flush as successor.
//!
//! A successor extends the chain of batches by the same put-if-absent as the
//! instance, so flushing for an instance that is alive after all is harmless.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;

use crate::{bill_batch, bill_ledger, ids, kv_store, open_bills};

/// Copies by instance.
pub struct BillCopies {
    store: Arc<dyn kv_store::KvStore>,
    instances: Mutex<BTreeMap<ids::InstanceName, open_bills::OpenBills>>,
}

impl BillCopies {
    /// Empty copies.
    pub fn new(store: Arc<dyn kv_store::KvStore>) -> Self {
        Self { store, instances: Mutex::default() }
    }

    /// Takes a copy, and drops what its instance reports as flushed.
    pub fn accept(&self, copy: bill_ledger::BillCopy) -> Result<(), bill_ledger::BillCopyError> {
        let mut instances = self.instances.lock();
        let bills: usize = instances.values().map(open_bills::OpenBills::len).sum();
        let bytes: usize = instances.values().map(open_bills::OpenBills::size_bytes).sum();
        let full =
            bills + copy.bills.len() > bill_ledger::OPEN_BILLS || bytes >= bill_ledger::OPEN_BYTES;
        let open = instances.entry(copy.instance.clone()).or_default();
        open.drop_through(copy.flushed);
        if full && !copy.bills.is_empty() {
            return Err(bill_ledger::BillCopyError::Full);
        }
        for (number, line) in copy.bills {
            // Copies may arrive late; a number that is flushed needs no copy.
            if number > open.flushed() {
                open.insert(number, line);
            }
        }
        Ok(())
    }

    /// Copies kept for an instance.
    pub fn open_bills(&self, instance: &str) -> usize {
        self.instances.lock().get(instance).map_or(0, open_bills::OpenBills::len)
    }

    /// Instances with copies.
    pub fn instances(&self) -> Vec<ids::InstanceName> {
        let instances = self.instances.lock();
        instances
            .iter()
            .filter(|(_, open)| !open.is_empty())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// All copies, for the peer that takes them over.
    pub fn hand_over(&self) -> Vec<bill_ledger::BillCopy> {
        let instances = self.instances.lock();
        let open = instances.iter().filter(|(_, open)| !open.is_empty());
        open.map(|(instance, open)| bill_ledger::BillCopy {
            instance: instance.clone(),
            flushed: open.flushed(),
            bills: open.from_number(0).map(|(number, line)| (number, line.clone())).collect(),
        })
        .collect()
    }

    /// Flushes the copies of an instance that the member table declares dead.
    /// On an error the remaining copies stay for the next call.
    pub async fn flush_as_successor(
        &self,
        instance: &str,
    ) -> Result<bill_ledger::BillFlush, kv_store::KvError> {
        let mut flush = bill_ledger::BillFlush::default();
        loop {
            let next = self
                .instances
                .lock()
                .get(instance)
                .map(|open| (open.flushed() + 1, open.is_empty()));
            let Some((first, false)) = next else { break };
            let key = bill_batch::key(instance, first);
            if let Some(found) = bill_ledger::read_batch(&*self.store, &key).await? {
                self.adopt(instance, &found);
                continue;
            }
            let batch = self
                .instances
                .lock()
                .get(instance)
                .and_then(|open| open.next_batch().filter(|batch| batch.first == first));
            let Some(batch) = batch else { continue };
            let written = bill_ledger::put_if_absent(&*self.store, instance, &batch).await?;
            flush.batches += usize::from(written == batch);
            self.adopt(instance, &written);
        }
        self.instances.lock().retain(|name, open| &**name != instance || !open.is_empty());
        flush.open = self.open_bills(instance);
        Ok(flush)
    }

    fn adopt(&self, instance: &str, batch: &bill_batch::BillBatch) {
        if let Some(open) = self.instances.lock().get_mut(instance) {
            open.adopt(batch);
        }
    }
}

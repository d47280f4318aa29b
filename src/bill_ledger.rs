//! Bills of this instance, from the answer to the key-value service.
//!
//! `record` numbers a bill and copies it to a peer before the last bytes of the
//! answer are sent; `flush` extends the chain of batches. A flush is safe to
//! repeat and safe to run at the same time as the peer's flush as successor.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::{bill_batch, bill_line, ids, kv_deadline, kv_store, open_bills};

/// Open bills that may wait while the key-value service is down.
pub const OPEN_BILLS: usize = 100_000;
/// Bytes that they may take.
pub const OPEN_BYTES: usize = 32 << 20;
/// Wait for the peer before the answer goes on; longer waits show in the latency.
pub const COPY_WAIT: Duration = Duration::from_millis(5);
/// Bills in one copy to the peer. More would cost every answer time while no peer is there.
const COPY_BILLS: usize = 64;
/// Flushed request ids that are remembered, so that a bill recorded again is ignored.
const RECENT_REQUESTS: usize = 100_000;

/// Copy of open bills for the peer.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct BillCopy {
    /// Process that numbered the bills.
    pub instance: ids::InstanceName,
    /// Last number that is flushed.
    pub flushed: bill_batch::BillNumber,
    /// Bills with their numbers.
    pub bills: Vec<(bill_batch::BillNumber, bill_line::BillLine)>,
}

/// Error of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BillCopyError {
    /// No peer took the copy.
    #[error("no peer took the copy")]
    NoPeer,
    /// The peer holds as many copies as it may.
    #[error("peer holds as many copies as it may")]
    Full,
}

/// Connection to the peer that keeps copies of this instance's bills.
pub trait BillCopier: Send + Sync {
    /// Sends a copy. A copy without bills only reports what is flushed.
    fn copy(&self, copy: BillCopy) -> BoxFuture<'_, Result<(), BillCopyError>>;
}

/// Signal that no more bills can wait. The caller stops admitting billable work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{bills} open bills with {bytes} bytes wait for the key-value service")]
pub struct BillOverflow {
    /// Open bills.
    pub bills: usize,
    /// Bytes of the open bills.
    pub bytes: usize,
}

/// Whether a bill survives a kill of this instance before the next flush.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BillProtection {
    /// A peer holds a copy.
    Copied,
    /// No peer answered in time.
    Unprotected,
    /// The request already has a bill; nothing was added.
    AlreadyBilled,
}

/// Result of a flush.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BillFlush {
    /// Batches written by this flush.
    pub batches: usize,
    /// Bills that still wait.
    pub open: usize,
}

/// Bills of this instance.
pub struct BillLedger {
    instance: ids::InstanceName,
    store: Arc<dyn kv_store::KvStore>,
    copier: Arc<dyn BillCopier>,
    table: Mutex<LedgerTable>,
    flushing: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct LedgerTable {
    open: open_bills::OpenBills,
    copied: bill_batch::BillNumber,
    recent: HashSet<ids::RequestId>,
    recent_order: VecDeque<ids::RequestId>,
}

impl BillLedger {
    /// Ledger of one process start; the name comes from `bill_batch::process_name`.
    pub fn new(
        instance: ids::InstanceName,
        store: Arc<dyn kv_store::KvStore>,
        copier: Arc<dyn BillCopier>,
    ) -> Self {
        Self {
            instance,
            store,
            copier,
            table: Mutex::default(),
            flushing: tokio::sync::Mutex::default(),
        }
    }

    /// Checks before admission that another bill can wait.
    pub fn check_room(&self) -> Result<(), BillOverflow> {
        let table = self.table.lock();
        let overflow = BillOverflow { bills: table.open.len(), bytes: table.open.size_bytes() };
        if overflow.bills >= OPEN_BILLS || overflow.bytes >= OPEN_BYTES {
            return Err(overflow);
        }
        Ok(())
    }

    /// Records a bill and copies it to the peer, waiting at most `COPY_WAIT`.
    pub async fn record(&self, line: bill_line::BillLine) -> Result<BillProtection, BillOverflow> {
        self.check_room()?;
        let Some((number, copy)) = self.add(line) else {
            return Ok(BillProtection::AlreadyBilled);
        };
        let sent = tokio::time::timeout(COPY_WAIT, self.copier.copy(copy)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return Ok(BillProtection::Unprotected);
        }
        let mut table = self.table.lock();
        table.copied = table.copied.max(number);
        Ok(BillProtection::Copied)
    }

    /// Numbers a bill and collects it for the peer together with bills whose copies failed.
    fn add(&self, line: bill_line::BillLine) -> Option<(bill_batch::BillNumber, BillCopy)> {
        let mut table = self.table.lock();
        if table.open.contains(line.request) || table.recent.contains(&line.request) {
            return None;
        }
        let number = table.open.push(line);
        let from = (table.copied + 1).max(number.saturating_sub(COPY_BILLS as u64 - 1));
        let bills = table.open.from_number(from).map(|(number, line)| (number, line.clone()));
        let copy = BillCopy {
            instance: self.instance.clone(),
            flushed: table.open.flushed(),
            bills: bills.collect(),
        };
        Some((number, copy))
    }

    /// Writes all open bills. On an error the remaining bills stay open.
    pub async fn flush(&self) -> Result<BillFlush, kv_store::KvError> {
        let _turn = self.flushing.lock().await;
        let mut flush = BillFlush::default();
        loop {
            let batch = self.table.lock().open.next_batch();
            let Some(batch) = batch else { break };
            let written = put_if_absent(&*self.store, &self.instance, &batch).await?;
            flush.batches += usize::from(written == batch);
            self.adopt(&written);
        }
        flush.open = self.open_bills();
        if flush.batches > 0 {
            self.report_flushed();
        }
        Ok(flush)
    }

    fn adopt(&self, batch: &bill_batch::BillBatch) {
        let mut table = self.table.lock();
        if table.open.adopt(batch) {
            table.copied = batch.last;
        }
        for (_, line) in batch.lines() {
            if table.recent.insert(line.request) {
                table.recent_order.push_back(line.request);
            }
        }
        while table.recent_order.len() > RECENT_REQUESTS {
            if let Some(request) = table.recent_order.pop_front() {
                table.recent.remove(&request);
            }
        }
    }

    /// Tells the peer what is flushed. A lost report is made up for by the next copy.
    fn report_flushed(&self) {
        let flushed = self.table.lock().open.flushed();
        let copy = BillCopy { instance: self.instance.clone(), flushed, bills: Vec::new() };
        let copier = self.copier.clone();
        tokio::spawn(async move { tokio::time::timeout(COPY_WAIT, copier.copy(copy)).await });
    }

    /// Lets the next copy carry the open bills again, because another peer takes the copies.
    pub fn peer_changed(&self) {
        let mut table = self.table.lock();
        table.copied = table.open.flushed();
    }

    /// Bills that wait for a flush.
    pub fn open_bills(&self) -> usize {
        self.table.lock().open.len()
    }

    /// Flushes at the interval for the number of nodes until cancelled, then once more.
    pub async fn run(&self, nodes: impl Fn() -> usize, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::select! {
                () = tokio::time::sleep(flush_interval(nodes())) => {}
                () = stop.cancelled() => {}
            }
            // On an error the bills stay open for the next round.
            let _ = self.flush().await;
        }
    }
}

/// Time between flushes: at most 100 writes/s over all nodes.
pub fn flush_interval(nodes: usize) -> Duration {
    Duration::from_secs(1).max(Duration::from_millis(10) * u32::try_from(nodes).unwrap_or(u32::MAX))
}

/// Writes a batch unless its key is taken. Returns the batch that the key holds afterwards.
pub(crate) async fn put_if_absent(
    store: &dyn kv_store::KvStore,
    instance: &str,
    batch: &bill_batch::BillBatch,
) -> Result<bill_batch::BillBatch, kv_store::KvError> {
    let key = bill_batch::key(instance, batch.first);
    let transaction = kv_store::KvTransaction {
        compares: vec![kv_store::KvCompare::CreateRevision(key.clone(), 0)],
        operations: vec![kv_store::KvOperation::Put(key.clone(), batch.to_bytes(), 0)],
    };
    let error = match kv_deadline::bounded(store.commit(transaction)).await {
        Ok(outcome) if outcome.committed => return Ok(batch.clone()),
        Ok(outcome) => match outcome.current.first() {
            Some(entry) => return parse_batch(entry),
            None => kv_store::KvError::NoAnswer("key was taken and is absent again".to_owned()),
        },
        Err(error) if !error.may_have_written() => return Err(error),
        Err(error) => error,
    };
    match read_batch(store, &key).await? {
        Some(found) => Ok(found),
        None => Err(error),
    }
}

/// Batch under a key.
pub(crate) async fn read_batch(
    store: &dyn kv_store::KvStore,
    key: &str,
) -> Result<Option<bill_batch::BillBatch>, kv_store::KvError> {
    let entry = kv_deadline::bounded(store.get(key)).await?;
    entry.as_ref().map(parse_batch).transpose()
}

fn parse_batch(entry: &kv_store::KvEntry) -> Result<bill_batch::BillBatch, kv_store::KvError> {
    bill_batch::BillBatch::from_bytes(&entry.value)
        .map_err(|error| kv_store::KvError::Unreadable(format!("{}: {error}", entry.key)))
}

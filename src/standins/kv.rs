//! Key-value stand-in with its fault switches.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use futures::stream::{self, BoxStream, StreamExt as _};
use parking_lot::Mutex;

use crate::standins::kv_table;
use crate::{ids, kv_client, kv_store};

/// Time between two looks of a watch at the table.
const WATCH_POLL: Duration = Duration::from_millis(5);
/// Time that a call without an answer takes to fail.
const NO_ANSWER_TIME: Duration = Duration::from_millis(50);

/// Fault switches.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct KvFaults {
    /// Every call is refused before it has an effect.
    pub outage: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes to come whose answers are lost after they took effect.
    pub lose_answers: u32,
    /// Number of writes to come that are lost together with their answers.
    pub lose_writes: u32,
}

/// Key-value stand-in; clones share one table.
#[derive(Clone, Debug, Default)]
pub struct KvStandin {
    /// Keys and leases.
    pub table: Arc<Mutex<kv_table::KvTable>>,
    /// Fault switches.
    pub faults: Arc<Mutex<KvFaults>>,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

impl KvStandin {
    /// Number of reads and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    async fn before_call(&self, count: &AtomicU64) -> Result<(), kv_store::KvError> {
        count.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults.lock().clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return Err(kv_store::KvError::Unreachable("outage".to_owned()));
        }
        Ok(())
    }

    /// Runs a write under the fault switches.
    async fn write<T>(
        &self,
        change: impl FnOnce(&mut kv_table::KvTable) -> T,
    ) -> Result<T, kv_store::KvError> {
        self.before_call(&self.writes).await?;
        let lost = || kv_store::KvError::NoAnswer("answer lost".to_owned());
        if take_one(&mut self.faults.lock().lose_writes) {
            tokio::time::sleep(NO_ANSWER_TIME).await;
            return Err(lost());
        }
        let outcome = change(&mut self.table.lock());
        if take_one(&mut self.faults.lock().lose_answers) {
            tokio::time::sleep(NO_ANSWER_TIME).await;
            return Err(lost());
        }
        Ok(outcome)
    }
}

/// Takes one off a counter; false when it was zero.
fn take_one(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

impl kv_store::KvStore for KvStandin {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<kv_store::KvEntry>, kv_store::KvError>> {
        async move {
            self.before_call(&self.reads).await?;
            Ok(self.table.lock().range(key, None).entries.pop())
        }
        .boxed()
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<kv_store::KvRange, kv_store::KvError>> {
        async move {
            self.before_call(&self.reads).await?;
            Ok(self.table.lock().range(prefix, Some(&kv_client::prefix_end(prefix))))
        }
        .boxed()
    }

    fn commit(
        &self,
        transaction: kv_store::KvTransaction,
    ) -> BoxFuture<'_, Result<kv_store::KvOutcome, kv_store::KvError>> {
        async move { self.write(move |table| table.commit(&transaction)).await? }.boxed()
    }

    fn grant_lease(&self, ttl_s: i64) -> BoxFuture<'_, Result<ids::LeaseId, kv_store::KvError>> {
        let ttl = Duration::from_secs(ttl_s.unsigned_abs());
        self.write(move |table| table.grant_lease(ttl)).boxed()
    }

    fn renew_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<bool, kv_store::KvError>> {
        self.write(move |table| table.renew_lease(lease)).boxed()
    }

    fn revoke_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<(), kv_store::KvError>> {
        self.write(move |table| table.revoke_lease(lease)).boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: ids::KvRevision,
    ) -> BoxFuture<
        'a,
        Result<BoxStream<'static, Result<kv_store::KvEvent, kv_store::KvError>>, kv_store::KvError>,
    > {
        async move {
            self.before_call(&self.reads).await?;
            let store = self.clone();
            let (key, end) = (prefix.to_owned(), kv_client::prefix_end(prefix));
            let batches = stream::unfold(after, move |mut after| {
                let (store, key, end) = (store.clone(), key.clone(), end.clone());
                async move {
                    loop {
                        if store.faults.lock().outage {
                            return None;
                        }
                        let found = store.table.lock().events_after(&key, &end, after);
                        if let Some((revision, _)) = found.last() {
                            after = *revision;
                            return Some((found, after));
                        }
                        tokio::time::sleep(WATCH_POLL).await;
                    }
                }
            });
            let events = batches
                .flat_map(|found| stream::iter(found.into_iter().map(|(_, event)| Ok(event))));
            Ok(events.boxed())
        }
        .boxed()
    }
}

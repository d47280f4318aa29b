//! Nodes with claims and bills over one key-value stand-in, with faults per node.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use yuccareel::kv_store::{
    KvEntry, KvError, KvEvent, KvOperation, KvOutcome, KvRange, KvStore, KvTransaction,
};
use yuccareel::standins::kv::KvStandin;
use yuccareel::{bill_copies, bill_ledger, bill_line, claim_record, claim_store, claim_table, ids};

/// Switches of one node's connection to the key-value stand-in.
#[derive(Clone, Debug, Default)]
pub struct NodeFaults {
    /// Next commits that take effect only after the delay, while the caller gets no answer.
    pub late_commits: u32,
    /// That delay.
    pub late_by: Duration,
    /// Plants a violation: compares are dropped, so fences have no effect.
    pub ignore_compares: bool,
}

/// Connection of one node; a paused node neither sends nor receives.
#[derive(Clone)]
pub struct NodeKv {
    pub inner: KvStandin,
    pub faults: Arc<Mutex<NodeFaults>>,
    pub paused: Arc<watch::Sender<bool>>,
}

impl NodeKv {
    pub fn new(inner: KvStandin) -> Self {
        Self { inner, faults: Arc::default(), paused: Arc::new(watch::Sender::new(false)) }
    }

    /// Delays the next commits; their callers get no answer.
    pub fn delay_commits(&self, count: u32, by: Duration) {
        let mut faults = self.faults.lock();
        (faults.late_commits, faults.late_by) = (count, by);
    }

    async fn gated<T>(&self, call: impl Future<Output = T>) -> T {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !*paused).await;
        let outcome = call.await;
        let _ = paused.wait_for(|paused| !*paused).await;
        outcome
    }
}

impl KvStore for NodeKv {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KvEntry>, KvError>> {
        self.gated(self.inner.get(key)).boxed()
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<KvRange, KvError>> {
        self.gated(self.inner.range(prefix)).boxed()
    }

    fn commit(&self, mut transaction: KvTransaction) -> BoxFuture<'_, Result<KvOutcome, KvError>> {
        let late_by = {
            let mut faults = self.faults.lock();
            if faults.ignore_compares {
                transaction.compares.clear();
            }
            let late = faults.late_commits > 0;
            faults.late_commits = faults.late_commits.saturating_sub(1);
            late.then_some(faults.late_by)
        };
        let inner = self.inner.clone();
        let lapsed = LapsedPuts { kv: inner.clone(), leases: put_leases(&transaction) };
        let Some(late_by) = late_by else {
            let call = async move {
                let _lapsed = lapsed;
                inner.commit(transaction).await
            };
            return self.gated(call).boxed();
        };
        tokio::spawn(async move {
            let _lapsed = lapsed;
            sleep(late_by).await;
            let _ = inner.table.lock().commit(&transaction);
        });
        let answer = async {
            sleep(Duration::from_millis(50)).await;
            Err(KvError::NoAnswer("answer late".to_owned()))
        };
        self.gated(answer).boxed()
    }

    fn grant_lease(&self, ttl_s: i64) -> BoxFuture<'_, Result<ids::LeaseId, KvError>> {
        self.gated(self.inner.grant_lease(ttl_s)).boxed()
    }

    fn renew_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<bool, KvError>> {
        self.gated(self.inner.renew_lease(lease)).boxed()
    }

    fn revoke_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<(), KvError>> {
        self.gated(self.inner.revoke_lease(lease)).boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: ids::KvRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<KvEvent, KvError>>, KvError>> {
        self.inner.watch(prefix, after)
    }
}

fn put_leases(transaction: &KvTransaction) -> BTreeSet<ids::LeaseId> {
    let leases = transaction.operations.iter().filter_map(|operation| match operation {
        KvOperation::Put(_, _, lease) if *lease != 0 => Some(*lease),
        KvOperation::Put(..) | KvOperation::Delete(_) => None,
    });
    leases.collect()
}

/// Removes keys put under a lapsed lease when their call ends, even by a kill of its node. The
/// service refuses such puts, the stand-in does not.
struct LapsedPuts {
    kv: KvStandin,
    leases: BTreeSet<ids::LeaseId>,
}

impl Drop for LapsedPuts {
    fn drop(&mut self) {
        let mut table = self.kv.table.lock();
        for lease in &self.leases {
            if !table.renew_lease(*lease) {
                table.revoke_lease(*lease);
            }
        }
    }
}

/// Peer that keeps copies, over a connection with a delay; no peer when absent.
#[derive(Clone, Default)]
pub struct PeerLink {
    pub peer: Arc<Mutex<Option<Arc<bill_copies::BillCopies>>>>,
    pub delay: Arc<Mutex<Duration>>,
}

impl bill_ledger::BillCopier for PeerLink {
    fn copy(
        &self,
        copy: bill_ledger::BillCopy,
    ) -> BoxFuture<'_, Result<(), bill_ledger::BillCopyError>> {
        async move {
            let delay = *self.delay.lock();
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let peer = self.peer.lock().clone();
            peer.ok_or(bill_ledger::BillCopyError::NoPeer)?.accept(copy)
        }
        .boxed()
    }
}

/// Key-value stand-in and the wall clock that all nodes share.
pub struct World {
    pub kv: KvStandin,
    pub origin: Instant,
}

impl World {
    pub fn new() -> Self {
        Self { kv: KvStandin::default(), origin: Instant::now() }
    }
}

impl std::ops::Deref for World {
    type Target = KvStandin;

    fn deref(&self) -> &KvStandin {
        &self.kv
    }
}

/// One process.
pub struct Node {
    pub name: ids::InstanceName,
    pub kv: NodeKv,
    pub claims: Arc<claim_store::ClaimStore>,
    pub ledger: Arc<bill_ledger::BillLedger>,
    pub copies: Arc<bill_copies::BillCopies>,
    pub link: PeerLink,
    pub stop: CancellationToken,
    pub task: tokio::task::JoinHandle<()>,
}

impl Node {
    pub fn start(world: &World, name: &str, members: &[&str]) -> Self {
        let kv = NodeKv::new(world.kv.clone());
        let store: Arc<dyn KvStore> = Arc::new(kv.clone());
        let origin = world.origin;
        let clock = Arc::new(move || 1_000_000 + origin.elapsed().as_millis() as u64);
        let claims = Arc::new(claim_store::ClaimStore::new(name.into(), store.clone(), clock));
        claims.set_members(members.iter().map(|name| (*name).into()));
        let link = PeerLink::default();
        let ledger =
            bill_ledger::BillLedger::new(name.into(), store.clone(), Arc::new(link.clone()));
        let ledger = Arc::new(ledger);
        let copies = Arc::new(bill_copies::BillCopies::new(store));
        let stop = CancellationToken::new();
        let (own_claims, own_ledger, token) = (claims.clone(), ledger.clone(), stop.clone());
        let task = tokio::spawn(async move {
            tokio::join!(own_claims.run(token.clone()), own_ledger.run(|| 8, token));
        });
        Self { name: name.into(), kv, claims, ledger, copies, link, stop, task }
    }

    pub fn set_members(&self, members: &[&str]) {
        self.claims.set_members(members.iter().map(|name| (*name).into()));
    }
}

pub fn claim(key: u8, request: u128, serving: &str) -> claim_record::ClaimRequest {
    claim_record::ClaimRequest {
        key: claim_record::claim_key("grower", "POST /bookings", &format!("key-{key}")),
        fingerprint: claim_record::digest(&[b"booking", &[key]]),
        request,
        serving: serving.into(),
    }
}

pub fn answer(text: &str) -> claim_record::ClaimAnswer {
    let body = Bytes::copy_from_slice(text.as_bytes());
    claim_record::ClaimAnswer::new(201, "application/json", body)
}

pub fn verdict_name(verdict: &claim_table::ClaimVerdict) -> &'static str {
    match verdict {
        claim_table::ClaimVerdict::Run => "run",
        claim_table::ClaimVerdict::Replay(_) => "replay",
        claim_table::ClaimVerdict::InProgress(_) => "in progress",
        claim_table::ClaimVerdict::UnknownOutcome => "unknown",
        claim_table::ClaimVerdict::Conflict => "conflict",
        claim_table::ClaimVerdict::Unavailable(_) => "unavailable",
        claim_table::ClaimVerdict::NotOwner(_) => "not owner",
    }
}

pub fn bill(request: u128, customer: &str) -> bill_line::BillLine {
    let step = |model: &str, cost| bill_line::BillStep {
        model: model.into(),
        version: "v1".into(),
        prompt_tokens: 900,
        completion_tokens: 200,
        cost,
    };
    let steps = [step("small", 30), step("large", 400)];
    bill_line::BillLine { request, customer: customer.into(), steps: steps.into_iter().collect() }
}

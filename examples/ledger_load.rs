//! Load of claims and bills on the key-value service.
//!
//! Runs some nodes over the stand-in at given rates and prints the calls per second and the
//! bytes per bill and per claim.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use yuccareel::standins::kv::KvStandin;
use yuccareel::{
    bill_batch, bill_copies, bill_ledger, bill_line, claim_record, claim_shard, claim_store,
    claim_table, ids, kv_store, rendezvous,
};

/// Longest run in seconds.
const RUN_LIMIT_S: u64 = 15;

struct LoadOptions {
    nodes: usize,
    fleet: usize,
    bookings_per_s: u64,
    answers_per_s: u64,
    customers: u128,
    run: Duration,
}

struct LoadNode {
    name: ids::InstanceName,
    claims: Arc<claim_store::ClaimStore>,
    ledger: Arc<bill_ledger::BillLedger>,
}

/// Copies to a peer in the same process.
struct LocalCopier(Arc<bill_copies::BillCopies>);

impl bill_ledger::BillCopier for LocalCopier {
    fn copy(
        &self,
        copy: bill_ledger::BillCopy,
    ) -> BoxFuture<'_, Result<(), bill_ledger::BillCopyError>> {
        std::future::ready(self.0.accept(copy)).boxed()
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = parse_options(std::env::args().skip(1))?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    runtime.block_on(run(options));
    Ok(())
}

fn parse_options(
    args: impl Iterator<Item = String>,
) -> Result<LoadOptions, Box<dyn std::error::Error>> {
    let mut known = getopts::Options::new();
    known.optopt("", "nodes", "nodes in this process (8)", "N");
    known.optopt("", "fleet", "nodes that set the flush interval of bills (nodes)", "N");
    known.optopt("", "bookings", "calls with a claim per second (50)", "RATE");
    known.optopt("", "answers", "billed answers per second over all nodes (400)", "RATE");
    known.optopt("", "customers", "customers (10)", "N");
    known.optopt("", "seconds", "time of the run, at most 15 (8)", "S");
    let found = known.parse(args).map_err(|error| known.usage(&error.to_string()))?;
    let nodes = found.opt_get_default("nodes", 8)?;
    let seconds: u64 = found.opt_get_default("seconds", 8)?;
    Ok(LoadOptions {
        nodes,
        fleet: found.opt_get_default("fleet", nodes)?,
        bookings_per_s: found.opt_get_default("bookings", 50)?,
        answers_per_s: found.opt_get_default("answers", 400)?,
        customers: found.opt_get_default("customers", 10)?,
        run: Duration::from_secs(seconds.min(RUN_LIMIT_S)),
    })
}

async fn run(options: LoadOptions) {
    let kv = KvStandin::default();
    let stop = CancellationToken::new();
    let nodes: Arc<Vec<LoadNode>> = Arc::new(start_nodes(&kv, &options, &stop));
    sleep(Duration::from_millis(2_500)).await;
    let (before, first) = (kv.calls(), kv.table.lock().revision());
    let begun = Instant::now();
    let (bookings, answers) =
        tokio::join!(make_bookings(nodes.clone(), &options), make_answers(nodes.clone(), &options));
    let seconds = begun.elapsed().as_secs_f64();
    let after = kv.calls();
    for node in nodes.iter() {
        // The stand-in has no faults.
        let _ = node.ledger.flush().await;
        let _ = node.claims.flush().await;
    }
    stop.cancel();
    let (reads, writes) = (after.0 - before.0, after.1 - before.1);
    println!("reads/s {:.1}, writes/s {:.1}", reads as f64 / seconds, writes as f64 / seconds);
    let per_unit = |prefix, units: u64| {
        let mut table = kv.table.lock();
        let stored: usize = table.with_prefix(prefix).iter().map(|entry| entry.value.len()).sum();
        let end = yuccareel::kv_client::prefix_end(prefix);
        let events = table.events_after(prefix, &end, first);
        let sent = events.iter().map(|(_, event)| match event {
            kv_store::KvEvent::Put(entry) => entry.value.len(),
            kv_store::KvEvent::Delete(..) => 0,
        });
        let (sent, units) = (sent.sum::<usize>() as f64, units as f64);
        format!("{:.0} bytes stored, {:.0} bytes sent", stored as f64 / units, sent / units)
    };
    println!("{answers} bills, per bill: {}", per_unit(bill_batch::BILL_PREFIX, answers));
    println!("{bookings} claims, per claim: {}", per_unit(claim_shard::LOG_PREFIX, bookings));
}

fn start_nodes(kv: &KvStandin, options: &LoadOptions, stop: &CancellationToken) -> Vec<LoadNode> {
    let names: Vec<ids::InstanceName> =
        (0..options.nodes).map(|place| bill_batch::process_name(&format!("n{place}"), 1)).collect();
    let store: Arc<dyn kv_store::KvStore> = Arc::new(kv.clone());
    let start = |name: &ids::InstanceName| {
        let clock = Arc::new(|| {
            let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            elapsed.as_millis() as u64
        });
        let claims = claim_store::ClaimStore::new(name.clone(), store.clone(), clock);
        claims.set_members(names.iter().cloned());
        let copier = LocalCopier(Arc::new(bill_copies::BillCopies::new(store.clone())));
        let ledger = bill_ledger::BillLedger::new(name.clone(), store.clone(), Arc::new(copier));
        let node = LoadNode { name: name.clone(), claims: claims.into(), ledger: ledger.into() };
        let (claims, ledger, fleet) = (node.claims.clone(), node.ledger.clone(), options.fleet);
        let (claims_stop, ledger_stop) = (stop.clone(), stop.clone());
        tokio::spawn(async move { claims.run(claims_stop).await });
        tokio::spawn(async move { ledger.run(move || fleet, ledger_stop).await });
        node
    };
    names.iter().map(start).collect()
}

/// Claims and finishes calls at a rate. Returns their number.
async fn make_bookings(nodes: Arc<Vec<LoadNode>>, options: &LoadOptions) -> u64 {
    let names: Vec<_> = nodes.iter().map(|node| node.name.clone()).collect();
    let mut calls = tokio::task::JoinSet::new();
    let count = options.bookings_per_s * options.run.as_secs();
    let mut ticks = interval(Duration::from_secs(1) / options.bookings_per_s.max(1) as u32);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for number in 0..count {
        ticks.tick().await;
        let key = claim_record::claim_key("grower-0001", "POST /bookings", &number.to_string());
        let home = rendezvous::highest_ranked(
            &claim_table::owner_key(claim_record::shard_of(&key)),
            &names,
        );
        let Some(place) = names.iter().position(|name| Some(name) == home) else { continue };
        let (nodes, request) = (nodes.clone(), u128::from(number));
        calls.spawn(async move {
            let node = &nodes[place];
            let serving = node.name.clone();
            let claim = claim_record::ClaimRequest { key, fingerprint: [1; 32], request, serving };
            let verdict = node.claims.claim(claim).await;
            sleep(Duration::from_millis(150)).await;
            let body = Bytes::from_static(b"{\"booking\":\"8841\",\"state\":\"confirmed\"}");
            let answer = claim_record::ClaimAnswer::new(201, "application/json", body);
            let ran = matches!(verdict, claim_table::ClaimVerdict::Run);
            ran && node.claims.finish(key, request, answer).is_ok()
        });
    }
    calls.join_all().await.into_iter().filter(|ended| *ended).count() as u64
}

/// Records bills at a rate. Returns their number.
async fn make_answers(nodes: Arc<Vec<LoadNode>>, options: &LoadOptions) -> u64 {
    let count = options.answers_per_s * options.run.as_secs();
    let per_tick = options.answers_per_s.div_ceil(100).max(1);
    let mut ticks = interval(Duration::from_millis(10));
    let mut recorded = 0;
    while recorded < count {
        ticks.tick().await;
        for request in (recorded..count).take(per_tick as usize) {
            let step = bill_line::BillStep {
                model: "inspection-large".into(),
                version: "2026-11".into(),
                prompt_tokens: 3_000,
                completion_tokens: 400,
                cost: 5_200,
            };
            let request = u128::from(request);
            let customer = format!("customer-{:04}", request % options.customers).into();
            // Spread over the id space, as random ids are.
            let id = request.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
            let line =
                bill_line::BillLine { request: id, customer, steps: [step].into_iter().collect() };
            let node = &nodes[recorded as usize % nodes.len()];
            recorded += u64::from(node.ledger.record(line).await.is_ok());
        }
    }
    recorded
}

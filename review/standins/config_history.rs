//! Configurations change in quick succession, many times. An instance must stay within the memory of
//! its machine: the platform kills it otherwise, and with it the requests that it has accepted.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::CaseOutcome;
use crate::entry::{DeploymentSettings, EntryProcess};
use crate::operator::ConfigRecord;
use crate::record::RunRecord;
use crate::replica::ReplicaStandin;
use crate::store::StoreStandin;
use crate::{client, http};

/// `memoryMb` of the machines.
const MEMORY_MB: u64 = 110;
/// Routes that each `big_config` adds, and how many of these come first.
const ROUTES_PER_GROWTH: usize = 350;
const GROWTHS: usize = 13;
/// `valueBytes` of the settings.
const MAX_CONFIG_BYTES: usize = 1_048_576;
/// `config_storm`: a change each 0.33 s for 4 s, several times.
const STORM_INTERVAL: Duration = Duration::from_millis(330);
const STORMS: usize = 16;
const CHANGES_PER_STORM: usize = 12;
/// Clients that keep a channel and send one request after another, and the work on each request.
const CLIENTS: usize = 8;
const WORK_TIME: Duration = Duration::from_millis(300);
/// Channels that may be closed without an answer.
const MAX_CLOSED: usize = 3;

/// Sends requests on one channel until it ends; counts those whose channel ended without an answer.
fn keep_sending(
    front: SocketAddr,
    name: &str,
    record: &RunRecord,
    is_over: &AtomicBool,
    replica: &ReplicaStandin,
    closed: &AtomicUsize,
) -> Option<()> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let mut reader = http::MessageReader::new(stream.try_clone().ok()?);
    for index in 1.. {
        if is_over.load(Ordering::SeqCst) {
            return Some(());
        }
        let id = format!("{name}-{index}");
        let sent = stream.write_all(client::head("/book/1", &id, "key-1", 0).as_bytes());
        let answer = reader.read_message();
        if sent.is_err() || answer.is_err() {
            // A channel is kept from its second request on. One that ends before its request was passed
            // on does not count.
            let was_passed_on = replica.has_run(&id);
            closed.fetch_add(usize::from(index > 1 && was_passed_on), Ordering::SeqCst);
            record.add(format!(
                "request {id}: its channel ended without an answer; passed on: {was_passed_on}"
            ));
            return None;
        }
        if index % 20 == 0 {
            record.add(format!("request {id}: answered {}", answer.ok()?.status()));
        }
    }
    Some(())
}

pub fn run(record: &RunRecord, has_trouble: bool) -> CaseOutcome {
    let store = StoreStandin::start();
    let replica = ReplicaStandin::start("i-1", WORK_TIME);
    replica.register(&store);
    let mut config = ConfigRecord {
        version: 10,
        further_routes: ROUTES_PER_GROWTH * GROWTHS,
        keys: vec!["key-1"],
        timeout_ms: 1_500,
    };
    let bytes = config.text().len();
    record.add(format!("config of {bytes} bytes, {} routes", config.further_routes));
    if bytes > MAX_CONFIG_BYTES {
        return CaseOutcome::NotRun;
    }
    store.put("op/config", &config.text());
    let settings = DeploymentSettings { store: store.address, memory_mb: MEMORY_MB };
    let Some(mut entry) = EntryProcess::start(1, settings) else { return CaseOutcome::NotRun };
    let (is_over, closed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|index| {
            let (front, name) = (entry.front(), format!("client-{index}"));
            let (record, is_over, closed) = (record.clone(), is_over.clone(), closed.clone());
            let replica = replica.clone();
            std::thread::spawn(move || {
                keep_sending(front, &name, &record, &is_over, &replica, &closed)
            })
        })
        .collect();
    let started = Instant::now();
    let mut was_killed = false;
    for change in 1..=STORMS * CHANGES_PER_STORM {
        std::thread::sleep(STORM_INTERVAL);
        if has_trouble {
            config.version += 1;
            store.put("op/config", &config.text());
        }
        let resident = entry.memory_bytes();
        if change % CHANGES_PER_STORM == 0 {
            let storm = change / CHANGES_PER_STORM;
            record.add(format!("storm {storm}, {change} changes: {} MB", resident / 1_000_000));
        }
        if resident > MEMORY_MB * 1_024 * 1_024 {
            let time = started.elapsed().as_secs_f64();
            record.add(format!(
                "{} MB resident after {time:.0} s and {change} changes; the platform kills the process",
                resident / 1_000_000
            ));
            was_killed = entry.end();
            break;
        }
    }
    if !was_killed {
        is_over.store(true, Ordering::SeqCst);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let closed = closed.load(Ordering::SeqCst);
    let runs = replica.runs.lock().unwrap().len();
    record
        .add(format!("the replica ran {runs} requests; {closed} channels ended without an answer"));
    if was_killed && closed > MAX_CLOSED { CaseOutcome::Broken } else { CaseOutcome::Held }
}

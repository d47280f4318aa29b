//! Callers that are not under the users' control: bodies in very small chunks that stop just short of
//! their end and stay open. Meanwhile ordinary callers open new channels.

mod harness;

use std::net::Ipv4Addr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::{Conn, Entry, EntrySettings, Record, Replica, Store};

/// Machine of the smaller of the two small deployments (`rungwell-hire`).
const MAX_FDS: u64 = 4_100;
const CROWD_HOSTS: usize = 4;
const CHUNKED_BODIES: usize = 2_400;
/// The body is stated by the caller to have one chunk more.
const CHUNKS: usize = 40;
/// The rule asks for seven clients or more.
const CLIENTS: usize = 8;
const CLIENT_INTERVAL: Duration = Duration::from_millis(200);
/// `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const TRIAL_TIME: Duration = Duration::from_secs(8);

fn open_crowd(entry: &Entry, record: &Record) -> Vec<Conn> {
    let hosts: Vec<Ipv4Addr> = (0..CROWD_HOSTS).map(|_| harness::next_host()).collect();
    let mut crowd = Vec::new();
    for index in 0..CHUNKED_BODIES {
        let Ok(mut conn) = harness::connect_from(hosts[index % CROWD_HOSTS], entry.calls()) else { continue };
        let id = format!("crowd-{index}");
        let mut text =
            harness::call_head("/book/slot", &id, 20_000, "Transfer-Encoding: chunked\r\n").into_bytes();
        text.extend(b"1\r\nx\r\n".repeat(CHUNKS));
        // A connection that was refused is left open too.
        let _ = conn.send(&text);
        crowd.push(conn);
    }
    record.line(format!("crowd: {} connections from {CROWD_HOSTS} addresses", crowd.len()));
    crowd
}

fn main() -> ExitCode {
    let record = Record::open();
    let is_calm = harness::is_calm();
    let store = Store::start();
    let routes = [harness::route("book", "unsafe", "desk", 1_500, 1, "")];
    store.put("op/config", &harness::config(7, &routes, &["desk"], 4_194_304));
    let replica = Replica::start("r-1", |replica, request, conn| {
        replica.record_run(request.header("X-Request-Id"));
        conn.send(&replica.good_answer(request, b"booked")).is_ok()
    });
    replica.list(&store, "desk", 8);
    let settings = EntrySettings { max_fds: MAX_FDS, ..EntrySettings::default() };
    let mut entry = Entry::start("entry-1", store.address, &settings);
    if !entry.wait_ready() {
        record.line("the instance does not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_millis(4_000));
    let crowd = if is_calm { Vec::new() } else { open_crowd(&entry, &record) };
    thread::sleep(Duration::from_millis(500));
    let (started, is_over) = (Instant::now(), AtomicBool::new(false));
    // Milliseconds since `started` at which a channel was last taken, and the longest gap.
    let (last_taken, longest_gap) = (AtomicU64::new(0), AtomicU64::new(0));
    let (taken, refused, unready) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let now_ms = || started.elapsed().as_millis() as u64;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (entry, record, is_over) = (&entry, &record, &is_over);
            let (last_taken, longest_gap, taken, refused) = (&last_taken, &longest_gap, &taken, &refused);
            scope.spawn(move || {
                let host = harness::next_host();
                let mut index = 0;
                while !is_over.load(Ordering::SeqCst) {
                    index += 1;
                    let id = format!("client-{client}-{index}");
                    let conn = harness::connect_from(host, entry.calls());
                    let answer = conn.and_then(|mut conn| harness::call_on(&mut conn, "/book/slot", &id, 1_500, b"book"));
                    match &answer {
                        Ok(_) => {
                            taken.fetch_add(1, Ordering::SeqCst);
                            let before = last_taken.swap(now_ms(), Ordering::SeqCst);
                            longest_gap.fetch_max(now_ms().saturating_sub(before), Ordering::SeqCst);
                        }
                        Err(_) => {
                            refused.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                    if index % 5 == 1 {
                        record.line(format!("{id}: {:?}", answer.map(|answer| answer.status).map_err(|error| error.kind())));
                    }
                    thread::sleep(CLIENT_INTERVAL);
                }
            });
        }
        while started.elapsed() < TRIAL_TIME {
            let is_ready = entry.is_ready();
            unready.fetch_add(u64::from(!is_ready), Ordering::SeqCst);
            record.line(format!("ready: {is_ready}"));
            thread::sleep(Duration::from_secs(1));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    longest_gap.fetch_max(now_ms().saturating_sub(last_taken.load(Ordering::SeqCst)), Ordering::SeqCst);
    let (gap, unready) = (longest_gap.load(Ordering::SeqCst), unready.load(Ordering::SeqCst));
    record.line(format!(
        "channels taken {}, closed without an answer {}; longest time without a new channel {gap} ms; not ready {unready} times; process ended {:?}",
        taken.load(Ordering::SeqCst), refused.load(Ordering::SeqCst), entry.has_ended()
    ));
    drop(crowd);
    thread::sleep(Duration::from_secs(1));
    let after = harness::call(entry.calls(), "/book/slot", "after", 1_500, b"book").map(|answer| answer.status);
    record.line(format!("after the crowd has left: {after:?}"));
    let is_broken = gap > STABLE_WINDOW.as_millis() as u64 && unready == 0;
    record.line(if is_broken { "BROKEN: RECOVER" } else { "held" });
    ExitCode::from(u8::from(is_broken))
}

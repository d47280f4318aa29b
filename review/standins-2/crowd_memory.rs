//! Callers that are not under the users' control: chunked bodies in very small chunks and large bodies
//! of legal size, most of which stop just short of their end and stay open. The platform's part is to
//! kill a process that exceeds its `memoryMb`.

mod harness;

use std::net::Ipv4Addr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::{Conn, Entry, EntrySettings, Record, Replica, Store};

/// Machine of the smaller of the two small deployments (`rungwell-hire`).
const MEMORY_MB: u64 = 110;
const MAX_FDS: u64 = 4_100;
/// The larger reading of `memoryMb`.
const MEMORY_LIMIT: u64 = MEMORY_MB * 1_048_576;
const MAX_BODY_BYTES: usize = 4_194_304;
const CROWD_HOSTS: usize = 4;
/// Large bodies of legal size, each sent but for its last bytes.
const LARGE_BODIES: usize = 8;
const MISSING_BYTES: usize = 100;
/// Bodies in chunks of one byte.
const CHUNKED_BODIES: usize = 2_300;
const CHUNKS: usize = 1_500;
/// Fields that bring a head to just below `maxHeaderBytes` (16,384).
const NOTE_FIELDS: usize = 55;
const NOTE_BYTES: usize = 275;
/// Time for which a crowd stays open.
const STAY: Duration = Duration::from_secs(4);
/// The rule counts processes that end three times, on two machines at least.
const MACHINES: usize = 2;
const ROUNDS: u32 = 3;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

fn crowd_head(index: usize, framing: &str) -> Vec<u8> {
    let mut fields = String::new();
    for field in 0..NOTE_FIELDS {
        fields.push_str(&format!("X-Note-{field:02}: {}\r\n", "n".repeat(NOTE_BYTES)));
    }
    fields.push_str(framing);
    harness::call_head("/book/slot", &format!("crowd-{index}"), 20_000, &fields).into_bytes()
}

fn open_crowd(entry: &Entry, record: &Record) -> Vec<Conn> {
    let hosts: Vec<Ipv4Addr> = (0..CROWD_HOSTS).map(|_| harness::next_host()).collect();
    let mut crowd = Vec::new();
    let mut failed = 0;
    for index in 0..LARGE_BODIES + CHUNKED_BODIES {
        let Ok(mut conn) = harness::connect_from(hosts[index % CROWD_HOSTS], entry.calls()) else {
            failed += 1;
            continue;
        };
        let _ = conn.stream.set_write_timeout(Some(Duration::from_secs(2)));
        let (head, body) = if index < LARGE_BODIES {
            let framing = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
            (crowd_head(index, &framing), vec![b'x'; MAX_BODY_BYTES - MISSING_BYTES])
        } else {
            let framing = "Transfer-Encoding: chunked\r\n";
            (crowd_head(index, framing), b"1\r\nx\r\n".repeat(CHUNKS))
        };
        if index == LARGE_BODIES {
            record.line(format!("a head of the crowd has {} bytes", head.len()));
        }
        if conn.send(&head).and_then(|()| conn.send(&body)).is_err() {
            failed += 1;
        }
        crowd.push(conn);
    }
    record.line(format!("crowd: {} connections open, {failed} failed", crowd.len()));
    crowd
}

/// Plays the platform for one process: kills it if it exceeds its memory. The flag is set then.
fn watch_memory(process: u32, name: String, record: Record) -> Arc<AtomicBool> {
    let is_over = Arc::new(AtomicBool::new(false));
    let flag = is_over.clone();
    thread::spawn(move || {
        let mut peak = 0;
        while let Some(resident) = harness::resident_bytes(process) {
            if resident > MEMORY_LIMIT {
                record.line(format!(
                    "{name}: memory {resident} exceeds {MEMORY_LIMIT}, the platform kills the process"
                ));
                flag.store(true, Ordering::SeqCst);
                harness::kill(process, "KILL");
                return;
            }
            if resident > peak + 10_000_000 {
                record.line(format!("{name}: memory {resident}"));
                peak = resident;
            }
            thread::sleep(SAMPLE_INTERVAL);
        }
    });
    is_over
}

fn ordinary_call(entry: &Entry, caller: Ipv4Addr, id: &str) -> Option<u16> {
    let mut conn = harness::connect_from(caller, entry.calls()).ok()?;
    let answer = harness::call_on(&mut conn, "/book/slot", id, 3_000, b"one booking").ok()?;
    Some(answer.status)
}

fn main() -> ExitCode {
    let record = Record::open();
    let is_calm = harness::is_calm();
    let store = Store::start();
    let routes = [harness::route("book", "unsafe", "desk", 3_000, 1, "")];
    store.put("op/config", &harness::config(7, &routes, &["desk"], MAX_BODY_BYTES as u32));
    let replica = Replica::start("r-1", |replica, request, conn| {
        replica.record_run(request.header("X-Request-Id"));
        conn.send(&replica.good_answer(request, b"booked")).is_ok()
    });
    replica.list(&store, "desk", 8);
    let settings = EntrySettings { memory_mb: MEMORY_MB, max_fds: MAX_FDS, ..EntrySettings::default() };
    let mut entries: Vec<Entry> =
        (1..=MACHINES).map(|index| Entry::start(&format!("entry-{index}"), store.address, &settings)).collect();
    let caller = harness::next_host();
    let mut ends = [0; MACHINES];
    for round in 1..=ROUNDS {
        for (index, entry) in entries.iter_mut().enumerate() {
            if !entry.wait_ready() {
                record.line(format!("{} does not become ready", entry.name));
                return ExitCode::from(2);
            }
            thread::sleep(Duration::from_millis(1_500));
            let answer = ordinary_call(entry, caller, &format!("before-{round}-{index}"));
            let memory = entry.memory().map(|(resident, _)| resident);
            record.line(format!("{} round {round}: answer {answer:?}, memory {memory:?}", entry.name));
            if answer != Some(200) {
                return ExitCode::from(2);
            }
            let is_over = watch_memory(entry.child.id(), entry.name.clone(), record.clone());
            let crowd = if is_calm { Vec::new() } else { open_crowd(entry, &record) };
            let end = Instant::now() + STAY;
            while Instant::now() < end && !is_over.load(Ordering::SeqCst) {
                let id = format!("during-{round}-{index}-{}", end.duration_since(Instant::now()).as_millis());
                let answer = ordinary_call(entry, caller, &id);
                record.line(format!("{} ordinary call {id}: {answer:?}", entry.name));
                thread::sleep(Duration::from_millis(500));
            }
            drop(crowd);
            thread::sleep(Duration::from_millis(300));
            if let Some(status) = entry.has_ended() {
                ends[index] += 1;
                record.line(format!("{} has ended: {status}; the platform starts it again", entry.name));
                entry.restart();
            }
        }
    }
    record.line(format!("ends of each process: {ends:?}"));
    let is_broken = ends.iter().all(|count| *count >= ROUNDS);
    record.line(if is_broken { "BROKEN: Fault" } else { "held" });
    ExitCode::from(u8::from(is_broken))
}

//! The store comes back from an old copy during a rollout, and one of three instances is restarted meanwhile.
//!
//! A good version is brought in; the platform stops the old replicas when the rollout is completed. Callers
//! with sessions choose an instance for each request. The rule is broken if more than three requests run on
//! the old version although the request before in their session ran on the new one.

mod lab;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lab::{Entry, Handler, MachineLimits, Record, Replica, Store};

const ORDER: &str = "{\"service\":\"pool\",\"target\":\"v2\",\"durationS\":16}";
const SESSIONS: usize = 12;
const RUN_TIME: Duration = Duration::from_secs(32);
/// Time from the return of the store after which instances are in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const SESSION_TIME: Duration = Duration::from_secs(5);
const ALLOWED: usize = 3;
/// Instance that is killed.
const KILLED: usize = 1;

/// Request of a session.
#[derive(Clone)]
struct Run {
    sent: Instant,
    ended: Instant,
    session: usize,
    instance: usize,
    status: u16,
    version: String,
}

fn stream_of(version: &'static str) -> Handler {
    Arc::new(move |request, channel| {
        let fields = lab::success_fields(request);
        lab::sleep_ms(20);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}X-Version: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        channel.send(head.as_bytes())
            && (1..=3).all(|number| {
                let event = format!("id: {number}\ndata: three tokens of text\n\n");
                channel.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
            })
            && channel.send(b"0\r\n\r\n")
    })
}

fn start_replicas(prefix: &str, version: &'static str, store: &Store) -> Vec<Replica> {
    let beats = Arc::new(AtomicBool::new(true));
    let start = |number: usize| {
        let name = format!("i-{prefix}-{number}");
        let replica = Replica::start(&name, "pool", version, 64, stream_of(version));
        replica.beat(store, beats.clone());
        replica
    };
    (1..=3).map(start).collect()
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap());
    let folder = lab::temporary_folder();
    let store = Store::start(true);
    store.put("op/config", &lab::config_text(7));
    let old_replicas = start_replicas("old", "v1", &store);
    let (mut entries, mut hosts): (Vec<Entry>, Vec<_>) = (Vec::new(), Vec::new());
    for number in 1..=3 {
        let (name, limits) = (format!("entry-{number}"), MachineLimits::default());
        let entry = Entry::start(&name, &folder, store.address, &hosts, limits, true);
        hosts.push(entry.host);
        entries.push(entry);
    }
    entries.iter().for_each(|entry| entry.wait_until_ready(&record));
    lab::sleep_ms(3_000);
    let addresses: Vec<_> = entries.iter().map(Entry::calls).collect();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for session in 0..SESSIONS {
        let (addresses, runs, record) = (addresses.clone(), runs.clone(), record.clone());
        std::thread::spawn(move || {
            let mut state = session as u64;
            loop {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let instance = (state >> 33) as usize % addresses.len();
                let fields = format!(
                    "Session: s-{session}\r\nX-Model: m2\r\nX-Token-Usage: 100,9\r\nX-Prompt-Prefix: 1:50,{:x}:50\r\nContent-Length: 2\r\n\r\n{{}}",
                    100 + session
                );
                let id = lab::next_id();
                let text = lab::request_head("POST", "/tell/1", &id, 20_000, &fields);
                let sent = Instant::now();
                let answer =
                    lab::call(addresses[instance], text.as_bytes(), Duration::from_secs(5));
                let version = answer.as_ref().map_or("", |answer| answer.header("X-Version"));
                let status = answer.as_ref().map_or(0, lab::Message::status);
                let version = version.to_owned();
                record.line(&format!(
                    "session {session}: {id} at instance {} answered {status} {version}",
                    instance + 1
                ));
                let ended = Instant::now();
                runs.lock().unwrap().push(Run { sent, ended, session, instance, status, version });
                lab::sleep_ms(500);
            }
        });
    }
    lab::sleep_ms(1_500);
    let copy = store.copy();
    lab::sleep_ms(1_000);
    let _new_replicas = start_replicas("new", "v2", &store);
    store.put("op/rollout/pool", ORDER);
    record.line("the operator orders v2");
    let ordered_at = Instant::now();
    lab::sleep_ms(2_500);
    if !lab::is_calm() {
        store.go_away();
        record.line("the store is away");
        lab::sleep_ms(300);
        entries[KILLED].kill();
        record.line(&format!("instance {} is killed", KILLED + 1));
        lab::sleep_ms(1_200);
        store.restore(copy);
        record.line("the store is back with its state from before the order");
        entries[KILLED].start_again();
        record.line(&format!("instance {} is started again", KILLED + 1));
        lab::sleep_ms(100);
        store.put("op/rollout/pool", ORDER);
        record.line("the operator writes the order again");
    }
    let back_at = Instant::now();
    let (mut last_status, mut completed_at) = (String::new(), None);
    while ordered_at.elapsed() < RUN_TIME {
        let status = store.get("status/rollout/pool").unwrap_or_default();
        if status != last_status {
            record.line(&format!("status/rollout/pool: {status}"));
            last_status.clone_from(&status);
        }
        if status.contains("completed") && completed_at.is_none() {
            for replica in &old_replicas {
                replica.stop();
                store.delete(&format!("servers/{}", replica.name));
            }
            completed_at = Some(Instant::now());
            record.line("the platform stops the old replicas");
        }
        lab::sleep_ms(50);
    }
    let runs = runs.lock().unwrap().clone();
    let mut moved_back = 0;
    for (index, run) in runs.iter().enumerate() {
        let before = runs[..index].iter().rfind(|other| other.session == run.session);
        let is_after = before.is_some_and(|other| {
            other.version == "v2" && run.sent.saturating_duration_since(other.ended) < SESSION_TIME
        });
        if is_after && run.version == "v1" && run.sent > back_at + STABLE_WINDOW {
            moved_back += 1;
        }
    }
    for instance in 0..addresses.len() {
        let after = runs.iter().filter(|run| {
            run.instance == instance && completed_at.is_some_and(|at| run.sent > at)
        });
        let (mut all, mut served) = (0, 0);
        for run in after {
            all += 1;
            served += i32::from(run.status == 200);
        }
        record.say(&format!(
            "instance {}: of {all} requests after the rollout was completed, {served} served",
            instance + 1
        ));
    }
    record.say(&format!("status at the end: {last_status}"));
    record.say(&format!(
        "requests that ran on the old version after the new one in their session: {moved_back}, allowed {ALLOWED}"
    ));
    let is_broken = moved_back > ALLOWED;
    record.say(if is_broken { "rule broken" } else { "rule held" });
    drop(entries);
    store.is_away.store(true, Ordering::SeqCst);
    lab::end_all();
    std::process::exit(i32::from(is_broken));
}

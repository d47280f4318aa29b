//! All open channels between the machines and the store go silent, while new ones work. A key is taken
//! away shortly after. No machine may serve it once it is in touch again.

mod harness;

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use harness::{Entry, EntrySettings, Link, Record, Replica, Store};

/// Machines by zone, as in the site file.
const MACHINES: [(&str, usize); 4] = [("evesham", 2), ("pershore", 3), ("ledbury", 2), ("tenbury", 1)];
const ROUNDS: u32 = 5;
/// Time from the silence to the change.
const CHANGE_DELAY: Duration = Duration::from_millis(300);
/// `configApplyMs` and `stableWindowMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a machine that still serves the key is no longer asked.
const LONGEST_LAG: Duration = Duration::from_secs(8);
/// Time between two rounds.
const REST: Duration = Duration::from_secs(7);

fn config_with_keys(version: u32, keys: &[String]) -> String {
    let routes = [harness::route("book", "unsafe", "desk", 1_500, 1, "")];
    let text = harness::config(version, &routes, &["desk"], 4_194_304);
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    text.replace("\"key-1\",\"key-2\"", &keys.join(","))
}

fn call_with_key(entry: &Entry, id: &str, key: &str) -> Option<u16> {
    let mut conn = harness::Conn::connect(entry.calls(), Duration::from_secs(1)).ok()?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let head = harness::call_head("/book/slot", id, 1_500, "Content-Length: 4\r\n");
    let head = head.replace("Bearer key-1", &format!("Bearer {key}"));
    conn.send(format!("{head}book").as_bytes()).ok()?;
    conn.read_response().ok().map(|answer| answer.status)
}

fn main() -> ExitCode {
    let record = Record::open();
    let is_calm = harness::is_calm();
    let store = Store::start();
    let mut keys: Vec<String> = (1..=ROUNDS + 1).map(|index| format!("key-{index}")).collect();
    let mut version = 7;
    store.put("op/config", &config_with_keys(version, &keys));
    let replica = Replica::start("r-1", |replica, request, conn| {
        replica.record_run(request.header("X-Request-Id"));
        conn.send(&replica.good_answer(request, b"booked")).is_ok()
    });
    replica.list(&store, "desk", 8);
    let (mut links, mut entries) = (Vec::new(), Vec::new());
    for (zone, count) in MACHINES {
        for index in 1..=count {
            let link = Link::start(store.address);
            let settings = EntrySettings { zone, ..EntrySettings::default() };
            entries.push(Entry::start(&format!("{zone}-{index}"), link.address, &settings));
            links.push(link);
        }
    }
    if !entries.iter().all(Entry::wait_ready) {
        record.line("an instance does not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(5));
    let mut late_runs = 0;
    for round in 1..=ROUNDS {
        let key = keys.pop().expect("a key for each round");
        for entry in &entries {
            let before = call_with_key(entry, &format!("before-{round}-{}", entry.name), &key);
            if before != Some(200) {
                record.line(format!("round {round}: {key} at {} before it is taken away: {before:?}", entry.name));
                return ExitCode::from(2);
            }
        }
        record.line(format!("round {round}: {key} is served by all"));
        if !is_calm {
            links.iter().for_each(Link::silence_open);
            record.line(format!("round {round}: open channels to the store are silent, new ones work"));
        }
        let silent_at = Instant::now();
        thread::sleep(CHANGE_DELAY);
        version += 3;
        store.put("op/config", &config_with_keys(version, &keys));
        let acked_at = Instant::now();
        record.line(format!("round {round}: version {version} without {key} acked"));
        // From then on the machines are in touch and bound by the version.
        let stable_at = if is_calm { acked_at } else { silent_at + STABLE_WINDOW };
        let bound_at = (acked_at + CONFIG_APPLY).max(stable_at);
        let bound_ms = bound_at.duration_since(acked_at).as_millis();
        late_runs += thread::scope(|scope| {
            let probe = |entry: &Entry| {
                let (mut index, mut runs) = (0, 0);
                while acked_at.elapsed() < LONGEST_LAG {
                    index += 1;
                    let (id, sent_at) = (format!("late-{round}-{}-{index}", entry.name), Instant::now());
                    let answer = call_with_key(entry, &id, &key);
                    let after_ack = sent_at.duration_since(acked_at).as_millis();
                    if answer == Some(200) && sent_at > bound_at {
                        runs += replica.run_count(&id);
                        record.line(format!("round {round}: {id} with {key}, sent {after_ack} ms after the ack: 200, run {} times", replica.run_count(&id)));
                    }
                    if answer == Some(401) {
                        record.line(format!("round {round}: {} refuses {key} from {after_ack} ms after the ack; bound from {bound_ms} ms", entry.name));
                        break;
                    }
                    thread::sleep(CALL_INTERVAL);
                }
                runs
            };
            let probes: Vec<_> = entries.iter().map(|entry| scope.spawn(move || probe(entry))).collect();
            probes.into_iter().map(|probe| probe.join().unwrap_or(0)).sum::<u32>()
        });
        thread::sleep(REST);
    }
    record.line(format!("requests run with a key that was taken away, by machines in touch: {late_runs}"));
    record.line(if late_runs > 0 { "BROKEN: CONFIG" } else { "held" });
    ExitCode::from(u8::from(late_runs > 0))
}

//! All open channels between the machines and the store go silent, while new ones work. A version of the
//! config that drops a route and a key follows shortly after. No machine may serve either once it is in
//! touch again.

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

/// Config with the routes and keys of these numbers.
fn config_of(version: u32, numbers: &[u32]) -> String {
    let route = |number: &u32| harness::route(&format!("book-{number}"), "unsafe", "desk", 1_500, 1, "");
    let routes: Vec<String> = numbers.iter().map(route).collect();
    let text = harness::config(version, &routes, &["desk"], 4_194_304);
    let keys: Vec<String> = numbers.iter().map(|number| format!("\"key-{number}\"")).collect();
    text.replace("\"key-1\",\"key-2\"", &keys.join(","))
}

fn call(entry: &Entry, id: &str, route: u32, key: u32) -> Option<u16> {
    let mut conn = harness::Conn::connect(entry.calls(), Duration::from_secs(1)).ok()?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let path = format!("/book-{route}/slot");
    let head = harness::call_head(&path, id, 1_500, "Content-Length: 4\r\n");
    let head = head.replace("Bearer key-1", &format!("Bearer key-{key}"));
    conn.send(format!("{head}book").as_bytes()).ok()?;
    conn.read_response().ok().map(|answer| answer.status)
}

fn main() -> ExitCode {
    let record = Record::open();
    let is_calm = harness::is_calm();
    let store = Store::start();
    let mut numbers: Vec<u32> = (1..=ROUNDS + 1).collect();
    let mut version = 7;
    store.put("op/config", &config_of(version, &numbers));
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
    let (mut late_routes, mut late_keys) = (0, 0);
    for round in 1..=ROUNDS {
        let dropped = numbers.pop().expect("a route and a key for each round");
        for entry in &entries {
            let before = call(entry, &format!("before-{round}-{}", entry.name), dropped, dropped);
            if before != Some(200) {
                record.line(format!("round {round}: route and key {dropped} at {} before they are dropped: {before:?}", entry.name));
                return ExitCode::from(2);
            }
        }
        record.line(format!("round {round}: route and key {dropped} are served by all"));
        if !is_calm {
            links.iter().for_each(Link::silence_open);
            record.line(format!("round {round}: open channels to the store are silent, new ones work"));
        }
        let silent_at = Instant::now();
        thread::sleep(CHANGE_DELAY);
        version += 3;
        store.put("op/config", &config_of(version, &numbers));
        let acked_at = Instant::now();
        record.line(format!("round {round}: version {version} without route and key {dropped} acked"));
        // From then on the machines are in touch and bound by the version.
        let stable_at = if is_calm { acked_at } else { silent_at + STABLE_WINDOW };
        let bound_at = (acked_at + CONFIG_APPLY).max(stable_at);
        let bound_ms = bound_at.duration_since(acked_at).as_millis();
        let (routes, keys) = thread::scope(|scope| {
            let probe = |entry: &Entry| {
                let (mut index, mut routes, mut keys) = (0, 0, 0);
                while acked_at.elapsed() < LONGEST_LAG {
                    index += 1;
                    let sent_at = Instant::now();
                    let after_ack = sent_at.duration_since(acked_at).as_millis();
                    // The dropped route with a key that stays, and a route that stays with the dropped key.
                    let (route_id, key_id) =
                        (format!("route-{round}-{}-{index}", entry.name), format!("key-{round}-{}-{index}", entry.name));
                    let route_answer = call(entry, &route_id, dropped, 1);
                    let key_answer = call(entry, &key_id, 1, dropped);
                    if sent_at > bound_at {
                        let (route_runs, key_runs) = (replica.run_count(&route_id), replica.run_count(&key_id));
                        (routes, keys) = (routes + route_runs, keys + key_runs);
                        if route_runs + key_runs > 0 {
                            record.line(format!("round {round}: {}, sent {after_ack} ms after the ack: {route_id} {route_answer:?}, run {route_runs} times; {key_id} {key_answer:?}, run {key_runs} times", entry.name));
                        }
                    }
                    if (route_answer, key_answer) == (Some(404), Some(401)) {
                        record.line(format!("round {round}: {} refuses both from {after_ack} ms after the ack; bound from {bound_ms} ms", entry.name));
                        break;
                    }
                    thread::sleep(CALL_INTERVAL);
                }
                (routes, keys)
            };
            let probes: Vec<_> = entries.iter().map(|entry| scope.spawn(move || probe(entry))).collect();
            let found = probes.into_iter().map(|probe| probe.join().unwrap_or((0, 0)));
            found.fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1))
        });
        (late_routes, late_keys) = (late_routes + routes, late_keys + keys);
        thread::sleep(REST);
    }
    record.line(format!("run by machines in touch: {late_routes} requests on a dropped route, {late_keys} with a dropped key"));
    // The bound of a dropped route alone decides.
    record.line(if late_routes > 0 { "BROKEN: CONFIG" } else { "held" });
    ExitCode::from(u8::from(late_routes > 0))
}

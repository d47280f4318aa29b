//! Callers send prompts of many parts, each in a head within `maxHeaderBytes`.
//!
//! Ordinary callers look up meanwhile. The rule is broken if more than half of those look-ups that have no
//! answer at the time-out of their route have none half a second later, and these are eight or more.

mod lab;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lab::{Channel, Entry, MachineLimits, Record, Replica, Store};

/// Channels of the callers with long prompts.
const CHANNELS: u64 = 100;
/// Parts of one of their prompts, and in the run without the disruption.
const PARTS: u64 = 2_100;
const CALM_PARTS: u64 = 3;
/// Time for which ordinary callers look up, after the others have begun.
const LOOK_TIME: Duration = Duration::from_secs(30);
const WARM_UP: Duration = Duration::from_secs(6);
/// Time-out of the route of the look-ups, and the time after it within which they must have an answer.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const MIN_LATE: usize = 8;

/// Sends prompts one after the other; each part has an identifier of four hexadecimal digits.
fn press(address: std::net::SocketAddr, seed: u64, parts: u64, counts: Arc<[AtomicU64; 2]>) {
    let mut state = seed;
    loop {
        let Ok(mut channel) = Channel::connect(address) else { return };
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(20)));
        loop {
            let ids = (0..parts).map(|_| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                format!("{:x}:2", 0x1000 + (state >> 33) % 0xf000)
            });
            let list = ids.collect::<Vec<_>>().join(",");
            let fields = format!(
                "X-Model: m2\r\nX-Token-Usage: {},9\r\nX-Prompt-Prefix: {list}\r\nContent-Length: 2\r\n\r\n{{}}",
                parts * 2
            );
            let text = lab::request_head("POST", "/tell/1", &lab::next_id(), 20_000, &fields);
            assert!(text.len() <= 16_384 + 2);
            counts[0].fetch_add(1, Ordering::Relaxed);
            if !channel.send(text.as_bytes()) {
                break;
            }
            let Some(answer) = channel.read_message() else { break };
            if answer.status() == 200 {
                counts[1].fetch_add(1, Ordering::Relaxed);
            } else {
                lab::sleep_ms(500);
            }
        }
    }
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap());
    let folder = lab::temporary_folder();
    let store = Store::start(false);
    store.put("op/config", &lab::config_text(7));
    let stream: lab::Handler = Arc::new(|request, channel| {
        let fields = lab::success_fields(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        channel.send(head.as_bytes())
            && (1..=3).all(|number| {
                let event = format!("id: {number}\ndata: three tokens of text\n\n");
                channel.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
            })
            && channel.send(b"0\r\n\r\n")
    });
    let desk: lab::Handler = Arc::new(|request, channel| {
        lab::sleep_ms(15);
        channel.answer(200, &lab::success_fields(request), b"in stock")
    });
    let beats = Arc::new(AtomicBool::new(true));
    let mut replicas = Vec::new();
    for number in 1..=18 {
        let name = format!("i-pool-{number}");
        replicas.push(Replica::start(&name, "pool", "v1", 64, stream.clone()));
    }
    for number in 1..=4 {
        let name = format!("i-desk-{number}");
        replicas.push(Replica::start(&name, "desk", "v1", 6, desk.clone()));
    }
    replicas.iter().for_each(|replica| replica.beat(&store, beats.clone()));
    let entry =
        Entry::start("entry-1", &folder, store.address, &[], MachineLimits::default(), true);
    entry.wait_until_ready(&record);
    lab::sleep_ms(2_000);
    let address = entry.calls();
    let parts = if lab::is_calm() { CALM_PARTS } else { PARTS };
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    for seed in 1..=CHANNELS {
        let counts = counts.clone();
        std::thread::spawn(move || press(address, seed * 7_919, parts, counts));
    }
    std::thread::sleep(WARM_UP);
    let looks: Arc<Mutex<Vec<(u16, Duration)>>> = Arc::default();
    let started = Instant::now();
    while started.elapsed() < LOOK_TIME {
        let (record, looks) = (record.clone(), looks.clone());
        std::thread::spawn(move || {
            let id = lab::next_id();
            let text = lab::request_head("GET", "/look/1", &id, 3_000, "\r\n");
            let sent = Instant::now();
            let answer = lab::call(address, text.as_bytes(), Duration::from_secs(10));
            let (status, time) = (answer.map_or(0, |answer| answer.status()), sent.elapsed());
            record.line(&format!("look-up {id} answered {status} after {} ms", time.as_millis()));
            looks.lock().unwrap().push((status, time));
        });
        lab::sleep_ms(250);
    }
    lab::sleep_ms(11_000);
    let looks = looks.lock().unwrap().clone();
    let open = looks.iter().filter(|(_, time)| *time > ROUTE_TIMEOUT).count();
    let late = looks.iter().filter(|(_, time)| *time > ROUTE_TIMEOUT + ANSWER_SLACK).count();
    let served = looks.iter().filter(|(status, _)| *status == 200).count();
    let is_ready = entry.is_ready();
    record.say(&format!(
        "long prompts: sent {}, answered {}; the machine says it is ready: {is_ready}",
        counts[0].load(Ordering::Relaxed),
        counts[1].load(Ordering::Relaxed)
    ));
    record.say(&format!(
        "look-ups: {}, answered with 200 {served}, without an answer at the time-out {open}, half a second later {late}",
        looks.len()
    ));
    let is_broken = late >= MIN_LATE && late * 2 > open;
    record.say(if is_broken { "rule broken" } else { "rule held" });
    drop(entry);
    lab::end_all();
    std::process::exit(i32::from(is_broken));
}

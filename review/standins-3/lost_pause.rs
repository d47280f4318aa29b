//! A replica asks for a pause, and its entry goes missing from the store for a while.
//!
//! The replica refuses one request with `Retry-After`. It is then cut off from the store, so that its entry
//! ends after three heartbeats, and comes back as the same process. The rule is broken if more than two
//! requests reach it between half a second after the refusal and the end of the time that it asked for.

mod lab;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lab::{Entry, MachineLimits, Record, Replica, Store};

/// Time that the replica asks for.
const PAUSE: Duration = Duration::from_secs(20);
/// Time for which it is cut off from the store.
const CUT: Duration = Duration::from_secs(5);
/// Time after the last heartbeat in which the store removes an entry.
const EXPIRY: Duration = Duration::from_millis(3_600);
const SLACK: Duration = Duration::from_millis(500);
const ALLOWED: usize = 2;

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap());
    let folder = lab::temporary_folder();
    let store = Store::start(false);
    store.put("op/config", &lab::config_text(7));
    let refused_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let asks = Arc::new(AtomicBool::new(false));
    let in_need: lab::Handler = {
        let (record, refused_at) = (record.clone(), refused_at.clone());
        let (arrivals, asks) = (arrivals.clone(), asks.clone());
        Arc::new(move |request, channel| {
            let id = request.header("X-Request-Id").to_owned();
            if asks.swap(false, Ordering::SeqCst) {
                *refused_at.lock().unwrap() = Some(Instant::now());
                record.line(&format!(
                    "i-desk-1 refuses {id}: 503, Retry-After {}",
                    PAUSE.as_secs()
                ));
                let fields = format!(
                    "X-Request-Id: {id}\r\nX-Not-Executed: 1\r\nRetry-After: {}\r\n",
                    PAUSE.as_secs()
                );
                return channel.answer(503, &fields, b"");
            }
            if refused_at.lock().unwrap().is_some() {
                arrivals.lock().unwrap().push(Instant::now());
                record.line(&format!("i-desk-1 runs {id}"));
            }
            lab::sleep_ms(60);
            channel.answer(200, &lab::success_fields(request), b"in stock")
        })
    };
    let sound: lab::Handler = Arc::new(|request, channel| {
        lab::sleep_ms(60);
        channel.answer(200, &lab::success_fields(request), b"in stock")
    });
    let first_beats = Arc::new(AtomicBool::new(true));
    let beats = Arc::new(AtomicBool::new(true));
    let first = Replica::start("i-desk-1", "desk", "v1", 6, in_need);
    first.beat(&store, first_beats.clone());
    for number in 2..=5 {
        let name = format!("i-desk-{number}");
        Replica::start(&name, "desk", "v1", 6, sound.clone()).beat(&store, beats.clone());
    }
    let entry =
        Entry::start("entry-1", &folder, store.address, &[], MachineLimits::default(), true);
    entry.wait_until_ready(&record);
    lab::sleep_ms(3_000);
    let address = entry.calls();
    let served = Arc::new(Mutex::new((0, 0)));
    {
        let (record, served) = (record.clone(), served.clone());
        std::thread::spawn(move || {
            loop {
                let (record, served) = (record.clone(), served.clone());
                std::thread::spawn(move || {
                    let id = lab::next_id();
                    let text = lab::request_head("GET", "/look/1", &id, 3_000, "\r\n");
                    let answer = lab::call(address, text.as_bytes(), Duration::from_secs(4));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("caller: {id} answered {status}"));
                    let mut served = served.lock().unwrap();
                    served.0 += 1;
                    served.1 += i32::from(status == 200);
                });
                lab::sleep_ms(15);
            }
        });
    }
    lab::sleep_ms(1_000);
    asks.store(true, Ordering::SeqCst);
    let asked_at = Instant::now();
    while refused_at.lock().unwrap().is_none() {
        if asked_at.elapsed() > Duration::from_secs(10) {
            lab::cannot_run(&record, "no request reached the replica");
        }
        lab::sleep_ms(10);
    }
    let refused_at = refused_at.lock().unwrap().unwrap();
    if !lab::is_calm() {
        lab::sleep_ms(1_000);
        first_beats.store(false, Ordering::SeqCst);
        let cut_at = Instant::now();
        record.line("i-desk-1 is cut off from the store");
        std::thread::sleep(EXPIRY);
        store.delete("servers/i-desk-1");
        record.line("the store removes the entry of i-desk-1");
        std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        first_beats.store(true, Ordering::SeqCst);
        record.line("i-desk-1 reaches the store again");
    }
    std::thread::sleep((PAUSE + SLACK).saturating_sub(refused_at.elapsed()));
    let arrivals = arrivals.lock().unwrap().clone();
    let within = arrivals.iter().filter(|at| **at > refused_at + SLACK && **at < refused_at + PAUSE);
    let within = within.count();
    let served = *served.lock().unwrap();
    record.say(&format!("callers: {} requests, {} answered with 200", served.0, served.1));
    record.say(&format!(
        "requests that reached i-desk-1 in the {} s that it asked for: {within}, allowed {ALLOWED}",
        PAUSE.as_secs()
    ));
    let is_broken = within > ALLOWED;
    record.say(if is_broken { "rule broken" } else { "rule held" });
    drop(entry);
    lab::end_all();
    std::process::exit(i32::from(is_broken));
}

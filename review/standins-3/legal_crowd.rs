//! A crowd of callers sends requests of legal size to two machines at once.
//!
//! The platform ends a process whose resident memory is over the limit of its machine, and starts it
//! again. The rule is broken if both machines are ended three times. Ordinary callers book meanwhile.

mod lab;

use std::io::Read as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lab::{Channel, Entry, MachineLimits, Record, Replica, Store};

/// Channels of the crowd to each machine. A machine has 4,100 descriptors.
const CROWD: usize = 2_000;
/// Bytes of the head of a request of the crowd; `maxHeaderBytes` is 16,384.
const HEAD_BYTES: usize = 16_000;
/// Bytes of its body, the mean of the sheet for `inspection-digest`; `maxBodyBytes` is 4 MiB.
const BODY_BYTES: usize = 17_000;
/// Longest time of the run.
const RUN_TIME: Duration = Duration::from_secs(75);
/// Time of the run without the crowd.
const CALM_TIME: Duration = Duration::from_secs(20);
/// Ends of a process by itself from which its machine counts, and the machines that it takes.
const ENDS: u64 = 3;
const MACHINES: usize = 2;

/// Channel of the crowd.
struct CrowdChannel {
    stream: Option<std::net::TcpStream>,
    received: Vec<u8>,
    send_at: Instant,
}

fn crowd_request() -> Vec<u8> {
    let fields = "X-Model: m2\r\nX-Token-Usage: 3720,40\r\nX-Prompt-Prefix: 1:2000,2:1720\r\n";
    let end = format!("Content-Length: {BODY_BYTES}\r\n\r\n");
    let mut text = lab::request_head("POST", "/tell/1", &lab::next_id(), 20_000, fields);
    let padding = HEAD_BYTES - text.len() - end.len() - "X-Client-Context: \r\n".len();
    text.push_str(&format!("X-Client-Context: {}\r\n{end}", "c".repeat(padding)));
    assert_eq!(text.len(), HEAD_BYTES);
    text.push_str(&"b".repeat(BODY_BYTES));
    text.into_bytes()
}

/// Seconds after which the answer allows the caller to return.
fn retry_after(head: &str) -> f64 {
    let line = head.lines().find_map(|line| line.strip_prefix("Retry-After: "));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or(1.0)
}

/// Keeps the channels of a crowd busy, as callers do that send again when they may.
fn press(address: SocketAddr, counts: Arc<[AtomicU64; 3]>) {
    let started = Instant::now();
    let mut channels: Vec<_> = (0..CROWD)
        .map(|number| CrowdChannel {
            stream: None,
            received: Vec::new(),
            send_at: started + Duration::from_millis(number as u64),
        })
        .collect();
    loop {
        let now = Instant::now();
        for channel in &mut channels {
            let Some(stream) = &mut channel.stream else {
                if now < channel.send_at {
                    continue;
                }
                channel.send_at = now + Duration::from_secs(1);
                let timeout = Duration::from_millis(500);
                let Ok(stream) = std::net::TcpStream::connect_timeout(&address, timeout) else {
                    continue;
                };
                let mut new = Channel::new(stream);
                if new.send(&crowd_request()) && new.stream.set_nonblocking(true).is_ok() {
                    counts[0].fetch_add(1, Ordering::Relaxed);
                    channel.stream = Some(new.stream);
                    channel.received.clear();
                }
                continue;
            };
            let mut part = [0; 4_096];
            match stream.read(&mut part) {
                Ok(0) => channel.stream = None,
                Ok(count) => channel.received.extend_from_slice(&part[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(_) => channel.stream = None,
            }
            if channel.stream.is_none() {
                channel.send_at = now + Duration::from_secs(1);
                continue;
            }
            let text = String::from_utf8_lossy(&channel.received);
            let is_success = text.starts_with("HTTP/1.1 200");
            if is_success && text.ends_with("\r\n0\r\n\r\n") {
                counts[1].fetch_add(1, Ordering::Relaxed);
                channel.stream = None;
                channel.send_at = now + Duration::from_millis(200);
            } else if !is_success && text.contains("\r\n\r\n") {
                counts[2].fetch_add(1, Ordering::Relaxed);
                let wait = Duration::from_secs_f64(retry_after(&text));
                channel.stream = None;
                channel.send_at = now + wait;
            }
        }
        lab::sleep_ms(10);
    }
}

/// Books four times a second, each time on a new channel.
fn book(machine: usize, address: SocketAddr, record: Record, lost: Arc<AtomicU64>) {
    loop {
        let (record, lost) = (record.clone(), lost.clone());
        std::thread::spawn(move || {
            let id = lab::next_id();
            let fields = "Content-Length: 4\r\n\r\nslot";
            let text = lab::request_head("POST", "/book/1", &id, 3_000, fields);
            let answer = lab::call(address, text.as_bytes(), Duration::from_secs(4));
            let status = answer.map_or(0, |answer| answer.status());
            if status != 200 {
                lost.fetch_add(1, Ordering::Relaxed);
            }
            record.line(&format!("machine {machine}: booking {id} answered {status}"));
        });
        lab::sleep_ms(250);
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
        // 20 events over 10 s.
        channel.send(head.as_bytes())
            && (1..=20).all(|number| {
                let event = format!("id: {number}\ndata: three tokens of text\n\n");
                let is_sent =
                    channel.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
                lab::sleep_ms(500);
                is_sent
            })
            && channel.send(b"0\r\n\r\n")
    });
    let desk: lab::Handler = Arc::new(|request, channel| {
        lab::sleep_ms(60);
        channel.answer(200, &lab::success_fields(request), b"booked")
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
    let limits = MachineLimits::default();
    let mut entries: Vec<_> = (1..=MACHINES)
        .map(|number| {
            Entry::start(&format!("entry-{number}"), &folder, store.address, &[], limits, true)
        })
        .collect();
    entries.iter().for_each(|entry| entry.wait_until_ready(&record));
    lab::sleep_ms(2_000);
    let counts: Vec<Arc<[AtomicU64; 3]>> = (0..MACHINES).map(|_| Arc::default()).collect();
    let lost: Vec<Arc<AtomicU64>> = (0..MACHINES).map(|_| Arc::default()).collect();
    for (index, entry) in entries.iter().enumerate() {
        let address = entry.calls();
        let (record, lost) = (record.clone(), lost[index].clone());
        std::thread::spawn(move || book(index + 1, address, record, lost));
        if !lab::is_calm() {
            let counts = counts[index].clone();
            std::thread::spawn(move || press(address, counts));
        }
    }
    let started = Instant::now();
    let run_time = if lab::is_calm() { CALM_TIME } else { RUN_TIME };
    let mut ends = [0_u64; MACHINES];
    let mut peaks = [0_u64; MACHINES];
    let mut next_line = started;
    while started.elapsed() < run_time && !ends.iter().all(|count| *count >= ENDS) {
        lab::sleep_ms(100);
        for (index, entry) in entries.iter_mut().enumerate() {
            if entry.has_exited() {
                ends[index] += 1;
                record.line(&format!("machine {}: the process ended by itself", index + 1));
                entry.kill_and_start();
                continue;
            }
            let memory = entry.memory().unwrap_or(0);
            peaks[index] = peaks[index].max(memory);
            if memory > limits.memory_mb * 1_048_576 {
                ends[index] += 1;
                record.say(&format!(
                    "machine {}: {memory} bytes of resident memory, over {} MB; the platform ends the process",
                    index + 1,
                    limits.memory_mb
                ));
                entry.signal("KILL");
                lab::sleep_ms(300);
                entry.kill_and_start();
            }
        }
        if Instant::now() >= next_line {
            next_line += Duration::from_secs(1);
            for index in 0..MACHINES {
                let count = |kind: usize| counts[index][kind].load(Ordering::Relaxed);
                record.line(&format!(
                    "machine {}: crowd sent {}, whole streams {}, refused {}; peak memory {} bytes",
                    index + 1,
                    count(0),
                    count(1),
                    count(2),
                    peaks[index]
                ));
            }
        }
    }
    let is_broken = ends.iter().all(|count| *count >= ENDS);
    for index in 0..MACHINES {
        record.say(&format!(
            "machine {}: process ended {} times, peak memory {} bytes, bookings without a success {}",
            index + 1,
            ends[index],
            peaks[index],
            lost[index].load(Ordering::Relaxed)
        ));
    }
    record.say(if is_broken { "rule broken" } else { "rule held" });
    drop(entries);
    lab::end_all();
    std::process::exit(i32::from(is_broken));
}

//! Callers of four addresses hold all sockets of one instance that are for callers.
//!
//! Each sends a request of legal size, piece by piece, and stops just short of its end. Eight ordinary
//! callers try to open a channel meanwhile. The rule is broken if the instance says that it is ready for
//! `stableWindowMs`, and none of the ordinary callers gets a channel that is read in all that time.

mod lab;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd as _;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lab::{Channel, Entry, MachineLimits, Record, Replica, Store};

/// Channels of each of the addresses. A machine has 4,100 descriptors.
const CHANNELS: usize = 700;
const ADDRESSES: u8 = 4;
/// Bytes of the body of one of their requests, and those that are left out.
const BODY_BYTES: usize = 1_500;
const MISSING_BYTES: usize = 100;
const ORDINARY_CALLERS: usize = 8;
const RUN_TIME: Duration = Duration::from_secs(10);
/// Longest time for the crowd to open its channels.
const OPEN_TIME: Duration = Duration::from_secs(8);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

#[repr(C)]
struct InternetAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const InternetAddress, length: u32) -> i32;
    fn connect(socket: i32, address: *const InternetAddress, length: u32) -> i32;
}

/// Connects from a local address, which the standard library cannot choose.
fn connect_from(local: Ipv4Addr, remote: SocketAddrV4) -> Option<TcpStream> {
    const INTERNET: u16 = 2;
    const STREAM: i32 = 1;
    let new = |address: Ipv4Addr, port: u16| InternetAddress {
        family: INTERNET,
        port: port.to_be_bytes(),
        address: address.octets(),
        zero: [0; 8],
    };
    let (local, remote) = (new(local, 0), new(*remote.ip(), remote.port()));
    let length = size_of::<InternetAddress>() as u32;
    // SAFETY: the addresses live through the calls, and the descriptor is owned by the stream alone.
    unsafe {
        let descriptor = socket(i32::from(INTERNET), STREAM, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let is_open = bind(descriptor, &local, length) == 0
            && connect(descriptor, &remote, length) == 0;
        is_open.then_some(stream)
    }
}

fn stalled_request() -> Vec<u8> {
    let fields = format!("Content-Length: {BODY_BYTES}\r\n\r\n");
    let mut text = lab::request_head("POST", "/book/1", &lab::next_id(), 3_000, &fields);
    text.push_str(&"b".repeat(BODY_BYTES - MISSING_BYTES));
    text.into_bytes()
}

/// Opens the channels of one address, and opens those again that did not come about, as the queue of new
/// channels may overflow. After that it keeps them.
fn hold(local: Ipv4Addr, remote: SocketAddrV4, opened: Arc<AtomicU64>) {
    let open = || {
        lab::sleep_ms(2);
        let mut stream = connect_from(local, remote)?;
        std::io::Write::write_all(&mut stream, &stalled_request()).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let mut channels: Vec<_> = (0..CHANNELS).map(|_| open()).collect();
    lab::sleep_ms(1_000);
    for channel in &mut channels {
        let is_open = channel.as_ref().is_some_and(|stream| {
            let peeked = stream.peek(&mut [0]);
            matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
        });
        if !is_open {
            *channel = open();
        }
    }
    opened.fetch_add(CHANNELS as u64, Ordering::Relaxed);
    std::thread::sleep(RUN_TIME * 2);
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap());
    let folder = lab::temporary_folder();
    let store = Store::start(false);
    store.put("op/config", &lab::config_text(7));
    let desk: lab::Handler = Arc::new(|request, channel| {
        lab::sleep_ms(15);
        channel.answer(200, &lab::success_fields(request), b"in stock")
    });
    let beats = Arc::new(AtomicBool::new(true));
    for number in 1..=4 {
        let name = format!("i-desk-{number}");
        Replica::start(&name, "desk", "v1", 6, desk.clone()).beat(&store, beats.clone());
    }
    let entry =
        Entry::start("entry-1", &folder, store.address, &[], MachineLimits::default(), true);
    entry.wait_until_ready(&record);
    lab::sleep_ms(2_000);
    let SocketAddr::V4(remote) = entry.calls() else { unreachable!() };
    let opened = Arc::new(AtomicU64::new(0));
    if !lab::is_calm() {
        for number in 1..=ADDRESSES {
            let (local, opened) = (Ipv4Addr::new(127, 10, 0, number), opened.clone());
            std::thread::spawn(move || hold(local, remote, opened));
        }
        let started = Instant::now();
        while opened.load(Ordering::Relaxed) < CHANNELS as u64 * u64::from(ADDRESSES) {
            if started.elapsed() > OPEN_TIME {
                lab::cannot_run(&record, "the crowd could not open its channels");
            }
            lab::sleep_ms(20);
        }
        record.line(&format!("the crowd has opened its channels in {} ms", started.elapsed().as_millis()));
        lab::sleep_ms(500);
    }
    let answers: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    for caller in 1..=ORDINARY_CALLERS {
        let (record, answers) = (record.clone(), answers.clone());
        std::thread::spawn(move || {
            loop {
                let id = lab::next_id();
                let text = lab::request_head("GET", "/look/1", &id, 3_000, "\r\n");
                let timeout = Duration::from_secs(1);
                let answer = Channel::connect(remote.into()).ok().and_then(|mut channel| {
                    channel.stream.set_read_timeout(Some(timeout)).ok()?;
                    if channel.send(text.as_bytes()) { channel.read_message() } else { None }
                });
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!("ordinary caller {caller}: {id} answered {status}"));
                answers.lock().unwrap().push((Instant::now(), status));
                lab::sleep_ms(200);
            }
        });
    }
    let started = Instant::now();
    let (mut ready_since, mut longest) = (None, Duration::ZERO);
    while started.elapsed() < RUN_TIME {
        let now = Instant::now();
        if entry.is_ready() {
            let last_answer = answers.lock().unwrap().iter().rfind(|(_, status)| *status != 0).map(|(at, _)| *at);
            let since = *ready_since.get_or_insert(now);
            let since = last_answer.map_or(since, |at| at.max(since));
            longest = longest.max(Instant::now().saturating_duration_since(since));
        } else {
            record.line("the instance does not say that it is ready");
            ready_since = None;
        }
        lab::sleep_ms(100);
    }
    let answers = answers.lock().unwrap().clone();
    let answered = answers.iter().filter(|(_, status)| *status != 0).count();
    record.say(&format!("channels of the four addresses: opened {}", opened.load(Ordering::Relaxed)));
    record.say(&format!(
        "{ORDINARY_CALLERS} ordinary callers: {} tries, {answered} answered; longest time that the instance says it is ready and answers none: {} ms, allowed {} ms",
        answers.len(),
        longest.as_millis(),
        STABLE_WINDOW.as_millis()
    ));
    let is_broken = longest > STABLE_WINDOW;
    record.say(if is_broken { "rule broken" } else { "rule held" });
    drop(entry);
    lab::end_all();
    std::process::exit(i32::from(is_broken));
}

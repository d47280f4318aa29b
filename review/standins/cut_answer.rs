//! The link between clients and an instance is cut for a moment while large answers are on it. What
//! clients then take for complete answers must be those of the replica.

use std::collections::BTreeMap;
use std::ffi::{c_int, c_void};
use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::CaseOutcome;
use crate::entry::{DeploymentSettings, EntryProcess};
use crate::operator::ConfigRecord;
use crate::record::RunRecord;
use crate::replica::{self, ReplicaStandin};
use crate::store::StoreStandin;
use crate::{client, http};

/// `timeoutMs` of the route.
const TIMEOUT_MS: u64 = 1_500;
/// Time for which the link is cut, counted from when the answer is on it. `node_cut` may last 5.5 s.
const CUT_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a client waits for further bytes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer and segment size of the link, which has small windows, unlike the loopback device.
const WINDOW_BYTES: c_int = 16 * 1_024;
const SEGMENT_BYTES: c_int = 1_460;
/// Answer that is larger than all buffers on the way.
const PROBE_BYTES: usize = 2_000_000;
/// Sizes beyond what the buffers take, in steps; an answer of the router has over 200 bytes.
const SIZE_STEP: usize = 45;
const SIZES: usize = 4;
/// Different measures of the buffers that are used in one round, and answers that measure them first.
const MEASURES: usize = 4;
const PROBES: usize = 12;
const ROUNDS: usize = 4;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

#[repr(C)]
struct Ipv4SocketAddress {
    family: u16,
    /// In network byte order, like the address.
    port: [u8; 2],
    address: [u8; 4],
    padding: [u8; 8],
}

unsafe extern "C" {
    fn socket(family: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
    fn connect(socket: c_int, address: *const Ipv4SocketAddress, length: u32) -> c_int;
}

/// Connects with a small receive buffer and the segment size of a network.
fn connect_over_link(target: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(target) = target else { return None };
    let address = Ipv4SocketAddress {
        family: AF_INET as u16,
        port: target.port().to_be_bytes(),
        address: target.ip().octets(),
        padding: [0; 8],
    };
    let set = |descriptor: c_int, level, name, value: &c_int| {
        // SAFETY: the option takes an integer, which outlives the call.
        unsafe { setsockopt(descriptor, level, name, std::ptr::from_ref(value).cast(), 4) }
    };
    // SAFETY: the call takes integers only; the result is checked.
    let descriptor = unsafe { socket(AF_INET, SOCK_STREAM, 0) };
    if descriptor < 0 {
        return None;
    }
    // SAFETY: the descriptor is open and owned by nothing else.
    let stream = unsafe { TcpStream::from_raw_fd(descriptor) };
    set(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES);
    set(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES);
    let length = size_of::<Ipv4SocketAddress>() as u32;
    // SAFETY: the address outlives the call and has the stated length.
    let outcome = unsafe { connect(descriptor, &address, length) };
    (outcome == 0).then_some(stream)
}

/// Link to an instance with small windows. While it is cut, it forwards no answers.
struct LinkProxy {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl LinkProxy {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the link");
        let address = listener.local_addr().expect("the link has an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let cut = cut.clone();
                std::thread::spawn(move || forward(&caller, target, &cut));
            }
        });
        Self { address, is_cut }
    }

    fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn forward(caller: &TcpStream, target: SocketAddr, is_cut: &AtomicBool) -> Option<()> {
    let server = connect_over_link(target)?;
    let (mut requests, mut to_server) = (caller.try_clone().ok()?, server.try_clone().ok()?);
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut requests, &mut to_server);
        let _ = to_server.shutdown(Shutdown::Write);
    });
    let (mut answers, mut to_caller) = (server, caller.try_clone().ok()?);
    let mut buffer = [0; 8 * 1_024];
    loop {
        while is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let count = answers.read(&mut buffer).unwrap_or(0);
        if count == 0 {
            return to_caller.shutdown(Shutdown::Write).ok();
        }
        to_caller.write_all(&buffer[..count]).ok()?;
    }
}

/// What a client received: all bytes until its answer was complete or the channel ended.
struct ReceivedAnswer {
    head: http::HttpMessage,
    body: Vec<u8>,
    is_complete: bool,
}

/// Makes one request and reads its answer, however long that takes.
fn request(address: SocketAddr, id: &str, size: usize) -> Option<ReceivedAnswer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let path = format!("/look/1?size={size}");
    stream.write_all(client::head(&path, id, "key-1", 0).as_bytes()).ok()?;
    let mut reader = http::MessageReader::new(stream);
    let head = reader.read_head().ok()?;
    let length: usize = head.header("Content-Length").parse().ok()?;
    let body = reader.read_up_to(length);
    let is_complete = body.len() == length;
    Some(ReceivedAnswer { head, body, is_complete })
}

/// Number of bytes at the start of an answer that are the replica's.
fn good_bytes(answer: &ReceivedAnswer, id: &str, size: usize) -> usize {
    let expected = replica::body_of(id, size);
    answer.body.iter().zip(&expected).take_while(|(one, other)| one == other).count()
}

pub fn run(record: &RunRecord, has_trouble: bool) -> CaseOutcome {
    let store = StoreStandin::start();
    let replica = ReplicaStandin::start("i-1", Duration::from_millis(15));
    replica.register(&store);
    let config = ConfigRecord {
        version: 10,
        further_routes: 0,
        keys: vec!["key-1"],
        timeout_ms: TIMEOUT_MS,
    };
    store.put("op/config", &config.text());
    let settings = DeploymentSettings { store: store.address, memory_mb: 260 };
    let Some(entry) = EntryProcess::start(1, settings) else { return CaseOutcome::NotRun };
    let link = LinkProxy::start(entry.front());
    if request(link.address, "calm", 800).is_none_or(|answer| !answer.is_complete) {
        record.add("the calm deployment does not answer");
        return CaseOutcome::NotRun;
    }
    let cut_during = |sizes: &[(String, usize)]| {
        link.set_cut(has_trouble);
        record.add(format!("{} requests; link cut: {has_trouble}", sizes.len()));
        let clients = sizes.iter().map(|(id, size)| {
            let (address, id, size) = (link.address, id.clone(), *size);
            std::thread::spawn(move || request(address, &id, size))
        });
        let clients: Vec<_> = clients.collect();
        if has_trouble {
            std::thread::sleep(CUT_TIME);
        }
        link.set_cut(false);
        record.add("link restored");
        clients.into_iter().map(|client| client.join().ok().flatten()).collect::<Vec<_>>()
    };
    // How much of an answer the buffers on the way take shows in answers that are much larger. It
    // varies, so each round adds its own measures.
    let probes: Vec<_> =
        (1..=PROBES).map(|index| (format!("probe-{index}"), PROBE_BYTES)).collect();
    let mut measures: BTreeMap<usize, usize> = BTreeMap::new();
    for ((id, size), answer) in probes.iter().zip(cut_during(&probes)) {
        let Some(answer) = answer else { continue };
        let good = good_bytes(&answer, id, *size);
        let rest = String::from_utf8_lossy(&answer.body[good..]);
        let rest: String = rest.chars().take(60).collect();
        let received = answer.body.len();
        record.add(format!(
            "{id}: {received} of {size} bytes, the first {good} are the replica's; after them: {rest:?}"
        ));
        *measures.entry(good).or_default() += 1;
    }
    if measures.is_empty() || (has_trouble && measures.contains_key(&PROBE_BYTES)) {
        record.add("the buffers on the way take the whole answer, or there is none");
        return CaseOutcome::NotRun;
    }
    let mut broken = 0;
    for round in 1..=ROUNDS {
        let mut bases: Vec<_> = measures.iter().map(|(base, count)| (*count, *base)).collect();
        bases.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
        let bases = bases.iter().take(MEASURES).map(|(_, base)| *base);
        let sizes = bases.flat_map(|base| (1..=SIZES).map(move |step| base + step * SIZE_STEP));
        let sizes: Vec<_> =
            sizes.enumerate().map(|(index, size)| (format!("r{round}-{index}"), size)).collect();
        for ((id, size), answer) in sizes.iter().zip(cut_during(&sizes)) {
            let Some(answer) = answer else {
                record.add(format!("request {id} ({size} bytes): no answer"));
                continue;
            };
            let good = good_bytes(&answer, id, *size);
            let is_good = good == *size;
            let is_success = (200..300).contains(&answer.head.status());
            let is_broken = is_success && answer.is_complete && !is_good;
            broken += usize::from(is_broken);
            if has_trouble && !is_good {
                *measures.entry(good).or_default() += 1;
            }
            let end = &answer.body[answer.body.len().saturating_sub(60)..];
            let note = if is_broken {
                let end = String::from_utf8_lossy(end);
                format!("  BROKEN: body is not the replica's, it ends with {end:?}")
            } else {
                String::new()
            };
            record.add(format!(
                "request {id} ({size} bytes): {}, {} bytes, complete: {}, the first {good} are the \
                 replica's, signature: {:?}{note}",
                answer.head.status(),
                answer.body.len(),
                answer.is_complete,
                answer.head.header("X-Response-Signature"),
            ));
        }
    }
    record.add(format!("{broken} successes with a body that is not the replica's"));
    if broken > 0 { CaseOutcome::Broken } else { CaseOutcome::Held }
}

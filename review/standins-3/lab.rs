//! Stand-ins of the platform's store, of replicas and of callers, and the processes under test.
//! Uses the standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether the disruption of the case is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Ends the process with the code for a case that could not run.
pub fn cannot_run(record: &Record, cause: &str) -> ! {
    record.line(&format!("case could not run: {cause}"));
    println!("case could not run: {cause}");
    // Processes are ended by the caller's guards only on return, so they are ended here.
    end_all();
    std::process::exit(2);
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that this case started.
pub fn end_all() {
    for child in CHILDREN.lock().unwrap().drain(..) {
        signal(child, "KILL");
    }
}

pub fn signal(process: u32, name: &str) {
    let mut command = Command::new("kill");
    // The process may have ended already.
    let _ = command.args([&format!("-{name}"), &process.to_string()]).stderr(Stdio::null()).status();
}

// Record ---------------------------------------------------------------------------------------

/// File with what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).unwrap();
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{time:9.3} {text}");
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// Hosts ----------------------------------------------------------------------------------------

static NEXT_HOST: AtomicU16 = AtomicU16::new(1);

/// Unused loopback address, so that all processes can use the same ports.
pub fn next_host() -> Ipv4Addr {
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let network = 20 + (process % 200) as u8;
    Ipv4Addr::new(127, network, ((process / 200) % 250) as u8, host as u8)
}

// JSON -----------------------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(rows) => {
                rows.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> i64 {
        if let Json::Number(number) = self { *number as i64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Json {
    skip_space(bytes, at);
    match bytes.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at) {
                    Some(b'"') => {
                        let key = parse_text(bytes, at);
                        skip_space(bytes, at);
                        *at += 1;
                        rows.push((key, parse_value(bytes, at)));
                    }
                    Some(b',') => *at += 1,
                    _ => {
                        *at += 1;
                        return Json::Table(rows);
                    }
                }
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at) {
                    Some(b',') => *at += 1,
                    Some(b']') | None => {
                        *at += 1;
                        return Json::List(list);
                    }
                    _ => list.push(parse_value(bytes, at)),
                }
            }
        }
        Some(b'"') => Json::Text(parse_text(bytes, at)),
        _ => {
            let start = *at;
            while *at < bytes.len() && !matches!(bytes[*at], b',' | b'}' | b']') {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).unwrap_or("").trim();
            match word {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => word.parse().map_or(Json::Null, Json::Number),
            }
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> String {
    *at += 1;
    let mut text = Vec::new();
    while *at < bytes.len() && bytes[*at] != b'"' {
        if bytes[*at] == b'\\' {
            *at += 1;
            match bytes.get(*at) {
                Some(b'n') => text.push(b'\n'),
                Some(b'u') => *at += 4,
                Some(other) => text.push(*other),
                None => {}
            }
        } else {
            text.push(bytes[*at]);
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8_lossy(&text).into_owned()
}

pub fn base64(data: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in data.chunks(3) {
        let value = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                text.push(LETTERS[(value >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let value = |letter: u8| match letter {
        b'A'..=b'Z' => u32::from(letter - b'A'),
        b'a'..=b'z' => u32::from(letter - b'a') + 26,
        b'0'..=b'9' => u32::from(letter - b'0') + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut data = Vec::new();
    for part in text.as_bytes().chunks(4) {
        let padding = part.iter().filter(|letter| **letter == b'=').count();
        let bits = part.iter().fold(0, |bits, letter| (bits << 6) | (value(*letter) & 63));
        data.extend_from_slice(&bits.to_be_bytes()[1..4 - padding]);
    }
    data
}

// HTTP -----------------------------------------------------------------------------------------

/// Message that was read: the first line, the headers and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        value.unwrap_or("").replace("%3A", ":")
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Channel {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(2))?))
    }

    fn fill(&mut self) -> Option<usize> {
        let mut part = [0; 16_384];
        let count = self.stream.read(&mut part).ok()?;
        self.rest.extend_from_slice(&part[..count]);
        Some(count)
    }

    pub fn read_head(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned())).collect();
                return Some(Message { line, headers, body: Vec::new() });
            }
            if self.fill()? == 0 {
                return None;
            }
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.rest.len() < count {
            if self.fill()? == 0 {
                return None;
            }
        }
        Some(self.rest.drain(..count).collect())
    }

    fn take_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|part| part == b"\r\n") {
                let line = self.take(end + 2)?;
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return None;
            }
        }
    }

    /// Reads a message with its body. `None` if it does not arrive whole.
    pub fn read_message(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let size = usize::from_str_radix(self.take_line()?.trim(), 16).ok()?;
                let data = self.take(size)?;
                self.take_line()?;
                if size == 0 {
                    return Some(message);
                }
                message.body.extend_from_slice(&data);
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.take(length)?;
        Some(message)
    }

    pub fn send(&mut self, data: &[u8]) -> bool {
        self.stream.write_all(data).is_ok()
    }

    pub fn answer(&mut self, status: u16, fields: &str, body: &[u8]) -> bool {
        let mut text =
            format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: {}\r\n\r\n", body.len())
                .into_bytes();
        text.extend_from_slice(body);
        self.send(&text)
    }
}

// Store ----------------------------------------------------------------------------------------

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: i64,
    item: Option<Item>,
}

#[derive(Clone, Default)]
struct StoreState {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Time to live and end of each lease.
    leases: HashMap<i64, (u64, Option<Instant>)>,
    next_lease: i64,
    era: u64,
    /// Revisions up to this one have no history.
    history_start: i64,
}

impl StoreState {
    /// Writes a key at the present revision; the caller counts it up once for each call.
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = Event { key: key.to_owned(), revision: self.revision, item: None };
            self.events.push(event);
        }
    }

    fn end_lease(&mut self, lease: i64) -> bool {
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += i64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.delete(key));
        self.leases.remove(&lease).is_some()
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Whether calls are refused with 503 for now.
    pub is_away: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Store {
    pub fn start(states_era: bool) -> Self {
        let listener = TcpListener::bind((next_host(), 8223)).unwrap();
        let address = listener.local_addr().unwrap();
        let state = StoreState {
            revision: 100,
            next_lease: 1,
            era: u64::from(states_era),
            ..StoreState::default()
        };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            is_away: Arc::default(),
            channels: Arc::default(),
        };
        let (serving, expiring) = (store.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serving.channels.lock().unwrap().push(stream.try_clone().unwrap());
                let store = serving.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        thread::spawn(move || {
            loop {
                sleep_ms(50);
                let now = Instant::now();
                let (state, changed) = &*expiring.state;
                let mut state = state.lock().unwrap();
                let ended: Vec<_> = state
                    .leases
                    .iter()
                    .filter(|(_, (_, end))| end.is_some_and(|end| now >= end))
                    .map(|(lease, _)| *lease)
                    .collect();
                for lease in ended {
                    state.end_lease(lease);
                }
                changed.notify_all();
            }
        });
        store
    }

    /// Writes as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        {
            let mut state = state.lock().unwrap();
            state.revision += 1;
            state.put(key, &base64(value.as_bytes()), 0);
        }
        changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.state;
        {
            let mut state = state.lock().unwrap();
            state.revision += 1;
            state.delete(key);
        }
        changed.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&unbase64(&item.value)).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Copy of the whole state, for a later restoration.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().unwrap().clone())
    }

    /// Closes all channels and refuses calls until `restore` or `come_back`.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::SeqCst);
        for stream in self.channels.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn come_back(&self) {
        self.is_away.store(false, Ordering::SeqCst);
    }

    /// Comes back with an earlier state. The era rises by one.
    pub fn restore(&self, copy: StoreCopy) {
        let (state, changed) = &*self.state;
        {
            let mut state = state.lock().unwrap();
            let era = state.era;
            *state = copy.0;
            state.era = era + 1;
            state.history_start = state.revision;
            state.events.clear();
            // The time while the store was away does not count.
            for (ttl_ms, end) in state.leases.values_mut() {
                *end = Some(Instant::now() + Duration::from_millis(*ttl_ms));
            }
        }
        changed.notify_all();
        self.come_back();
    }

    fn serve(&self, mut channel: Channel) {
        while let Some(request) = channel.read_message() {
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            let (status, body) = self.handle(&request);
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            let era = self.state.0.lock().unwrap().era;
            let mut fields = "Content-Type: application/json\r\n".to_owned();
            if era > 0 {
                fields.push_str(&format!("Store-Era: {era}\r\n"));
            }
            if !channel.answer(status, &fields, body.as_bytes()) {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or("").to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (state, changed) = &*self.state;
        let ends_at = |ttl_ms: u64| Some(Instant::now() + Duration::from_millis(ttl_ms));
        if path == "/yuccareel/kv-key" {
            let key = request.query("key");
            let state = state.lock().unwrap();
            return match state.items.get(&key) {
                Some(item) => (200, item_text(&key, item)),
                None => (404, "{}".to_owned()),
            };
        }
        if path == "/yuccareel/kv-range" {
            let (prefix, after) = (request.query("prefix"), request.query("after"));
            let state = state.lock().unwrap();
            let matching =
                state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<_> = matching.map(|(key, item)| item_text(key, item)).collect();
            let (more, items) = (items.len() > 500, &items[..items.len().min(500)]);
            let body = format!(
                "{{\"items\":[{}],\"morePages\":{more},\"currentRev\":{}}}",
                items.join(","),
                state.revision
            );
            return (200, body);
        }
        if path == "/yuccareel/kv-watch" {
            let prefix = request.query("prefix");
            let after: i64 = request.query("after").parse().unwrap_or(0);
            let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(wait_ms);
            let mut state = state.lock().unwrap();
            let era = state.era;
            loop {
                if state.era != era || self.is_away.load(Ordering::SeqCst) {
                    return (410, "{}".to_owned());
                }
                if after < state.history_start || after > state.revision {
                    return (410, "{}".to_owned());
                }
                let events: Vec<_> = state
                    .events
                    .iter()
                    .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                    .map(|event| match &event.item {
                        Some(item) => item_text(&event.key, item),
                        None => format!(
                            "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
                            event.key, event.revision
                        ),
                    })
                    .collect();
                let now = Instant::now();
                if !events.is_empty() || now >= end {
                    let body = format!(
                        "{{\"events\":[{}],\"currentRev\":{}}}",
                        events.join(","),
                        state.revision
                    );
                    return (200, body);
                }
                state = changed.wait_timeout(state, end - now).unwrap().0;
            }
        }
        if path == "/yuccareel/kv-txn" {
            let body = Json::parse(&body);
            let mut state = state.lock().unwrap();
            let leases = body.get("puts").list().iter().map(|put| put.get("lease").number());
            if leases.into_iter().any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
                return (404, "{}".to_owned());
            }
            let conditions = body.get("expectedRevision").list();
            let holds = |row: &Json| {
                let item = state.items.get(row.get("key").text());
                item.map_or(0, |item| item.revision) == row.get("revision").number()
            };
            if !conditions.iter().all(holds) {
                let current = conditions.iter().filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| item_text(key, item))
                });
                let current: Vec<_> = current.collect();
                return (412, format!("{{\"items\":[{}]}}", current.join(",")));
            }
            state.revision += 1;
            for put in body.get("puts").list() {
                let lease = put.get("lease").number();
                state.put(put.get("key").text(), put.get("value").text(), lease);
            }
            for key in body.get("deletes").list() {
                state.delete(key.text());
            }
            let revision = state.revision;
            changed.notify_all();
            return (200, format!("{{\"revision\":{revision}}}"));
        }
        if path == "/yuccareel/kv-lease" {
            let ttl_ms = Json::parse(&body).get("ttlMs").number() as u64;
            let mut state = state.lock().unwrap();
            state.next_lease += 1;
            let lease = state.next_lease;
            state.leases.insert(lease, (ttl_ms, ends_at(ttl_ms)));
            return (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"));
        }
        if let Some(lease) = path.strip_prefix("/yuccareel/kv-keep/") {
            let mut state = state.lock().unwrap();
            return match state.leases.get_mut(&lease.parse().unwrap_or(0)) {
                Some((ttl_ms, end)) => {
                    *end = ends_at(*ttl_ms);
                    (200, format!("{{\"ttlMs\":{ttl_ms}}}"))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(lease) = path.strip_prefix("/yuccareel/kv-lease-end/") {
            let was_held = state.lock().unwrap().end_lease(lease.parse().unwrap_or(0));
            changed.notify_all();
            return (if was_held { 200 } else { 404 }, "{}".to_owned());
        }
        (404, "{}".to_owned())
    }
}

pub struct StoreCopy(StoreState);

// Replica --------------------------------------------------------------------------------------

/// Handler of a request: answers on the channel, and returns whether the channel is kept.
pub type Handler = Arc<dyn Fn(&Message, &mut Channel) -> bool + Send + Sync>;

/// Server of one replica.
#[derive(Clone)]
pub struct Replica {
    pub name: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: u32,
    /// Requests that were begun.
    pub arrivals: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Replica {
    pub fn start(name: &str, service: &str, version: &str, slots: u32, handler: Handler) -> Self {
        let listener = TcpListener::bind((next_host(), 8080)).unwrap();
        let replica = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms() - 60_000,
            slots,
            arrivals: Arc::default(),
            sequence: Arc::new(AtomicU64::new(1)),
            is_stopped: Arc::default(),
            channels: Arc::default(),
        };
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (replica, handler) = (serving.clone(), handler.clone());
                replica.channels.lock().unwrap().push(stream.try_clone().unwrap());
                let work = move || replica.serve(Channel::new(stream), &handler);
                let _ = thread::Builder::new().stack_size(128 * 1_024).spawn(work);
            }
        });
        replica
    }

    fn serve(&self, mut channel: Channel, handler: &Handler) {
        while let Some(request) = channel.read_message() {
            if self.is_stopped.load(Ordering::SeqCst) {
                break;
            }
            let is_kept = if request.target() == "/yuccareel/report" {
                let body = "{\"stage\":\"both\",\"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":1,\"handles\":0}";
                channel.answer(200, "Content-Type: application/json\r\n", body.as_bytes())
            } else if request.target() == "/healthz" {
                channel.answer(200, &format!("X-Instance-Id: {}\r\n", self.name), b"")
            } else if request.header("X-Expect-Instance") != self.name {
                channel.answer(421, &format!("X-Instance-Id: {}\r\n", self.name), b"")
            } else {
                self.arrivals.fetch_add(1, Ordering::SeqCst);
                handler(&request, &mut channel)
            };
            if !is_kept {
                break;
            }
        }
        let _ = channel.stream.shutdown(Shutdown::Both);
    }

    /// Ends the replica as a process that exits does.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for stream in self.channels.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
    }

    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    /// Writes the entry to the store.
    pub fn list(&self, store: &Store, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"evesham\",\"version\":\"{}\",\"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.version, self.slots, self.born
        );
        store.put(&format!("servers/{}", self.name), &entry);
    }

    /// Writes the entry at each heartbeat while `beats` is set, until the replica stops.
    pub fn beat(&self, store: &Store, beats: Arc<AtomicBool>) {
        let (replica, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            while !replica.is_stopped() {
                if beats.load(Ordering::SeqCst) && !store.is_away.load(Ordering::SeqCst) {
                    replica.list(&store, "ready");
                }
                sleep_ms(1_200);
            }
        });
    }
}

/// Headers of a success.
pub fn success_fields(request: &Message) -> String {
    let id = request.header("X-Request-Id");
    format!("X-Request-Id: {id}\r\nX-Response-Signature: 3e1b.07.{id}\r\n")
}

// Processes ------------------------------------------------------------------------------------

/// Limits of the machine in the settings.
#[derive(Clone, Copy)]
pub struct MachineLimits {
    pub memory_mb: u64,
    pub max_fds: u64,
}

impl Default for MachineLimits {
    /// Those of the small deployment `rungwell-hire`.
    fn default() -> Self {
        Self { memory_mb: 110, max_fds: 4_100 }
    }
}

/// Process of the project, started with the command of the deploy file.
pub struct Entry {
    pub name: String,
    pub host: Ipv4Addr,
    pub process: u32,
    child: Child,
    settings: PathBuf,
    folder: PathBuf,
}

impl Entry {
    pub fn start(
        name: &str,
        folder: &str,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
        limits: MachineLimits,
        is_first_start: bool,
    ) -> Self {
        let host = next_host();
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}:8229\"")).collect();
        let settings = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"entry\",\"machineClass\":\"front\",\"serves\":[\"front\",\"control\",\"directory\"],\
            \"ip\":\"{host}\",\"zone\":\"evesham\",\"region\":\"midlands\",\"zones\":{{\"evesham\":\"midlands\"}},\
            \"listen\":{{\"front\":\"{host}:8227\",\"ready\":\"{host}:8220\",\"control\":\"{host}:8229\",\"directory\":\"{host}:8224\"}},\
            \"internalPorts\":[7340,7355],\"seeds\":[{}],\"firstStart\":{is_first_start},\"inTolerance\":false,\
            \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":{},\"maxFds\":{},\"linkMbps\":1000.0,\"diskMb\":0}},\
            \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"directory\",\"heartbeatMs\":1200,\
            \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"platform\",\"rollout\"],\
            \"faultTolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\
            \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,\"failClosed\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.9,\"budgetWindowS\":10,\"retrySlack\":56,\"exposureShare\":0.15,\"exposureSlack\":30,\"rollbackMs\":5000,\"coldOverage\":1.5,\"coldSlack\":5,\"evacuateMs\":5000,\"recoveryS\":12,\"passMs\":120,\"reuseWindowS\":10,\"sessionS\":5,\"ttl_max_s\":5}},\
            \"platform\":{{\"address\":\"{store}\",\"form\":\"kv\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}}}",
            seeds.join(","), limits.memory_mb, limits.max_fds
        );
        let path = PathBuf::from(folder).join(format!("{name}.json"));
        std::fs::write(&path, settings).unwrap();
        let child = Self::spawn(name, &path, folder);
        let folder = PathBuf::from(folder);
        Self { name: name.to_owned(), host, process: child.id(), child, settings: path, folder }
    }

    fn spawn(name: &str, settings: &PathBuf, folder: &str) -> Child {
        let log = File::options()
            .create(true)
            .append(true)
            .open(PathBuf::from(folder).join(format!("{name}.log")))
            .unwrap();
        let program = std::env::var("ENTRY_PROGRAM")
            .unwrap_or_else(|_| "target/release/yuccareel-entry".to_owned());
        let child = Command::new(program)
            .env("YUCCAREEL_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap();
        CHILDREN.lock().unwrap().push(child.id());
        child
    }

    pub fn signal(&self, name: &str) {
        signal(self.process, name);
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    pub fn kill(&mut self) {
        self.signal("KILL");
        let _ = self.child.wait();
    }

    /// Starts a killed process again, as the platform does, with the settings at that time.
    pub fn start_again(&mut self) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let text = text.replace("\"firstStart\":true", "\"firstStart\":false");
        std::fs::write(&self.settings, text).unwrap();
        self.child = Self::spawn(&self.name, &self.settings, self.folder.to_str().unwrap());
        self.process = self.child.id();
    }

    pub fn calls(&self) -> SocketAddr {
        SocketAddr::from((self.host, 8227))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::connect(SocketAddr::from((self.host, 8220))) else {
            return false;
        };
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(1)));
        channel.send(b"GET /yuccareel/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            && channel.read_message().is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, record: &Record) {
        for _ in 0..100 {
            if self.is_ready() {
                return;
            }
            sleep_ms(100);
        }
        cannot_run(record, "a process did not become ready");
    }

    /// Resident memory, in bytes; `None` if the process has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches("kB").trim().parse::<u64>().ok().map(|kb| kb * 1_024)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// Callers --------------------------------------------------------------------------------------

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Head of a request of a caller with the key of the only tenant.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
        Authorization: Bearer key-1\r\n{fields}"
    )
}

/// Sends one request on a channel of its own and reads the answer; `None` without a whole answer.
pub fn call(address: SocketAddr, text: &[u8], timeout: Duration) -> Option<Message> {
    let mut channel = Channel::connect(address).ok()?;
    channel.stream.set_read_timeout(Some(timeout)).ok()?;
    if !channel.send(text) {
        return None;
    }
    channel.read_message()
}

/// Configuration with a safe and an unsafe route to `desk` and a resumable streaming route to `pool`.
pub fn config_text(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, fields: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"service\":\"{service}\",\"public\":false,{fields}}}"
        )
    };
    let plain = "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"sticky\":false,\"resumable\":false";
    let stream = "\"timeoutMs\":20000,\"targetLatencyMs\":4000,\"priority\":1,\"maxAttempts\":3,\"sticky\":true,\"resumable\":true,\"gapAimMs\":1200";
    let routes = [
        route("look", "safe", "desk", &format!("{plain},\"maxAttempts\":2")),
        route("book", "unsafe", "desk", &format!("{plain},\"maxAttempts\":1")),
        route("tell", "streaming", "pool", stream),
    ];
    let service = |name: &str, channels: u32| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":{channels},\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"acme\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(","), service("desk", 110), service("pool", 370)
    )
}

/// Temporary folder of the case.
pub fn temporary_folder() -> String {
    std::env::var("CASE_TMP").unwrap_or_else(|_| "/tmp".to_owned())
}

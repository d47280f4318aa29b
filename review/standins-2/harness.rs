//! Stand-ins of the platform for the scripts of this review: its store, replicas, callers, and the
//! entry process itself. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        if let Json::Arr(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Str(text) = self { text } else { "" }
    }

    pub fn number(&self) -> f64 {
        if let Json::Num(number) = self { *number } else { 0.0 }
    }
}

fn skip_space(text: &[u8], at: &mut usize) {
    while *at < text.len() && text[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_string(text, at)?;
                        skip_space(text, at);
                        (*text.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        fields.push((key, parse_value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => parse_string(text, at).map(Json::Str),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < text.len() && b"+-.eE0123456789".contains(&text[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&text[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn parse_string(text: &[u8], at: &mut usize) -> Option<String> {
    (*text.get(*at)? == b'"').then_some(())?;
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                let next = *text.get(*at + 1)?;
                *at += 2;
                match next {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        bytes.extend_from_slice(code.to_string().as_bytes());
                        *at += 4;
                    }
                    other => bytes.push(other),
                }
            }
            other => {
                bytes.push(other);
                *at += 1;
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if (letter as u32) < 32 => out.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(BASE64[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(value) = BASE64.iter().position(|known| *known == byte) else { break };
        word = (word << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------------------------------- HTTP

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let field = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        field.map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pair.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        unescape(value.unwrap_or(""))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has all of its stated length or its final chunk.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        let field = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        field.map_or("", |(_, value)| value)
    }
}

/// Buffered connection.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn read_headers(&mut self) -> io::Result<Option<Vec<(String, String)>>> {
        let mut headers = Vec::new();
        loop {
            let Some(line) = self.read_line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the request head only; `None` at the end of the connection.
    pub fn read_request_head(&mut self) -> io::Result<Option<Request>> {
        let Some(line) = self.read_line()? else { return Ok(None) };
        let mut words = line.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let Some(headers) = self.read_headers()? else { return Ok(None) };
        Ok(Some(Request { method, target, headers, body: Vec::new() }))
    }

    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(mut request) = self.read_request_head()? else { return Ok(None) };
        let length: usize = request.header("Content-Length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        request.body = self.buffer.drain(..length).collect();
        Ok(Some(request))
    }

    /// Reads a response. An error or an early end leaves what was read, with `complete` unset.
    pub fn read_response(&mut self) -> io::Result<Response> {
        let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
        let line = self.read_line()?.ok_or_else(ended)?;
        let status = line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let headers = self.read_headers()?.ok_or_else(ended)?;
        let mut response = Response { status, headers, body: Vec::new(), complete: false };
        if response.header("Transfer-Encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let Ok(Some(line)) = self.read_line() else { return Ok(response) };
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(response) };
                while self.buffer.len() < size + 2 {
                    if !matches!(self.fill(), Ok(count) if count > 0) {
                        return Ok(response);
                    }
                }
                let data: Vec<u8> = self.buffer.drain(..size + 2).collect();
                response.body.extend_from_slice(&data[..size]);
                if size == 0 {
                    response.complete = true;
                    return Ok(response);
                }
            }
        }
        let length = response.header("Content-Length").parse::<usize>().ok();
        loop {
            if length.is_some_and(|length| self.buffer.len() >= length) {
                response.body = self.buffer.drain(..length.unwrap_or(0)).collect();
                response.complete = true;
                return Ok(response);
            }
            match self.fill() {
                Ok(count) if count > 0 => {}
                outcome => {
                    response.complete = length.is_none() && outcome.is_ok();
                    response.body = std::mem::take(&mut self.buffer);
                    return Ok(response);
                }
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        let _ = self.stream.set_nonblocking(true);
        let outcome = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match outcome {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

pub fn answer_text(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text =
        format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    text.extend_from_slice(body);
    text
}

// --------------------------------------------------------------------------------------- Record

static HOSTS: AtomicU64 = AtomicU64::new(1);

/// Loopback address that this process has not used before. Processes differ in the second and third
/// number.
pub fn next_host() -> Ipv4Addr {
    let index = HOSTS.fetch_add(1, Ordering::Relaxed);
    let id = std::process::id();
    Ipv4Addr::new(127, 60 + (id >> 8 & 127) as u8, id as u8, index as u8)
}

/// Record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Opens `record.txt` in the folder that the first argument names.
    pub fn open() -> Self {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

// ---------------------------------------------------------------------------------------- Store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct StoreState {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as it was written, or nothing if it was removed.
    events: Vec<(i64, String, Option<Item>)>,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
    /// Revision after which watches hear nothing at present.
    muted_at: Option<i64>,
    /// Number of times that waiting watches were cut.
    cuts: u64,
    /// Revision from which the history is still known.
    history_start: i64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<i64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        quote(key),
        base64_encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// Status of an answer that is not given, as the connection is closed.
const CUT: u16 = 0;

/// Store of the platform, as its page describes it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind((next_host(), 0)).expect("store address");
        let address = listener.local_addr().unwrap();
        let state = StoreState { revision: 100, next_lease: 10, ..StoreState::default() };
        let store = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.state.0.lock().unwrap().expire(Instant::now());
                expiring.state.1.notify_all();
            }
        });
        store
    }

    /// Writes a key as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        drop(state);
        self.state.1.notify_all();
    }

    /// Lets watches hear nothing until the history is dropped.
    pub fn mute_watches(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.muted_at = Some(state.revision);
    }

    /// Drops the history and cuts the watches that wait.
    pub fn drop_history(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.muted_at = None;
        state.cuts += 1;
        state.history_start = state.revision;
        state.events.clear();
        drop(state);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        state.items.get(key).map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read_request() {
            thread::sleep(Duration::from_millis(2));
            let (status, body) = self.answer(&request);
            if status == CUT {
                return;
            }
            let headers = "Content-Type: application/json\r\n";
            if conn.send(&answer_text(status, headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path();
        if let Some(lease) = path.strip_prefix("/yuccareel/kv-keep/") {
            let mut state = self.state.0.lock().unwrap();
            let lease: i64 = lease.parse().unwrap_or(0);
            return match state.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(lease) = path.strip_prefix("/yuccareel/kv-lease-end/") {
            self.state.0.lock().unwrap().end_lease(lease.parse().unwrap_or(0));
            self.state.1.notify_all();
            return (200, "{}".to_owned());
        }
        match path {
            "/yuccareel/kv-key" => {
                let state = self.state.0.lock().unwrap();
                let key = request.query("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let item = item_json(&key, item);
                        let rest = &item[..item.len() - 1];
                        (200, format!("{rest},\"currentRev\":{}}}", state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "/yuccareel/kv-range" => {
                let state = self.state.0.lock().unwrap();
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let all = state.items.iter();
                let items: Vec<String> = all
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let more = items.len() > 500;
                let page = items[..items.len().min(500)].join(",");
                let revision = state.revision;
                (200, format!("{{\"items\":[{page}],\"morePages\":{more},\"currentRev\":{revision}}}"))
            }
            "/yuccareel/kv-watch" => self.watch(request),
            "/yuccareel/kv-lease" => {
                let ttl = Json::parse(&request.body).map_or(3_000.0, |body| body.get("ttlMs").number());
                let ttl = Duration::from_millis(ttl as u64);
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 7;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            "/yuccareel/kv-txn" => self.commit(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: i64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        let cuts = state.cuts;
        loop {
            if state.cuts != cuts {
                return (CUT, String::new());
            }
            if after > state.revision || after < state.history_start {
                return (410, "{}".to_owned());
            }
            let heard = state.muted_at.unwrap_or(i64::MAX);
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| {
                    *revision > after && *revision <= heard && key.starts_with(&prefix)
                })
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        let key = quote(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, revision) = (events.join(","), state.revision.min(heard).max(after));
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"));
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut state = self.state.0.lock().unwrap();
        let compares = body.get("expectedRevision").items();
        let differs = |row: &Json| {
            let present = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            present != row.get("revision").number() as i64
        };
        if compares.iter().any(differs) {
            let items: Vec<String> = compares
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| item_json(key, item))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |row: &Json| row.get("lease").number() as i64;
        let puts = body.get("puts").items();
        if puts.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row))) {
            return (404, "{}".to_owned());
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|row| is_foreign(row.get("key").text())) {
            return (403, "{}".to_owned());
        }
        state.revision += 1;
        for row in puts {
            state.put(row.get("key").text(), base64_decode(row.get("value").text()), lease_of(row));
        }
        for key in body.get("deletes").items() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

// -------------------------------------------------------------------------------------- Replicas

/// Replica whose requests a function of the case answers. The function returns false to close the
/// connection.
#[derive(Clone)]
pub struct Replica {
    pub name: String,
    pub address: SocketAddr,
    /// Requests that ran, by identifier.
    pub runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Replica {
    pub fn start<F>(name: &str, answer: F) -> Self
    where
        F: Fn(&Replica, &Request, &mut Conn) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((next_host(), 0)).expect("replica address");
        let address = listener.local_addr().unwrap();
        let replica = Self { name: name.to_owned(), address, runs: Arc::default() };
        let (served, answer) = (replica.clone(), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, answer) = (served.clone(), answer.clone());
                let serve = move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read_request() {
                        if request.path() == "/yuccareel/report" {
                            let body = b"{\"stage\":\"both\",\"models\":[],\"busy\":false,\"waiting\":0,\"running\":0}";
                            if conn.send(&answer_text(200, "", body)).is_err() {
                                return;
                            }
                            continue;
                        }
                        let expected = request.header("X-Expect-Instance");
                        let id = request.header("X-Request-Id").to_owned();
                        if !expected.is_empty() && expected != replica.name {
                            let headers = format!("X-Request-Id: {id}\r\n");
                            if conn.send(&answer_text(421, &headers, b"")).is_err() {
                                return;
                            }
                            continue;
                        }
                        if !answer(&replica, &request, &mut conn) {
                            return;
                        }
                    }
                };
                let builder = thread::Builder::new().stack_size(128 * 1024);
                let _ = builder.spawn(serve);
            }
        });
        replica
    }

    pub fn record_run(&self, id: &str) {
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }

    pub fn run_count(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Entry of the replica in the store.
    pub fn entry(&self, service: &str, version: &str, slots: u32, state: &str) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"evesham\",\"version\":{},\"slots\":{slots},\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1700000000000}}",
            quote(service),
            self.address,
            quote(version)
        )
    }

    pub fn list(&self, store: &Store, service: &str, slots: u32) {
        store.put(&format!("servers/{}", self.name), &self.entry(service, "v1", slots, "ready"));
    }

    /// Complete answer to a request that ran.
    pub fn good_answer(&self, request: &Request, body: &[u8]) -> Vec<u8> {
        let id = request.header("X-Request-Id");
        let headers = format!("X-Request-Id: {id}\r\nX-Response-Signature: 3e1b.{}.{id}\r\n", self.name);
        answer_text(200, &headers, body)
    }
}

// ----------------------------------------------------------------------------------- Entry process

/// Settings that a case may change.
#[derive(Clone)]
pub struct EntrySettings {
    pub memory_mb: u64,
    pub max_fds: u64,
    pub first_start: bool,
    pub zone: &'static str,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self { memory_mb: 110, max_fds: 4_100, first_start: true, zone: "evesham" }
    }
}

pub struct Entry {
    pub name: String,
    pub host: Ipv4Addr,
    pub child: Child,
    settings: PathBuf,
    log: PathBuf,
    folder: PathBuf,
}

impl Entry {
    /// Starts the program of the deploy file with the settings of a small deployment.
    pub fn start(name: &str, store: SocketAddr, changes: &EntrySettings) -> Self {
        let host = next_host();
        let folder = std::env::temp_dir().join(format!("yuccareel-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, settings_text(name, host, store, changes)).expect("settings");
        let log = folder.join(format!("{name}.log"));
        let child = Self::spawn(&settings, &log);
        Self { name: name.to_owned(), host, child, settings, log, folder }
    }

    fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
        let output = File::options().create(true).append(true).open(log).expect("log");
        Command::new("target/release/yuccareel-entry")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("LANG", "C")
            .env("YUCCAREEL_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("log"))
            .stderr(output)
            .spawn()
            .expect("target/release/yuccareel-entry; build it first")
    }

    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = Self::spawn(&self.settings, &self.log);
    }

    pub fn calls(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.host, 8_227))
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::V4(SocketAddrV4::new(self.host, 8_220));
        get(address, "/yuccareel/readyz").is_some_and(|answer| answer.status == 200)
    }

    pub fn directory(&self) -> Option<Response> {
        let address = SocketAddr::V4(SocketAddrV4::new(self.host, 8_224));
        get(address, "/yuccareel/resolve?name=shop.example&region=midlands&zone=evesham")
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal such as `TERM` to the process.
    pub fn signal(&self, name: &str) {
        kill(self.child.id(), name);
    }

    /// Resident memory and its peak, in bytes; `None` once the process has ended.
    pub fn memory(&self) -> Option<(u64, u64)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().trim_end_matches("kB").trim().parse::<u64>().ok().map(|kb| kb * 1_024)
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings_text(name: &str, host: Ipv4Addr, store: SocketAddr, changes: &EntrySettings) -> String {
    let EntrySettings { memory_mb, max_fds, first_start, zone } = changes;
    format!(
        r#"{{"nodeName":"{name}","role":"entry","machineClass":"front",
"serves":["front","control","directory"],"ip":"{host}","zone":"{zone}","region":"midlands",
"zones":{{"evesham":"midlands","pershore":"midlands"}},
"listen":{{"front":"{host}:8227","ready":"{host}:8220","control":"{host}:8229","directory":"{host}:8224"}},
"internalPorts":[7340,7355],"seeds":[],"firstStart":{first_start},"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{memory_mb},"maxFds":{max_fds},"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"],
"faultTolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"failClosed":false,
"revokeMs":5000,"retryBudgetRatio":0.9,"budgetWindowS":10,"retrySlack":56,"exposureShare":0.15,
"exposureSlack":30,"rollbackMs":5000,"coldOverage":1.5,"coldSlack":5,"evacuateMs":5000,"recoveryS":12,
"passMs":120,"reuseWindowS":10,"sessionS":5,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#
    )
}

/// Route of a configuration. Its name is also the prefix of its paths.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32, rest: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"shop.example","prefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout_ms},
"targetLatencyMs":400,"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false{rest}}}"#
    )
}

pub fn config(version: u32, routes: &[String], services: &[&str], max_body: u32) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","healthPath":"/healthz","maxConnections":1000,"protocol":"h1","tls":false,"coldStartS":0,"coldPerS":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{max_body},"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"acme","apiKeys":["key-1","key-2"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

// --------------------------------------------------------------------------------------- Callers

pub fn get(address: SocketAddr, target: &str) -> Option<Response> {
    let mut conn = Conn::connect(address, Duration::from_secs(1)).ok()?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let host = address.to_string();
    conn.send(format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    conn.read_response().ok()
}

/// Head of a call.
pub fn call_head(path: &str, id: &str, deadline_ms: u32, rest: &str) -> String {
    let method = if path.starts_with("/look/") { "GET" } else { "POST" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-1\r\n{rest}\r\n"
    )
}

/// Makes a call on a new connection.
pub fn call(address: SocketAddr, path: &str, id: &str, deadline_ms: u32, body: &[u8]) -> io::Result<Response> {
    let mut conn = Conn::connect(address, Duration::from_secs(1))?;
    call_on(&mut conn, path, id, deadline_ms, body)
}

pub fn call_on(conn: &mut Conn, path: &str, id: &str, deadline_ms: u32, body: &[u8]) -> io::Result<Response> {
    let wait = Duration::from_millis(u64::from(deadline_ms) + 2_000);
    conn.stream.set_read_timeout(Some(wait))?;
    let rest = if path.starts_with("/look/") {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let mut text = call_head(path, id, deadline_ms, &rest).into_bytes();
    text.extend_from_slice(body);
    conn.send(&text)?;
    conn.read_response()
}

// ------------------------------------------------------------------------------ Caller addresses

#[repr(C)]
struct SocketName {
    family: u16,
    port: [u8; 2],
    host: [u8; 4],
    rest: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, name: *const SocketName, length: u32) -> i32;
    fn connect(socket: i32, name: *const SocketName, length: u32) -> i32;
}

fn socket_name(host: Ipv4Addr, port: u16) -> SocketName {
    SocketName { family: 2, port: port.to_be_bytes(), host: host.octets(), rest: [0; 8] }
}

/// Connects from a given loopback address, so that callers of several machines can be played. The
/// standard library cannot choose the local address.
pub fn connect_from(local: Ipv4Addr, address: SocketAddr) -> io::Result<Conn> {
    use std::os::fd::{FromRawFd as _, OwnedFd};
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let length = std::mem::size_of::<SocketName>() as u32;
    // SAFETY: the names live for the calls, and the descriptor is owned from its creation on.
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from(OwnedFd::from_raw_fd(descriptor));
        if bind(descriptor, &socket_name(local, 0), length) != 0
            || connect(descriptor, &socket_name(*address.ip(), address.port()), length) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(Conn::new(stream))
    }
}

/// Resident memory of a process; `None` once it has ended.
pub fn resident_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse::<u64>().ok().map(|kb| kb * 1_024)
}

/// Sends a signal such as `KILL` to a process that the script started.
pub fn kill(process: u32, signal: &str) {
    let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {process}")]).status();
}

// ------------------------------------------------------------------------------------------ Links

/// Loopback proxy in front of one address, whose open connections can go silent for good.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    silenced: Arc<AtomicU64>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((next_host(), 0)).expect("link address");
        let link = Self { address: listener.local_addr().unwrap(), silenced: Arc::default() };
        let silenced = link.silenced.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let opened_at = silenced.load(Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = (caller.set_nodelay(true), server.set_nodelay(true));
                let pairs = [(caller.try_clone(), server.try_clone()), (Ok(server), Ok(caller))];
                for (from, to) in pairs {
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    let silenced = silenced.clone();
                    let forward = move || forward(from, to, opened_at, &silenced);
                    let _ = thread::Builder::new().stack_size(128 * 1024).spawn(forward);
                }
            }
        });
        link
    }

    /// From now on nothing passes on the connections that are open; they are not closed. New ones work.
    pub fn silence_open(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, opened_at: u64, silenced: &AtomicU64) {
    let mut piece = [0; 16 * 1024];
    loop {
        let count = from.read(&mut piece).unwrap_or(0);
        if silenced.load(Ordering::SeqCst) != opened_at {
            // Neither bytes nor the end pass. The sockets stay open until this process ends.
            std::mem::forget((from, to));
            return;
        }
        if count == 0 {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
        if to.write_all(&piece[..count]).is_err() {
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

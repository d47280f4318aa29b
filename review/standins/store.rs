//! Stand-in of the platform's store: items, leases, watches with a bounded history, transactions.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::{base64, http, json};

/// Time for which the store keeps its history (`historyS` of the settings).
const HISTORY_TIME: Duration = Duration::from_secs(20);
/// Limits of one page of items.
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct StoreItem {
    /// Base64 text.
    value: Arc<str>,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Clone, Debug)]
struct StoreEvent {
    at: Instant,
    key: String,
    revision: i64,
    /// `None` for a removal.
    item: Option<StoreItem>,
}

#[derive(Default)]
struct StoreTable {
    revision: i64,
    items: BTreeMap<String, StoreItem>,
    events: Vec<StoreEvent>,
    /// Revision up to which the history was dropped.
    dropped_until: i64,
    /// Length and end of each lease.
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

impl StoreTable {
    fn change(&mut self, puts: &[(String, Arc<str>, i64)], deletes: &[String]) -> i64 {
        self.revision += 1;
        let (revision, at) = (self.revision, Instant::now());
        for (key, value, lease) in puts {
            let created = self.items.get(key).map_or(revision, |item| item.created);
            let item = StoreItem { value: value.clone(), revision, created, lease: *lease };
            self.items.insert(key.clone(), item.clone());
            self.events.push(StoreEvent { at, key: key.clone(), revision, item: Some(item) });
        }
        for key in deletes {
            if self.items.remove(key).is_some() {
                self.events.push(StoreEvent { at, key: key.clone(), revision, item: None });
            }
        }
        revision
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let is_attached = |item: &&StoreItem| item.lease == lease;
        let keys = self.items.iter().filter(|(_, item)| is_attached(item));
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.change(&[], &keys);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| now >= *end);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
        let old = self.events.iter().take_while(|event| now >= event.at + HISTORY_TIME).count();
        if let Some(last) = old.checked_sub(1).map(|index| self.events[index].revision) {
            self.dropped_until = last;
            self.events.drain(..old);
        }
    }
}

/// Running store.
#[derive(Clone)]
pub struct StoreStandin {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreTable>, Condvar)>,
}

impl StoreStandin {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("the store has an address");
        let store = Self { address, shared: Arc::default() };
        // Revisions start above 0.
        store.shared.0.lock().unwrap().revision = 7;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(EXPIRY_INTERVAL);
                expiring.shared.0.lock().unwrap().expire();
                expiring.shared.1.notify_all();
            }
        });
        store
    }

    /// Writes a value as the operator or a replica does; returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let value = base64::encode(value.as_bytes()).into();
        self.shared.0.lock().unwrap().change(&[(key.to_owned(), value, 0)], &[]);
        self.shared.1.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = http::MessageReader::new(stream);
        loop {
            let request = reader.read_message().ok()?;
            let (status, body) = self.answer(&request);
            http::write_json(&mut writer, status, &body).ok()?;
        }
    }

    fn answer(&self, request: &http::HttpMessage) -> (u16, String) {
        let (table, changed) = (&self.shared.0, &self.shared.1);
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let body = body.unwrap_or(json::JsonValue::Null);
        let path = request.path();
        let lease_of = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
        if let Some(lease) = lease_of("/yuccareel/kv-keep/") {
            let mut table = table.lock().unwrap();
            let Some((ttl, end)) = table.leases.get_mut(&lease) else {
                return (404, "{}".to_owned());
            };
            *end = Instant::now() + *ttl;
            return (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()));
        }
        if let Some(lease) = lease_of("/yuccareel/kv-lease-end/") {
            table.lock().unwrap().end_lease(lease);
            changed.notify_all();
            return (200, "{}".to_owned());
        }
        match path {
            "/yuccareel/kv-key" => {
                let key = request.parameter("key");
                let table = table.lock().unwrap();
                let item = table.items.get(&key);
                item.map_or((404, "{}".to_owned()), |item| (200, item_text(&key, item)))
            }
            "/yuccareel/kv-range" => (200, self.range(request)),
            "/yuccareel/kv-watch" => self.watch(request),
            "/yuccareel/kv-lease" => {
                let ttl = Duration::from_millis(body.number("ttlMs") as u64);
                let mut table = table.lock().unwrap();
                table.next_lease += 1;
                let lease = table.next_lease;
                table.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            "/yuccareel/kv-txn" => self.commit(&body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &http::HttpMessage) -> String {
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let table = self.shared.0.lock().unwrap();
        let is_listed = |key: &&String| key.starts_with(&prefix) && **key > after;
        let keys: Vec<_> = table.items.keys().filter(is_listed).collect();
        let (mut texts, mut bytes) = (Vec::new(), 0);
        for key in &keys {
            let text = item_text(key, &table.items[*key]);
            bytes += text.len();
            if !texts.is_empty() && (bytes > MAX_PAGE_BYTES || texts.len() >= MAX_PAGE_ITEMS) {
                break;
            }
            texts.push(text);
        }
        let more = texts.len() < keys.len();
        let (items, revision) = (texts.join(","), table.revision);
        format!("{{\"items\":[{items}],\"morePages\":{more},\"currentRev\":{revision}}}")
    }

    /// Waits for events after a revision.
    fn watch(&self, request: &http::HttpMessage) -> (u16, String) {
        let prefix = request.parameter("prefix");
        let after: i64 = request.parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("waitMs").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut table = self.shared.0.lock().unwrap();
        loop {
            if after < table.dropped_until {
                return (410, "{}".to_owned());
            }
            let is_new =
                |event: &&StoreEvent| event.revision > after && event.key.starts_with(&prefix);
            let texts: Vec<_> = table.events.iter().filter(is_new).map(event_text).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() {
                let (events, revision) = (texts.join(","), table.revision);
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"));
            }
            table = self.shared.1.wait_timeout(table, left).unwrap().0;
        }
    }

    fn commit(&self, body: &json::JsonValue) -> (u16, String) {
        let key = |row: &json::JsonValue| row.get("key").map_or("", |key| key.text()).to_owned();
        let mut table = self.shared.0.lock().unwrap();
        let conditions = body.rows("expectedRevision");
        let revision = |key: &str| table.items.get(key).map_or(0, |item| item.revision);
        if conditions.iter().any(|row| revision(&key(row)) != row.number("revision")) {
            let items = conditions.iter().map(key);
            let texts = items.filter_map(|key| Some(item_text(&key, table.items.get(&key)?)));
            return (412, format!("{{\"items\":[{}]}}", texts.collect::<Vec<_>>().join(",")));
        }
        let put = |row: &json::JsonValue| {
            let value = row.get("value").map_or("", |value| value.text());
            (key(row), Arc::from(value), row.number("lease"))
        };
        let puts: Vec<(String, Arc<str>, i64)> = body.rows("puts").iter().map(put).collect();
        if puts.iter().any(|(_, _, lease)| *lease != 0 && !table.leases.contains_key(lease)) {
            return (404, "{}".to_owned());
        }
        let deletes: Vec<_> =
            body.rows("deletes").iter().map(|key| key.text().to_owned()).collect();
        let revision = table.change(&puts, &deletes);
        drop(table);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn item_text(key: &str, item: &StoreItem) -> String {
    let StoreItem { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"createRev\":{created},\"lease\":{lease}}}"
    )
}

fn event_text(event: &StoreEvent) -> String {
    match &event.item {
        Some(item) => item_text(&event.key, item),
        None => {
            let (key, revision) = (&event.key, event.revision);
            format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
        }
    }
}

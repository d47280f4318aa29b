//! Simulated store and instances that read it for each other, in virtual time.
//!
//! A schedule of faults is drawn from a seed. After each step the world compares what each instance
//! holds with the history of the store.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::Instant;
use yuccareel::ids;
use yuccareel::kv_store::{KvEntry, KvEvent};
use yuccareel::relay::member_list::MemberEntry;
use yuccareel::relay::mirror_scope::MirrorScope;
use yuccareel::relay::shared_feed::belief_age;
use yuccareel::relay::shared_feed::feed_batch::{BatchContent, FeedBatch};
use yuccareel::relay::shared_feed::feed_log::{self, FeedLog};
use yuccareel::relay::shared_feed::reader_choice::{ReaderChoice, RecordSource};

const INSTANCES: usize = 6;
const KEYS: u32 = 8;
/// Times of a scope whose changes must take effect within two seconds.
const STORE_HOLD: Duration = Duration::from_millis(400);
const READER_HOLD: Duration = Duration::from_millis(300);
const ANSWER_TIME: Duration = Duration::from_millis(300);
const MAX_AGE: Duration = Duration::from_millis(1_300);
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// Message that is on its way to an instance, or the end of a wait for one.
#[derive(Debug)]
enum Arrival {
    /// Answer of the store to a read of everything, or of the changes after a revision.
    StoreAnswer { asked_at: Duration, batch: Option<FeedBatch> },
    /// Request at the reader with this index.
    ReaderRequest { from: usize, asked_at: Duration, after: i64, held_since: Option<Duration> },
    /// Answer of a reader; `None` if none came in time.
    ReaderAnswer { reader: usize, asked_at: Duration, batch: Option<FeedBatch> },
    /// Instance starts its next request.
    NextRequest,
}

struct SimulatedInstance {
    log: FeedLog,
    choice: ReaderChoice,
    entries: BTreeMap<String, i64>,
    revision: i64,
    suspended_until: Duration,
    /// Time for which the steady clock stood still.
    suspended_total: Duration,
    cut_from_store_until: Duration,
    /// Number of the present process, so that messages to an earlier one are dropped.
    boot: u32,
    store_calls: u32,
}

pub struct FeedWorld {
    random: StdRng,
    has_faults: bool,
    now: Duration,
    base: Instant,
    history: Vec<KvEvent>,
    /// Time of each change in `history`.
    change_times: Vec<Duration>,
    compacted_before: i64,
    instances: Vec<SimulatedInstance>,
    members: Vec<(ids::InstanceName, MemberEntry)>,
    queue: BinaryHeap<std::cmp::Reverse<(Duration, u64)>>,
    pending: std::collections::HashMap<u64, (usize, u32, Arrival)>,
    next_number: u64,
}

impl FeedWorld {
    pub fn new(seed: u64) -> Self {
        Self::with_faults(seed, true)
    }

    /// World without faults.
    pub fn calm(seed: u64) -> Self {
        Self::with_faults(seed, false)
    }

    fn with_faults(seed: u64, has_faults: bool) -> Self {
        let member = |index: usize| {
            let address = SocketAddr::from(([10, 0, 0, index as u8], 80));
            let entry = MemberEntry {
                calls: address,
                tunnel: address,
                data_centre: "a".into(),
                region: "west".into(),
                feed: Some(address),
                link_mbps: 10,
                is_ready: true,
            };
            (format!("m{index}").as_str().into(), entry)
        };
        let instance = |_| SimulatedInstance {
            log: FeedLog::default(),
            choice: ReaderChoice::default(),
            entries: BTreeMap::new(),
            revision: 0,
            suspended_until: Duration::ZERO,
            suspended_total: Duration::ZERO,
            cut_from_store_until: Duration::ZERO,
            boot: 0,
            store_calls: 0,
        };
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            has_faults,
            now: Duration::from_secs(100),
            base: Instant::now(),
            history: Vec::new(),
            change_times: Vec::new(),
            compacted_before: 0,
            instances: (0..INSTANCES).map(instance).collect(),
            members: (0..INSTANCES).map(member).collect(),
            queue: BinaryHeap::new(),
            pending: std::collections::HashMap::new(),
            next_number: 0,
        };
        world.write();
        for index in 0..INSTANCES {
            world.deliver(index, Duration::ZERO, Arrival::NextRequest);
        }
        world
    }

    pub fn instances(&self) -> usize {
        INSTANCES
    }

    /// Instances that read the store more than five times.
    pub fn direct_readers(&self) -> usize {
        self.instances.iter().filter(|instance| instance.store_calls > 5).count()
    }

    pub fn calls_per_s(&self) -> f64 {
        let calls: u32 = self.instances.iter().map(|instance| instance.store_calls).sum();
        f64::from(calls) / (self.now - Duration::from_secs(100)).as_secs_f64()
    }

    /// Runs for a time; returns the first violation.
    pub fn run(&mut self, duration: Duration) -> Result<(), String> {
        let end = self.now + duration;
        let (mut next_write, mut next_fault) = (self.now, self.now);
        while self.now < end {
            let next = self.queue.peek().map_or(end, |std::cmp::Reverse((at, _))| *at);
            if next_write.min(next_fault) <= next {
                if next_write <= next_fault {
                    self.now = self.now.max(next_write);
                    self.write();
                    next_write += self.random_ms(50, 1_500);
                } else {
                    self.now = self.now.max(next_fault);
                    if self.has_faults {
                        self.inject_fault();
                    }
                    next_fault += self.random_ms(200, 2_000);
                }
                continue;
            }
            let Some(std::cmp::Reverse((at, number))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            let (index, boot, arrival) = self.pending.remove(&number).unwrap();
            let instance = &self.instances[index];
            if instance.suspended_until > self.now {
                // Messages wait until the machine wakes up.
                let wait = instance.suspended_until - self.now;
                self.deliver(index, wait, arrival);
                continue;
            }
            if instance.boot == boot {
                self.handle(index, arrival);
                self.check(index)?;
            }
        }
        Ok(())
    }

    fn random_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    fn latency(&mut self) -> Duration {
        let is_slow = self.has_faults && self.random.random_range(0..12) == 0;
        if is_slow { self.random_ms(50, 500) } else { self.random_ms(1, 6) }
    }

    fn deliver(&mut self, index: usize, delay: Duration, arrival: Arrival) {
        let (number, boot) = (self.next_number, self.instances[index].boot);
        self.next_number += 1;
        self.queue.push(std::cmp::Reverse((self.now + delay, number)));
        self.pending.insert(number, (index, boot, arrival));
    }

    fn write(&mut self) {
        let revision = self.history.len() as i64 + 1;
        let key = format!("k{}", self.random.random_range(0..KEYS));
        let event = if self.random.random_range(0..4) == 0 {
            KvEvent::Delete(key, revision)
        } else {
            let value = Bytes::from(revision.to_string());
            let (create_revision, mod_revision) = (revision, revision);
            KvEvent::Put(KvEntry { key, value, create_revision, mod_revision, lease: 0 })
        };
        self.history.push(event);
        self.change_times.push(self.now);
    }

    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..INSTANCES);
        let length = self.random_ms(200, 4_000);
        let now = self.now;
        let instance = &mut self.instances[index];
        match self.random.random_range(0..4) {
            0 => {
                if instance.suspended_until <= now {
                    instance.suspended_until = now + length;
                    // Half of the machines stop their steady clock too.
                    if length.subsec_millis().is_multiple_of(2) {
                        instance.suspended_total += length;
                    }
                }
            }
            1 => instance.cut_from_store_until = now + length,
            2 => {
                instance.boot += 1;
                (instance.log, instance.choice) = (FeedLog::default(), ReaderChoice::default());
                (instance.entries, instance.revision) = (BTreeMap::new(), 0);
                self.deliver(index, Duration::from_millis(300), Arrival::NextRequest);
            }
            _ => self.compacted_before = self.history.len() as i64,
        }
    }

    /// Steady clock of an instance.
    fn clock(&self, index: usize) -> Instant {
        let instance = &self.instances[index];
        self.base + (self.now - instance.suspended_total.min(self.now))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now
    }

    fn handle(&mut self, index: usize, arrival: Arrival) {
        match arrival {
            Arrival::NextRequest => self.send_request(index),
            Arrival::StoreAnswer { asked_at, batch: Some(batch) } => {
                let age = self.now - asked_at;
                self.apply(index, batch, age);
                self.deliver(index, Duration::from_millis(1), Arrival::NextRequest);
            }
            Arrival::StoreAnswer { batch: None, .. } => {
                self.deliver(index, Duration::from_millis(200), Arrival::NextRequest);
            }
            Arrival::ReaderRequest { from, asked_at, after, held_since } => {
                self.serve(index, from, asked_at, after, held_since);
            }
            Arrival::ReaderAnswer { reader, asked_at, batch } => {
                let elapsed = self.now - asked_at;
                let usable = batch.filter(|_| elapsed <= READER_HOLD + ANSWER_TIME);
                let usable =
                    usable.filter(|batch| batch.revision >= self.instances[index].log.revision());
                let age = usable
                    .as_ref()
                    .map(|batch| belief_age::age_on_arrival(batch.age, elapsed, batch.held));
                if let (Some(batch), Some(age)) = (usable, age) {
                    self.apply(index, batch, age);
                }
                if age.is_none_or(|age| age > MAX_AGE) {
                    let (name, clock) = (self.members[reader].0.clone(), self.clock(index));
                    self.instances[index].choice.record_failure(name, clock);
                    self.ask_store(index);
                } else {
                    self.deliver(index, Duration::from_millis(1), Arrival::NextRequest);
                }
            }
        }
    }

    fn send_request(&mut self, index: usize) {
        let after = self.instances[index].log.revision();
        let members = self.members.iter().map(|(name, entry)| (name, entry));
        let (own_name, clock) = (&self.members[index].0, self.clock(index));
        let scope = MirrorScope::Operators;
        let source = self.instances[index].choice.source(members, own_name, "a", scope, clock);
        match source {
            RecordSource::Reader(name, _) if after > 0 => {
                let reader = self.members.iter().position(|(member, _)| *member == name).unwrap();
                let asked_at = self.now;
                let timeout = READER_HOLD + ANSWER_TIME;
                let lost = Arrival::ReaderAnswer { reader, asked_at, batch: None };
                self.deliver(index, timeout, lost);
                let latency = self.latency();
                let request =
                    Arrival::ReaderRequest { from: index, asked_at, after, held_since: None };
                self.deliver(reader, latency, request);
            }
            _ => self.ask_store(index),
        }
    }

    fn ask_store(&mut self, index: usize) {
        self.instances[index].store_calls += 1;
        let asked_at = self.now;
        if self.instances[index].cut_from_store_until > self.now {
            self.deliver(index, STORE_TIMEOUT, Arrival::StoreAnswer { asked_at, batch: None });
            return;
        }
        let after = self.instances[index].log.revision();
        let revision = self.history.len() as i64;
        let content = if after == 0 || after < self.compacted_before {
            BatchContent::Snapshot(self.entries_at(revision).into_values().collect())
        } else {
            BatchContent::Changes(self.history[after as usize..].to_vec())
        };
        let has_changes = !matches!(&content, BatchContent::Changes(events) if events.is_empty());
        // The answer is made now; it may be delayed, and without changes it is held.
        let delay = self.latency() + if has_changes { Duration::ZERO } else { STORE_HOLD };
        let (age, held, since_store_return) = (Duration::ZERO, Duration::ZERO, None);
        let after = if matches!(content, BatchContent::Snapshot(_)) { 0 } else { after };
        let batch = Some(FeedBatch { content, after, revision, age, held, since_store_return });
        self.deliver(index, delay, Arrival::StoreAnswer { asked_at, batch });
    }

    /// Answers a request at a reader, or holds it for another while.
    fn serve(
        &mut self,
        reader: usize,
        from: usize,
        asked_at: Duration,
        after: i64,
        held_since: Option<Duration>,
    ) {
        let since = held_since.unwrap_or(self.now);
        let log = &self.instances[reader].log;
        if !log.has_news(after) && self.now - since < READER_HOLD {
            let held_since = Some(since);
            let request = Arrival::ReaderRequest { from, asked_at, after, held_since };
            self.deliver(reader, Duration::from_millis(10), request);
            return;
        }
        let held = self.now - since;
        let batch = log.batch(after, held, self.clock(reader), self.wall());
        let delay = self.latency();
        // A batch is decoded from its message, as on a real connection.
        let batch = batch.map(|batch| FeedBatch::decode(batch.encode()).unwrap());
        self.cancel_timeout(from, asked_at);
        self.deliver(from, delay, Arrival::ReaderAnswer { reader, asked_at, batch });
    }

    /// Ends the wait of an instance for its reader, as the answer is on the way. Without a wait the
    /// answer is dropped, as its connection is closed.
    fn cancel_timeout(&mut self, index: usize, asked_at: Duration) {
        self.pending.iter_mut().for_each(|(_, (owner, boot, arrival))| {
            let is_wait = matches!(arrival, Arrival::ReaderAnswer { asked_at: at, batch: None, .. } if *at == asked_at);
            if *owner == index && is_wait {
                *boot = u32::MAX;
            }
        });
    }

    fn apply(&mut self, index: usize, batch: FeedBatch, age: Duration) {
        let (clock, wall) = (self.clock(index), self.wall());
        let instance = &mut self.instances[index];
        match batch.content {
            BatchContent::Changes(events) => {
                let newer = instance.log.apply_changes(batch.after, events, batch.revision);
                let Some(newer) = newer else { return };
                newer.iter().for_each(|event| apply_event(&mut instance.entries, event));
            }
            BatchContent::Snapshot(events) => {
                let entries = events.iter().filter_map(|event| match event {
                    KvEvent::Put(entry) => Some(entry.clone()),
                    KvEvent::Delete(..) => None,
                });
                if let Some(gone) = instance.log.apply_all(entries, batch.revision) {
                    gone.iter().for_each(|key| {
                        instance.entries.remove(key);
                    });
                    events.iter().for_each(|event| apply_event(&mut instance.entries, event));
                }
            }
        }
        instance.log.confirm(age, clock, wall);
    }

    fn entries_at(&self, revision: i64) -> BTreeMap<String, KvEvent> {
        let mut entries = BTreeMap::new();
        for event in &self.history[..revision as usize] {
            match event {
                KvEvent::Put(entry) => entries.insert(entry.key.clone(), event.clone()),
                KvEvent::Delete(key, _) => entries.remove(key),
            };
        }
        entries
    }

    /// Compares what an instance holds with the history of the store.
    fn check(&mut self, index: usize) -> Result<(), String> {
        let (clock, wall) = (self.clock(index), self.wall());
        let revision = self.instances[index].log.revision();
        let instance = &mut self.instances[index];
        if revision < instance.revision {
            return Err(format!("m{index} went from revision {} to {revision}", instance.revision));
        }
        instance.revision = revision;
        let Some(age) = self.instances[index].log.age(clock, wall) else { return Ok(()) };
        let expected = self.entries_at(revision);
        let expected: BTreeMap<_, _> = expected
            .iter()
            .map(|(key, event)| (key.clone(), feed_log::event_revision(event)))
            .collect();
        if self.instances[index].entries != expected {
            return Err(format!("m{index} holds other entries than the store at {revision}"));
        }
        let current_at = self.now.saturating_sub(age);
        // A millisecond is lost when a held time is rounded.
        let known_until = current_at.saturating_sub(Duration::from_millis(2));
        let due = self.change_times.partition_point(|at| *at <= known_until) as i64;
        if revision < due {
            return Err(format!("m{index} has revision {revision} of {due} at an age of {age:?}"));
        }
        Ok(())
    }
}

fn apply_event(entries: &mut BTreeMap<String, i64>, event: &KvEvent) {
    match event {
        KvEvent::Put(entry) => entries.insert(entry.key.clone(), entry.mod_revision),
        KvEvent::Delete(key, _) => entries.remove(key),
    };
}

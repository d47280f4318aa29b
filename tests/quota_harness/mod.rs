//! Simulation of nodes that lease shares from each other in virtual time, with faults.
//!
//! The nodes do no I/O, and each has its own clock. A membership change reaches each connected
//! node within 2 s, the two heartbeat rounds of a small group. A node that is cut off counts as
//! isolated 6 s after its last contact, and grants by its old view until then.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use smallvec::SmallVec;
use yuccareel::quota_lease::{ShareState, ShareTable, ShareUse};
use yuccareel::quota_message::{
    ResourceHandover, ResourceKey, ResourceKind, ShareReply, ShareRequest,
};
use yuccareel::{cold_start, config_snapshot, ids, quota_allocator, replica_table};

use crate::fixtures::{customer, model, ms, replica, replica_table, version_pool};

const STEP: Duration = Duration::from_millis(100);
pub const STEPS: u32 = 900;
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(6);
const MAX_GOSSIP_DELAY_MS: u64 = 2_000;
const DEATH_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
pub enum Fault {
    Kill {
        node: usize,
    },
    Restart {
        node: usize,
    },
    /// Two nodes reach each other but no other node.
    Cut {
        nodes: [usize; 2],
        for_ms: u64,
    },
    Pause {
        node: usize,
        for_ms: u64,
    },
    ShutDown {
        node: usize,
    },
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    pub limit: u32,
    pub loss: f64,
    pub kind: ResourceKind,
    /// Whether answers warm up the replica.
    pub has_warmup: bool,
    pub faults: BTreeMap<u32, Fault>,
}

enum Message {
    Request(ShareRequest),
    Reply(ids::InstanceName, ShareReply),
    Handover(ids::InstanceName, Vec<ResourceHandover>),
    /// Request of a new allocator, with the time on its clock at which it was sent.
    HandoverRequest(ids::InstanceName, Vec<ResourceKey>, Duration),
    Release(ids::InstanceName, Vec<ResourceHandover>, Duration),
}

struct Node {
    name: ids::InstanceName,
    /// Time on the node's clock when the simulation starts.
    offset: Duration,
    is_alive: bool,
    paused_until: Duration,
    cut_until: Duration,
    cut_at: Duration,
    last_contact: Duration,
    view: Vec<ids::InstanceName>,
    /// Time of the next update of the view; `Duration::MAX` if none is due.
    view_update_at: Duration,
    shares: ShareTable,
    allocator: quota_allocator::QuotaAllocator,
    /// Requests at the replica: end and warm-up epoch in which each was sent.
    running: Vec<(Duration, u64)>,
    answers: cold_start::AnswerCount,
}

pub struct QuotaHarness {
    schedule: Schedule,
    random: rand::rngs::StdRng,
    pub now: Duration,
    snapshot: config_snapshot::ConfigSnapshot,
    table: replica_table::ReplicaTable,
    /// State of the replica itself, by the answers it has sent.
    warmup: cold_start::WarmupState,
    nodes: Vec<Node>,
    members: Vec<ids::InstanceName>,
    /// Nodes that were shut down and still finish their requests.
    leaving: Vec<ids::InstanceName>,
    /// Nodes that the group will declare dead, with the time.
    removals: Vec<(Duration, ids::InstanceName)>,
    /// Messages in flight: arrival, sender and receiver, content.
    messages: Vec<(Duration, [usize; 2], Message)>,
    resource: Arc<str>,
}

impl QuotaHarness {
    pub fn new(schedule: Schedule) -> Self {
        let mut random = rand::rngs::StdRng::seed_from_u64(schedule.seed);
        let members: Vec<ids::InstanceName> =
            (0..schedule.nodes).map(|index| format!("n{index}").into()).collect();
        let nodes = members.iter().map(|name| {
            let offset = ms(random.random_range(0..1_000_000));
            let mut allocator = quota_allocator::QuotaAllocator::new(name.clone(), 1, offset);
            allocator.set_members(&members, &[], offset);
            Node {
                name: name.clone(),
                offset,
                is_alive: true,
                paused_until: Duration::ZERO,
                cut_until: Duration::ZERO,
                cut_at: Duration::ZERO,
                last_contact: Duration::ZERO,
                view: members.clone(),
                view_update_at: Duration::MAX,
                shares: ShareTable::new(name.clone(), 1),
                allocator,
                running: Vec::new(),
                answers: cold_start::AnswerCount::default(),
            }
        });
        let nodes = nodes.collect();
        let limit = schedule.limit;
        let records = [model("m", limit, 64), customer("r", 1, f64::from(limit), limit)];
        let bounds = cold_start::WarmupBounds { cold: limit, warm: 64 };
        Self {
            snapshot: config_snapshot::ConfigSnapshot::from_records(1, records),
            table: replica_table([replica("r", "dc", version_pool("m", "v1"))]),
            warmup: cold_start::WarmupState::new(bounds),
            schedule,
            random,
            now: Duration::ZERO,
            nodes,
            members,
            leaving: Vec::new(),
            removals: Vec::new(),
            messages: Vec::new(),
            resource: "r".into(),
        }
    }

    pub fn quantity(&self) -> u64 {
        match self.schedule.kind {
            ResourceKind::ReplicaConcurrency => u64::from(self.warmup.concurrency_limit()),
            ResourceKind::CustomerRate => u64::from(self.schedule.limit) * 1_000,
            ResourceKind::CustomerConcurrency => u64::from(self.schedule.limit),
            ResourceKind::CustomerSpend => 10_000,
        }
    }

    fn change_members(&mut self, change: impl FnOnce(&mut Vec<ids::InstanceName>)) {
        change(&mut self.members);
        self.members.sort();
        for node in &mut self.nodes {
            let view_update_at = self.now + ms(self.random.random_range(0..MAX_GOSSIP_DELAY_MS));
            node.view_update_at = node.view_update_at.min(view_update_at);
        }
    }

    fn inject(&mut self, fault: &Fault) {
        let now = self.now;
        match *fault {
            Fault::Kill { node } => {
                let node = &mut self.nodes[node];
                node.is_alive = false;
                node.running.clear();
                self.removals.push((now + DEATH_TIMEOUT, node.name.clone()));
            }
            Fault::Restart { node } => self.restart_node(node),
            Fault::Cut { nodes, for_ms } => {
                for node in nodes {
                    let node = &mut self.nodes[node];
                    (node.cut_until, node.cut_at) = (now + ms(for_ms), now);
                    if ms(for_ms) > DEATH_TIMEOUT {
                        self.removals.push((now + DEATH_TIMEOUT, node.name.clone()));
                    }
                }
            }
            Fault::Pause { node, for_ms } => {
                let (name, until) = (self.nodes[node].name.clone(), now + ms(for_ms));
                self.nodes[node].paused_until = until;
                if ms(for_ms) > DEATH_TIMEOUT {
                    self.removals.push((now + DEATH_TIMEOUT, name));
                }
            }
            Fault::ShutDown { node } => self.shut_down_node(node),
        }
    }

    fn restart_node(&mut self, index: usize) {
        let (now, members) = (self.now, self.members.clone());
        let node = &mut self.nodes[index];
        if node.is_alive {
            return;
        }
        let incarnation = now.as_millis() as u64 + 2;
        self.leaving.retain(|leaving| *leaving != node.name);
        node.is_alive = true;
        node.last_contact = now;
        node.view = members;
        node.shares = ShareTable::new(node.name.clone(), incarnation);
        node.answers = cold_start::AnswerCount::default();
        node.allocator =
            quota_allocator::QuotaAllocator::new(node.name.clone(), incarnation, now + node.offset);
        node.allocator.set_members(&node.view, &self.leaving, now + node.offset);
        let name = node.name.clone();
        self.removals.retain(|(_, removed)| *removed != name);
        self.rejoin(&name);
    }

    fn rejoin(&mut self, name: &ids::InstanceName) {
        if !self.members.contains(name) {
            self.change_members(|members| members.push(name.clone()));
        }
    }

    fn shut_down_node(&mut self, index: usize) {
        if !self.nodes[index].is_alive || !self.is_reachable(index) {
            return;
        }
        let now = self.now;
        // The leaving node may or may not have removed itself from its view before.
        let is_announced = self.random.random_bool(0.5);
        let node = &mut self.nodes[index];
        let name = node.name.clone();
        if is_announced {
            node.view.retain(|member| *member != name);
            node.allocator.set_members(&node.view, std::slice::from_ref(&name), now + node.offset);
        }
        for (successor, handovers) in node.allocator.hand_over(now + node.offset) {
            let target = self.nodes.iter().position(|other| other.name == successor).unwrap();
            self.send(index, target, Message::Handover(name.clone(), handovers));
        }
        self.leaving.push(name.clone());
        self.change_members(|members| members.retain(|member| *member != name));
    }

    fn is_reachable(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.is_alive && self.now >= node.cut_until && self.now >= node.paused_until
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let partition = |index: usize| {
            let node = &self.nodes[index];
            (self.now < node.cut_until).then_some(node.cut_at)
        };
        from == to || partition(from) == partition(to)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_lost = self.random.random_bool(self.schedule.loss);
        if !is_lost && self.is_connected(from, to) {
            // Some messages are so late that later ones overtake them.
            let max_delay_ms = if self.random.random_bool(0.1) { 2_500 } else { 150 };
            let arrives_at = self.now + ms(self.random.random_range(0..max_delay_ms));
            self.messages.push((arrives_at, [from, to], message));
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let (due, kept) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|(arrives_at, ..)| *arrives_at <= now);
        self.messages = kept;
        for (_, [from, to], message) in due {
            let node = &self.nodes[to];
            if now < node.paused_until {
                // The message stays in the receive buffer until the process runs again.
                self.messages.push((node.paused_until, [from, to], message));
            } else if node.is_alive && self.is_connected(from, to) {
                self.handle(to, message);
            }
        }
    }

    fn handle(&mut self, to: usize, message: Message) {
        let node = &mut self.nodes[to];
        let clock = self.now + node.offset;
        let tables = quota_allocator::QuotaTables { snapshot: &self.snapshot, table: &self.table };
        match message {
            Message::Request(request) => {
                let may_grant = self.now < node.last_contact + ISOLATION_TIMEOUT;
                let reply = node.allocator.answer_request(&request, tables, may_grant, clock);
                let name = node.name.clone();
                let sender = self.nodes.iter().position(|node| node.name == request.node).unwrap();
                self.send(to, sender, Message::Reply(name, reply));
            }
            Message::Reply(allocator, reply) => node.shares.apply_reply(&allocator, &reply),
            Message::Handover(from, handovers) => {
                node.allocator.accept_handover(&from, &handovers, tables, clock);
            }
            Message::HandoverRequest(from, resources, requested_at) => {
                let may_grant = self.now < node.last_contact + ISOLATION_TIMEOUT;
                let handovers = node.allocator.release_shares(&from, &resources, may_grant, clock);
                let name = node.name.clone();
                let sender = self.nodes.iter().position(|node| node.name == from).unwrap();
                self.send(to, sender, Message::Release(name, handovers, requested_at));
            }
            Message::Release(from, handovers, requested_at) => {
                let may_grant = self.now < node.last_contact + ISOLATION_TIMEOUT;
                node.allocator.accept_released_shares(
                    &from,
                    &handovers,
                    requested_at,
                    tables,
                    may_grant,
                    clock,
                );
            }
        }
    }

    fn run_node(&mut self, index: usize, step: u32) {
        let (now, quantity) = (self.now, self.quantity());
        let node = &mut self.nodes[index];
        let ended = node.running.extract_if(.., |(ends_at, _)| *ends_at <= now);
        let ended: SmallVec<[(Duration, u64); 4]> = ended.collect();
        if self.schedule.has_warmup {
            let answers = cold_start::WarmupSignal::Answers(ended.len() as u32);
            self.warmup.apply(answers, now);
        }
        if !node.is_alive || now < node.paused_until {
            return;
        }
        let clock = now + node.offset;
        let is_isolated = now >= node.last_contact + ISOLATION_TIMEOUT;
        node.allocator.tick(!is_isolated, clock);
        if now >= node.cut_until {
            node.last_contact = now;
            if now >= node.view_update_at {
                node.view_update_at = Duration::MAX;
                node.view = self.members.clone();
                node.allocator.set_members(&node.view, &self.leaving, clock);
            }
        }
        let handover_requests = match is_isolated {
            true => HashMap::new(),
            false => node.allocator.handover_requests(clock),
        };
        let name = node.name.clone();
        for (former, resources) in handover_requests {
            let target = self.nodes.iter().position(|node| node.name == former).unwrap();
            self.send(index, target, Message::HandoverRequest(name.clone(), resources, clock));
        }
        let node = &mut self.nodes[index];
        let kind = self.schedule.kind;
        let held = node.shares.leased_amount(kind, "r", clock);
        let state = node.shares.share_state(kind, "r", clock);
        let epoch = if let ShareState::Leased { epoch, .. } = state { epoch } else { 0 };
        if epoch != 0 {
            ended.iter().for_each(|(_, sent_in)| node.answers.record(*sent_in, epoch));
        }
        while kind == ResourceKind::ReplicaConcurrency && (node.running.len() as u64) < held {
            let max_duration_ms = if self.random.random_bool(0.2) { 8_000 } else { 1_000 };
            let ends_at = now + ms(self.random.random_range(100..max_duration_ms));
            node.running.push((ends_at, epoch));
        }
        let is_due = (step as usize + index).is_multiple_of(10);
        let is_busy = self.random.random_bool(0.8);
        if is_due {
            let in_use = node.running.len() as u64;
            let wanted = if is_busy { self.random.random_range(0..quantity) + 1 } else { 0 };
            let wanted = wanted.max(in_use);
            let (used, period) = match self.schedule.has_warmup {
                true => (node.answers.answers, node.answers.epoch),
                false => (0, 0),
            };
            let use_now = ShareUse { wanted, in_use, used, period };
            node.shares.record_use(kind, &self.resource, use_now, clock);
            for (allocator, request) in node.shares.renewal_requests(clock, &node.view.clone()) {
                let target = self.nodes.iter().position(|node| node.name == allocator).unwrap();
                self.send(index, target, Message::Request(request));
            }
        }
    }

    pub fn step(&mut self, step: u32) {
        self.now = STEP * step;
        if let Some(fault) = self.schedule.faults.get(&step).cloned() {
            self.inject(&fault);
        }
        let now = self.now;
        let (due, kept) = std::mem::take(&mut self.removals)
            .into_iter()
            .partition::<Vec<_>, _>(|(due_at, _)| *due_at <= now);
        self.removals = kept;
        for (_, name) in due {
            self.change_members(|members| members.retain(|member| *member != name));
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let has_returned = now == node.cut_until.max(node.paused_until) && now > Duration::ZERO;
            if node.is_alive && has_returned {
                let name = node.name.clone();
                self.rejoin(&name);
            }
        }
        self.deliver_messages();
        let indexes: SmallVec<[usize; 8]> = (0..self.nodes.len()).collect();
        indexes.into_iter().for_each(|index| self.run_node(index, step));
    }

    /// Whether the replica is cold, so that its limit is strict.
    pub fn is_cold(&self) -> bool {
        self.warmup.is_cold()
    }

    /// Sum of the shares that live nodes hold, and number of requests at the replica.
    pub fn held_and_running(&self) -> (u64, u64) {
        let kind = self.schedule.kind;
        let held = self.nodes.iter().filter(|node| node.is_alive);
        let held = held.map(|node| node.shares.leased_amount(kind, "r", self.now + node.offset));
        (held.sum(), self.nodes.iter().map(|node| node.running.len() as u64).sum())
    }
}

//! Nodes, replicas and callers of the surge in virtual time.

mod node;
mod scenario;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use yuccareel::admission_queue::{QueueOutcome, QueuedRequest, RequestLane};
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::ids;
use yuccareel::quota_allocator::QuotaTables;
use yuccareel::quota_lease::{ShareState, ShareUse};
use yuccareel::quota_message::{ResourceKind, ShareReply, ShareRequest};
use yuccareel::refusal_reason::RefusalReason;
use yuccareel::replica_table::{InFlightGuard, ReplicaPool};
use yuccareel::retry_budget::{AttemptProgress, RetryDecision, decide_retry};
use yuccareel::retry_reason::RetryReason;
use yuccareel::route_decision::{RouteDispatch, RouteRequest, RouteTables, choose_replica};

use node::{Node, node, replica_name};
pub use scenario::{RoutePolicy, Scenario, Totals};

use crate::fixtures::{customer, data_centre, load_report, model, ms, version_pool};

pub const CUSTOMERS: [(&str, u32); 4] = [("c4", 4), ("c2", 2), ("c1a", 1), ("c1b", 1)];
pub const SURGE: Duration = Duration::from_secs(20);
/// Homes settle for 10 s and replicas warm up before the surge.
const SURGE_START: Duration = Duration::from_secs(20);
const QUIET_PER_S: f64 = 5.0;
const NODES: usize = 8;
const REPLICAS: usize = 18;
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];
/// Mean time of an answer; answers take between half and one and a half of it.
const ANSWER_MS: u64 = 400;
/// About 3 s of a node's part of the capacity.
const QUEUE_BOUND: usize = 150;
/// Weight of one arrival or answer in the smoothed queue length, about 450 a second.
const QUEUE_WEIGHT: f64 = 0.002;
const FAILURES: f64 = 0.05;
const KIND: ResourceKind = ResourceKind::ReplicaConcurrency;

pub struct Caller {
    arrived_at: Duration,
    attempts: u32,
    excluded: Vec<ids::ReplicaName>,
}

struct Attempt {
    node: usize,
    replica: usize,
    epoch: u64,
    request: QueuedRequest<Caller>,
    _in_flight: InFlightGuard,
}

enum Event {
    Arrive,
    Tick(usize),
    Report,
    Ask(usize, usize, ShareRequest),
    Reply(usize, ids::InstanceName, ShareReply),
    Finish(Attempt),
}

pub struct World {
    scenario: Scenario,
    now: Duration,
    random: rand::rngs::StdRng,
    snapshot: ConfigSnapshot,
    pool: ReplicaPool,
    names: Vec<ids::InstanceName>,
    nodes: Vec<Node>,
    at_replica: Vec<u32>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: HashMap<u64, Event>,
    next_event: u64,
    totals: Totals,
}

impl World {
    pub fn run(scenario: Scenario) -> Totals {
        let mut world = Self::new(scenario);
        world.schedule(ms(12_000), Event::Arrive);
        world.schedule(Duration::ZERO, Event::Report);
        (0..NODES).for_each(|node| world.schedule(ms(node as u64 * 10), Event::Tick(node)));
        while let Some(Reverse((at, id))) = world.events.pop() {
            if at > SURGE_START + SURGE {
                break;
            }
            world.now = at;
            let event = world.bodies.remove(&id).expect("each event has a body");
            world.handle(event);
        }
        world.totals
    }

    fn new(scenario: Scenario) -> Self {
        let distances = DATA_CENTRES.map(|name| (name, 500));
        let mut records = vec![model("m", 2, scenario.warm)];
        records.extend(DATA_CENTRES.map(|name| data_centre(name, false, &distances)));
        records.extend(CUSTOMERS.map(|(name, weight)| customer(name, weight, 1e6, 100_000)));
        let snapshot = ConfigSnapshot::from_records(1, records);
        let names: Vec<ids::InstanceName> =
            (0..NODES).map(|index| format!("node-{index}").into()).collect();
        let nodes =
            names.iter().enumerate().map(|(index, name)| node(&snapshot, &names, index, name));
        Self {
            now: Duration::ZERO,
            random: rand::rngs::StdRng::seed_from_u64(scenario.seed),
            pool: version_pool("m", "v1"),
            nodes: nodes.collect(),
            names,
            snapshot,
            at_replica: vec![0; REPLICAS],
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next_event: 0,
            totals: Totals { warm: scenario.warm, ..Totals::default() },
            scenario,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.bodies.insert(self.next_event, event);
    }

    fn in_surge(&self) -> bool {
        self.now >= SURGE_START
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick(node) => self.tick(node),
            Event::Report => self.report(),
            Event::Ask(from, to, request) => {
                let node = &mut self.nodes[to];
                let tables = QuotaTables { snapshot: &self.snapshot, table: &node.table };
                let reply = node.home.answer_request(&request, tables, true, self.now);
                let event = Event::Reply(from, self.names[to].clone(), reply);
                self.schedule(self.now + ms(1), event);
            }
            Event::Reply(to, home, reply) => {
                self.nodes[to].shares.apply_reply(&home, &reply);
                self.dispatch(to);
            }
            Event::Finish(attempt) => self.finish(attempt),
        }
    }

    fn arrive(&mut self) {
        let rate = match self.in_surge() {
            true => self.scenario.capacity_per_s() * self.scenario.load,
            false => QUIET_PER_S,
        };
        let gap_s = -self.random.random_range(f64::EPSILON..1.0).ln() / rate;
        self.schedule(self.now + Duration::from_secs_f64(gap_s), Event::Arrive);
        let batch = self.random.random_bool(0.2);
        let (lane, deadline) =
            if batch { (RequestLane::Batch, 10_000) } else { (RequestLane::Interactive, 2_000) };
        let customer = CUSTOMERS[self.random.random_range(0..CUSTOMERS.len())].0;
        let request = QueuedRequest {
            customer: customer.into(),
            lane,
            deadline: self.now + ms(deadline),
            expected_duration: ms(ANSWER_MS * 3 / 2),
            cost: 1,
            payload: Caller { arrived_at: self.now, attempts: 0, excluded: Vec::new() },
        };
        self.totals.offered += u32::from(self.in_surge());
        let node = self.random.random_range(0..NODES);
        match self.nodes[node].queue.push(request, self.now) {
            Ok(()) => self.dispatch(node),
            Err(refusal) => self.refuse(&refusal.request),
        }
        self.state_use(node);
    }

    fn refuse(&mut self, request: &QueuedRequest<Caller>) {
        let wait = self.in_surge().then(|| self.now - request.payload.arrived_at);
        self.totals.refused.extend(wait);
    }

    /// States the demand at each replica of the subset; renews at once if it rose from nothing.
    fn state_use(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let mut urgent = false;
        let count = node.subset.all_members().count().max(1);
        // The mean of about a second keeps shares from moving with every change of the queue.
        let queued = node.queue.len() as f64 / count as f64;
        node.queued += (queued - node.queued) * if node.queued < 1.0 { 1.0 } else { QUEUE_WEIGHT };
        let queued = node.queued.ceil() as u64;
        for member in node.subset.all_members() {
            let row = node.table.row(member.index);
            let in_use = u64::from(row.in_flight.load(Ordering::Relaxed));
            let answers = node.answers.get(&member.index).copied().unwrap_or_default();
            let use_now = ShareUse {
                wanted: in_use + queued,
                in_use,
                used: answers.answers,
                period: answers.epoch,
            };
            urgent |= node.shares.record_use(KIND, &row.name, use_now, self.now);
        }
        if urgent && self.now >= node.renewed_at + ms(100) {
            self.renew(index);
        }
    }

    fn renew(&mut self, index: usize) {
        self.nodes[index].renewed_at = self.now;
        for (home, request) in self.nodes[index].shares.renewal_requests(self.now, &self.names) {
            let target = self.names.iter().position(|name| *name == home).expect("a member");
            self.schedule(self.now + ms(1), Event::Ask(index, target, request));
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule(self.now + ms(100), Event::Tick(index));
        self.nodes[index].home.tick(true, self.now);
        for refusal in self.nodes[index].queue.refuse_late(self.now) {
            self.refuse(&refusal.request);
        }
        self.state_use(index);
        if self.now >= self.nodes[index].renewed_at + ms(1_000) {
            self.renew(index);
        }
        self.dispatch(index);
    }

    /// Reports load to all nodes, with the state of half a second ago.
    fn report(&mut self) {
        self.schedule(self.now + ms(500), Event::Report);
        for (index, load) in self.at_replica.iter().enumerate() {
            let name = replica_name(index);
            for node in &mut self.nodes {
                let load = load_report(*load, false, "boot", self.now);
                node.table.record_report(&name, load.clone());
                let tables = QuotaTables { snapshot: &self.snapshot, table: &node.table };
                node.home.apply_load_report(&name.clone().into(), &load, tables, self.now);
            }
        }
        if self.now >= SURGE_START + ms(2_000) {
            let most = self.at_replica.iter().max().copied().unwrap_or(0);
            let mean = self.at_replica.iter().sum::<u32>() as f64 / REPLICAS as f64;
            self.totals.herding_sum += f64::from(most) / mean.max(1.0);
            self.totals.herding_samples += 1;
        }
    }

    fn dispatch(&mut self, index: usize) {
        while let Some(outcome) = self.nodes[index].queue.pop(self.now) {
            match outcome {
                QueueOutcome::Refuse(refusal) => self.refuse(&refusal.request),
                QueueOutcome::Dispatch(request) => match self.route(index, &request) {
                    Ok(dispatch) => self.attempt(index, dispatch, request),
                    Err(_) => return self.nodes[index].queue.undo_pop(request),
                },
            }
        }
    }

    fn route(
        &mut self,
        index: usize,
        request: &QueuedRequest<Caller>,
    ) -> Result<RouteDispatch, RefusalReason> {
        let node = &self.nodes[index];
        let tables = RouteTables {
            snapshot: &self.snapshot,
            table: &node.table,
            subset: &node.subset,
            shares: &node.shares,
            node_count: NODES,
            is_fresh: true,
        };
        let mut route = RouteRequest {
            customer: &request.customer,
            pool: &self.pool,
            deadline: request.deadline,
            excluded_replicas: &request.payload.excluded,
            prefix_bonuses: &[],
        };
        let others = match self.scenario.policy {
            RoutePolicy::TwoChoices => Vec::new(),
            RoutePolicy::LeastReported => {
                let load = |index: usize| {
                    node.table.row(index).report.as_ref().map_or(0, |report| report.requests)
                };
                let members = node.subset.members(&self.pool).iter().map(|member| member.index);
                let least = members.clone().min_by_key(|index| load(*index));
                let others = members.filter(|index| Some(*index) != least);
                others.map(|index| node.table.row(index).name.clone()).collect()
            }
        };
        if !others.is_empty() {
            route.excluded_replicas = &others;
        }
        choose_replica(tables, route, self.now, &mut self.random)
    }

    fn send(&mut self, node: usize, dispatch: RouteDispatch, mut request: QueuedRequest<Caller>) {
        request.payload.attempts += 1;
        let replica = dispatch.replica;
        self.totals.sent += u32::from(self.in_surge());
        self.at_replica[replica] += 1;
        self.totals.most_at_replica = self.totals.most_at_replica.max(self.at_replica[replica]);
        let time = ms(self.random.random_range(ANSWER_MS / 2..=ANSWER_MS * 3 / 2));
        let (epoch, _in_flight) = (dispatch.epoch, dispatch.in_flight);
        let attempt = Attempt { node, replica, epoch, request, _in_flight };
        self.schedule(self.now + time, Event::Finish(attempt));
    }

    fn finish(&mut self, attempt: Attempt) {
        let Attempt { node, replica, epoch, mut request, _in_flight } = attempt;
        drop(_in_flight);
        self.at_replica[replica] -= 1;
        let name: Arc<str> = replica_name(replica).into();
        if self.random.random_bool(FAILURES) {
            request.payload.excluded.push(name);
            self.retry(node, request);
        } else {
            let state = self.nodes[node].shares.share_state(KIND, &name, self.now);
            if let ShareState::Leased { epoch: current, .. } = state {
                self.nodes[node].answers.entry(replica).or_default().record(epoch, current);
            }
            if self.in_surge() {
                match self.now <= request.deadline {
                    true => {
                        *self.totals.good.entry((request.customer, request.lane)).or_default() += 1
                    }
                    false => self.totals.failed += 1,
                }
            }
        }
        self.dispatch(node);
        self.state_use(node);
    }

    /// Sends a first attempt, or a retry if the budget pays for it.
    fn attempt(&mut self, index: usize, dispatch: RouteDispatch, request: QueuedRequest<Caller>) {
        let name = replica_name(dispatch.replica).into();
        let budget = &mut self.nodes[index].budget;
        if request.payload.attempts == 0 {
            budget.record_first_attempt(&request.customer, &name);
            self.totals.admitted += u32::from(self.in_surge());
        } else if !budget.try_take_retry(&request.customer, &name) {
            self.totals.failed += u32::from(self.in_surge());
            return;
        }
        self.send(index, dispatch, request);
    }

    /// Queues a failed request for another attempt.
    fn retry(&mut self, node: usize, request: QueuedRequest<Caller>) {
        let attempts = request.payload.attempts;
        match decide_retry(RetryReason::BackendError, true, AttemptProgress::MaybeSent, attempts) {
            RetryDecision::RetryWithinBudget => self.nodes[node].queue.push_retry(request),
            _ => self.totals.failed += u32::from(self.in_surge()),
        }
    }
}

//! Rollout system: evidence of this node, its way to the holder, and the holder's role.
//!
//! Every node sends its evidence to the first watcher of its data centre, which
//! adds it up and sends it on to the holder. The states of the rollouts travel
//! back as the answers. Counts of rated answers take the same way; the holder keeps
//! their summary in the key-value service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::event_catalogue::LogEvent;
use crate::{
    chat_job, config_snapshot, ids, kv_store, member_choice, node, node_config, node_orders,
    peer_message, quality_table, records, replica_table, rollout_evidence, rollout_holder,
    rollout_loads, rollout_stage,
};

/// Time between two reports of evidence.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Most quality counts in one message, about 8 KB. A new node thus knows 640 cells after 10 s.
const COUNT_ROWS: usize = 64;
/// First-token time above which an answer counts as slow.
pub const SLOW_FIRST_TOKEN: Duration = Duration::from_millis(460);

/// Outcome of one answer as evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// Whole answer, and whether its first token came late.
    Whole(bool),
    /// Failed answer.
    Failed,
    /// Rating of an answer that was counted before: whether it met the quality target.
    Rated(bool),
}

impl AnswerOutcome {
    fn add_to(self, evidence: &mut rollout_evidence::VersionEvidence) {
        match self {
            Self::Whole(slow) => evidence.record(false, None, slow),
            Self::Failed => evidence.record(true, None, false),
            Self::Rated(passed) => evidence.rate(passed),
        }
    }
}

/// Rollouts as this node knows them.
#[derive(Default)]
pub struct RolloutView {
    /// States as the holder last wrote them.
    pub states: ArcSwap<peer_message::RolloutStates>,
    /// Role of the holder, while this node has it.
    pub role: Mutex<Option<rollout_holder::HolderRole>>,
    /// Loads that engines have shown to this node as holder.
    pub shown: Mutex<node_orders::ShownLoads>,
    /// Versions that this node stopped by itself.
    pub stops: Mutex<rollout_stage::LocalStops>,
    /// Evidence that has not been sent on.
    collectors: Mutex<HashMap<ids::RolloutName, rollout_evidence::EvidenceCollector>>,
    sequence: Mutex<u64>,
    /// Process whose quality counts this node took over last, and their revision there.
    known_counts: Mutex<Option<(ids::InstanceName, u64)>>,
}

impl RolloutView {
    /// Version that a new session prefers; the old one while no replica of the new one is listed.
    pub fn preferred(
        &self,
        snapshot: &config_snapshot::ConfigSnapshot,
        table: &replica_table::ReplicaTable,
        model: &str,
        session: &str,
    ) -> Option<ids::VersionName> {
        let (states, stops) = (self.states.load(), self.stops.lock());
        let version = rollout_stage::preferred_version(snapshot, &states, &stops, model, session)?;
        let pool = replica_table::ReplicaPool::Version(model.into(), version.clone());
        if !table.pool(&pool).is_empty() {
            return Some(version);
        }
        let rollout = snapshot.rollouts.values().find(|rollout| &*rollout.model == model);
        Some(rollout.map_or(version, |rollout| rollout.from.clone()))
    }

    /// Drops the evidence and local stops of rollouts that were removed.
    pub fn retain(&self, snapshot: &config_snapshot::ConfigSnapshot) {
        self.collectors.lock().retain(|name, _| snapshot.rollouts.contains_key(name));
        self.stops.lock().retain(|model, version| {
            let mut rollouts = snapshot.rollouts.values();
            rollouts.any(|rollout| *rollout.model == *model && *rollout.to == *version)
        });
    }

    /// Names of the rollouts whose evidence is kept.
    pub fn collected(&self) -> Vec<ids::RolloutName> {
        self.collectors.lock().keys().cloned().collect()
    }

    /// Adds evidence that a node sent; false when it is a repetition.
    pub fn record(&self, report: &rollout_evidence::EvidenceReport) -> bool {
        let mut collectors = self.collectors.lock();
        collectors.entry(report.rollout.clone()).or_default().record(report)
    }

    fn take(
        &self,
        rollout: &ids::RolloutName,
    ) -> (rollout_evidence::EvidenceBlock, BTreeSet<ids::InstanceName>) {
        self.collectors.lock().entry(rollout.clone()).or_default().take()
    }

    fn next_sequence(&self) -> u64 {
        let mut sequence = self.sequence.lock();
        *sequence += 1;
        *sequence
    }
}

impl node::Node {
    /// Records the outcome of an answer of a version that is part of a rollout.
    pub fn note_outcome(&self, target: &chat_job::VersionTarget, outcome: AnswerOutcome) {
        let snapshot = self.snapshot.load();
        let rollouts = snapshot.rollouts.values();
        let Some(rollout) = rollouts.clone().find(|rollout| {
            rollout.model == target.model.name
                && (rollout.from == target.version || rollout.to == target.version)
        }) else {
            return;
        };
        let mut block = rollout_evidence::EvidenceBlock::default();
        let is_new = rollout.to == target.version;
        let side = if is_new { &mut block.to } else { &mut block.from };
        outcome.add_to(side);
        if is_new {
            let mut stops = self.rollouts.stops.lock();
            let failed = outcome == AnswerOutcome::Failed;
            let counts = !matches!(outcome, AnswerOutcome::Rated(_));
            if counts && stops.record(&target.model.name, &target.version, failed) {
                metrics::counter!("yuccareel_versions_stopped_total").increment(1);
                self.emit(
                    LogEvent::VersionStopped,
                    slog::o!(
                        "model" => target.model.name.to_string(),
                        "version" => target.version.to_string()
                    ),
                );
            }
        }
        self.rollouts.record(&rollout_evidence::EvidenceReport {
            rollout: rollout.name.clone(),
            sender: format!("{}/answers", self.process).into(),
            sequence: self.rollouts.next_sequence(),
            block,
            stopped: BTreeSet::new(),
        });
    }

    /// Evidence since the last call, with this node among those that have stopped the version.
    ///
    /// A stopped version gets no further answers here, so that the stop is reported again
    /// every second: the holder compares the nodes that report it in one tick.
    fn take_evidence(
        &self,
        rollout: &records::rollout::RolloutRecord,
    ) -> (rollout_evidence::EvidenceBlock, BTreeSet<ids::InstanceName>) {
        let (block, mut stopped) = self.rollouts.take(&rollout.name);
        if self.rollouts.stops.lock().stopped(&rollout.model, &rollout.to) {
            stopped.insert(self.process.clone());
        }
        (block, stopped)
    }

    /// Whether engines are still to load the version for the present stage of a rollout.
    fn loads_missing(
        &self,
        record: &records::rollout::RolloutRecord,
        state: &rollout_stage::RolloutState,
    ) -> bool {
        let (table, shown) = (self.replicas.load(), self.rollouts.shown.lock());
        rollout_loads::missing_rows(record, state, &table).any(|row| {
            !shown.contains(&node_orders::LoadOrder {
                replica: row.name.clone(),
                model: record.model.clone(),
                version: record.to.clone(),
            })
        })
    }

    /// Whether a version's answers are evidence for a rollout.
    pub fn under_rollout(&self, target: &chat_job::VersionTarget) -> bool {
        let snapshot = self.snapshot.load();
        snapshot.rollouts.values().any(|rollout| {
            rollout.model == target.model.name
                && (rollout.from == target.version || rollout.to == target.version)
        })
    }

    /// Sends evidence each second and campaigns for the holder's role on watchers.
    pub async fn run_rollouts(self: Arc<Self>) {
        let store: Arc<dyn kv_store::KvStore> = Arc::clone(&self.options.store);
        let mut holder = rollout_holder::RolloutHolder::new(store, self.process.clone());
        let mut held = HeldRollouts::default();
        let mut ticks = tokio::time::interval(EVIDENCE_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => break,
                _ = ticks.tick() => self.tick_rollouts(&mut holder, &mut held).await,
            }
        }
        match holder.role() {
            Some(_) => while self.write_summary_part(&mut holder).await {},
            None => self.send_learning(&self.snapshot.load_full()).await,
        }
        // Without this the successor waits for the lease to expire.
        let _ = holder.resign().await;
    }

    async fn tick_rollouts(
        &self,
        holder: &mut rollout_holder::RolloutHolder,
        held: &mut HeldRollouts,
    ) {
        let snapshot = self.snapshot.load_full();
        if snapshot.rollouts.is_empty() {
            self.rollouts.states.store(Arc::default());
        }
        if self.watches() {
            let held = holder.role().is_some();
            // An error leaves the role as it was.
            let _ = holder.tick().await;
            match (held, holder.role()) {
                (false, Some(role)) => {
                    self.emit(LogEvent::HolderTaken, slog::o!("token" => role.token));
                }
                (true, None) => self.emit(LogEvent::HolderLost, slog::o!()),
                _ => {}
            }
        }
        *self.rollouts.role.lock() = holder.role();
        match holder.role() {
            Some(role) => {
                held.step_all(self, holder, role.token, &snapshot).await;
                self.adopt_states(held.states());
                // The counts end here; nobody is left to send them on to.
                self.quality.lock().take_unsent();
                if held.load_summary(self).await {
                    self.write_summary_part(holder).await;
                }
            }
            None => {
                held.clear();
                self.send_learning(&snapshot).await;
            }
        }
    }

    /// Sends evidence and quality counts, and takes over what the receiver knows.
    async fn send_learning(&self, snapshot: &config_snapshot::ConfigSnapshot) {
        let Some(peer) = self.evidence_target().await else { return };
        let evidence = snapshot.rollouts.values().map(|rollout| {
            let (block, stopped) = self.take_evidence(rollout);
            rollout_evidence::EvidenceReport {
                rollout: rollout.name.clone(),
                sender: self.process.clone(),
                sequence: self.rollouts.next_sequence(),
                block,
                stopped,
            }
        });
        let report = peer_message::LearningReport {
            evidence: evidence.collect(),
            counts: self.quality.lock().take_unsent_page(COUNT_ROWS),
            known: self.rollouts.known_counts.lock().clone(),
        };
        let sent = self.peers.send_evidence(peer, node_config::SPREAD_LIMIT, &report).await;
        match sent {
            Ok(reply) => {
                self.adopt_states(reply.states);
                self.quality.lock().adopt(reply.counts);
                *self.rollouts.known_counts.lock() = Some((reply.process, reply.revision));
            }
            Err(error) if !error.may_have_run() => {
                for evidence in &report.evidence {
                    self.rollouts.record(evidence);
                }
                self.quality.lock().restore_unsent(report.counts);
            }
            // Evidence may have arrived; counting it twice could roll back a good version.
            Err(_) => metrics::counter!("yuccareel_evidence_lost_total").increment(1),
        }
    }

    /// Takes a report of another node; the reply holds what changed here since its last one.
    pub fn take_learning(
        &self,
        report: peer_message::LearningReport,
    ) -> peer_message::LearningReply {
        for evidence in &report.evidence {
            self.rollouts.record(evidence);
        }
        let mut table = self.quality.lock();
        table.relay(report.counts);
        let known = report.known.filter(|(process, _)| *process == self.process);
        let known = known.map_or(0, |(_, revision)| revision);
        let (counts, revision) = table.changed_since(known, COUNT_ROWS);
        let states = (**self.rollouts.states.load()).clone();
        peer_message::LearningReply { states, process: self.process.clone(), counts, revision }
    }

    /// Writes the next changed part of the quality summary; false when none was written.
    async fn write_summary_part(&self, holder: &mut rollout_holder::RolloutHolder) -> bool {
        let taken = {
            let mut table = self.quality.lock();
            table.take_unwritten().map(|part| (part, table.export(part)))
        };
        let Some((part, rows)) = taken else { return false };
        let written = holder.write_summary(part, &rows).await.is_ok();
        if !written {
            self.quality.lock().restore_unwritten(part);
        }
        written
    }

    /// First watcher of the data centre, or the holder when this node is that watcher.
    async fn evidence_target(&self) -> Option<std::net::SocketAddr> {
        let first = {
            let table = self.members.lock();
            let watchers = member_choice::watchers(&table, self.clock(), &self.options.data_centre);
            watchers.first().map(|name| ids::InstanceName::from(*name))
        };
        match first {
            Some(name) if name != self.options.name => self.peer_address(&name),
            _ => {
                let found = self.options.store.get(rollout_holder::HOLDER_KEY).await;
                let entry = found.ok().flatten()?;
                let process = String::from_utf8_lossy(&entry.value).into_owned();
                let name = crate::bill_batch::instance_name(&process);
                (*name != *self.options.name).then(|| self.peer_address(name)).flatten()
            }
        }
    }

    /// Takes the states that the holder wrote; ended rollouts forget their local stops.
    pub fn adopt_states(&self, states: peer_message::RolloutStates) {
        let former = self.rollouts.states.load();
        if **former == states {
            return;
        }
        self.rollouts.states.store(Arc::new(states));
    }
}

/// Rollouts that this node decides on while it holds the role.
#[derive(Default)]
struct HeldRollouts {
    token: ids::FencingToken,
    stored: BTreeMap<ids::RolloutName, rollout_holder::StoredState>,
    /// Rollouts at the last deletion of the states of all others.
    cleaned: Option<BTreeSet<ids::RolloutName>>,
    last_tick: Option<Instant>,
    /// Parts of the quality summary that were read since the role was taken.
    parts_read: u64,
}

impl HeldRollouts {
    fn clear(&mut self) {
        *self = Self::default();
    }

    /// Reads the quality summary once; true when the whole of it was read.
    ///
    /// A part is written only after it was read, so that a new holder does not erase it.
    async fn load_summary(&mut self, node: &node::Node) -> bool {
        while self.parts_read < quality_table::SUMMARY_PARTS {
            let store = node.options.store.as_ref();
            match rollout_holder::read_summary(store, self.parts_read).await {
                Ok(rows) => node.quality.lock().import(rows),
                // An unreadable part is written anew.
                Err(rollout_holder::HolderError::Unreadable { .. }) => {}
                Err(_) => return false,
            }
            self.parts_read += 1;
        }
        true
    }

    fn states(&self) -> peer_message::RolloutStates {
        self.stored.iter().map(|(name, stored)| (name.clone(), stored.state.clone())).collect()
    }

    async fn step_all(
        &mut self,
        node: &node::Node,
        holder: &mut rollout_holder::RolloutHolder,
        token: ids::FencingToken,
        snapshot: &config_snapshot::ConfigSnapshot,
    ) {
        if self.token != token {
            self.clear();
            self.token = token;
        }
        let now = Instant::now();
        let elapsed = self.last_tick.map_or(Duration::ZERO, |last| now.duration_since(last));
        self.last_tick = Some(now);
        self.stored.retain(|name, _| snapshot.rollouts.contains_key(name));
        let names: BTreeSet<_> = snapshot.rollouts.keys().cloned().collect();
        if self.cleaned.as_ref() != Some(&names)
            && holder.delete_removed(&snapshot.rollouts).await.is_ok()
        {
            self.cleaned = Some(names);
        }
        for record in snapshot.rollouts.values() {
            self.step(node, holder, record, elapsed).await;
        }
    }

    async fn step(
        &mut self,
        node: &node::Node,
        holder: &mut rollout_holder::RolloutHolder,
        record: &records::rollout::RolloutRecord,
        elapsed: Duration,
    ) {
        let fresh =
            self.stored.get(&record.name).is_none_or(|stored| !stored.state.belongs_to(record));
        if fresh {
            let Ok(stored) = holder.read(record).await else { return };
            self.stored.insert(record.name.clone(), stored);
        }
        let Some(stored) = self.stored.get_mut(&record.name) else { return };
        let (block, stopped) = node.take_evidence(record);
        let tick = rollout_stage::RolloutTick { elapsed, block, stopped_nodes: stopped.len() };
        let to_active = node.snapshot.load().version_active(&record.model, &record.to);
        let mut record = record.clone();
        // Sessions of the next stage need the engines of this one.
        record.paused |= node.loads_missing(&record, &stored.state);
        let decided = holder.step(&record, to_active, &tick, stored).await;
        match decided {
            Ok(rollout_stage::RolloutDecision::Hold) => {}
            Ok(decision) => {
                let (label, event) = match decision {
                    rollout_stage::RolloutDecision::RollBack(_) => {
                        ("roll_back", LogEvent::RolloutRolledBack)
                    }
                    _ => ("advance", LogEvent::RolloutAdvanced),
                };
                let decision = format!("{decision:?}");
                let rollout = record.name.to_string();
                node.emit(event, slog::o!("rollout" => rollout, "decision" => decision));
                metrics::counter!("yuccareel_rollout_decisions_total", "decision" => label)
                    .increment(1);
            }
            Err(
                rollout_holder::HolderError::RoleLost | rollout_holder::HolderError::Conflict(_),
            ) => drop(self.stored.remove(&record.name)),
            Err(_) => {}
        }
    }
}

//! Home of limited quantities: divides them into leased shares.
//!
//! The home of a resource is the live node with the highest rendezvous rank. It
//! grants nothing until the shares of a former home have ended, unless that
//! home handed them over, and it settles again after a pause or isolation,
//! because another node may have been the home meanwhile. A new home asks the
//! former one, which grants nothing any more, for its shares; only one node
//! gets them, and only the home in the view of the former one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::quota_message::{GrantOutcome, ResourceKey, ResourceKind};
use crate::{
    allocation_row, cold_start, config_snapshot, ids, quota_message, quota_row, rendezvous,
    replica_table, route_decision,
};

/// Gap between two calls above which the home settles again.
///
/// Others declare a silent node dead only after 10 s, so a shorter gap cost it no role.
const MAX_GAP: Duration = Duration::from_secs(3);
/// Time for which former member lists are kept: the settling time at 1 million nodes.
const VIEWS_KEPT: Duration = Duration::from_secs(18);

/// Time for which a former home hands its shares to a new one.
///
/// The new home may have learned of its role a spreading time earlier and grants by itself
/// after 10 s, so it must not get shares that are older than what it granted since.
pub const RETIRED_KEPT: Duration = Duration::from_secs(6);
/// Time between two questions for the same shares.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between the question for shares and its answer. The former home has not granted
/// since its answer, but an answer older than this could be that of an earlier role.
const ASK_LIMIT: Duration = Duration::from_secs(1);
/// Former homes that are asked at once.
const ASKED_HOMES: usize = 4;

/// Configuration and replicas from which quantities follow.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTables<'a> {
    /// Configuration in effect.
    pub snapshot: &'a config_snapshot::ConfigSnapshot,
    /// Known replicas.
    pub table: &'a replica_table::ReplicaTable,
}

/// Shares of all resources for which this node is the home.
#[derive(Debug)]
pub struct QuotaAllocator {
    node: ids::InstanceName,
    views: VecDeque<MemberView>,
    rows: HashMap<ResourceKey, allocation_row::AllocationRow>,
    leaving: Vec<ids::InstanceName>,
    last_call: Duration,
    resumed_at: Duration,
    stopped: bool,
    next_epoch: u64,
}

#[derive(Debug)]
struct MemberView {
    since: Duration,
    members: Vec<ids::InstanceName>,
}

impl QuotaAllocator {
    /// Home without shares; `incarnation` grows with each start under the same name.
    pub fn new(node: ids::InstanceName, incarnation: u64, now: Duration) -> Self {
        // Epochs of two homes must differ, or answers counted for one would warm the other.
        let next_epoch = rendezvous::rank(&incarnation.to_string(), &node);
        Self {
            node,
            views: VecDeque::new(),
            rows: HashMap::new(),
            leaving: Vec::new(),
            last_call: now,
            resumed_at: now,
            stopped: false,
            next_epoch,
        }
    }

    /// Takes over a changed list of live members; call it at once on each change.
    ///
    /// Nodes in `leaving` are no homes any more but may still run requests.
    pub fn set_members(
        &mut self,
        members: &[ids::InstanceName],
        leaving: &[ids::InstanceName],
        now: Duration,
    ) {
        self.leaving = leaving.to_vec();
        if self.views.back().is_some_and(|view| view.members == members) {
            return;
        }
        let former_count = self.views.back().map_or(0, |view| view.members.len());
        self.views.push_back(MemberView { since: now, members: members.to_vec() });
        while self.views.get(1).is_some_and(|next| now >= next.since + VIEWS_KEPT) {
            self.views.pop_front();
        }
        for (resource, row) in &mut self.rows {
            let former = row.role_since;
            let was_ready =
                !self.stopped && row.ready(resource.kind, former_count, self.resumed_at, now);
            // A new role starts with an unknown number of requests at the replica.
            row.granting &= former.is_some();
            row.role_since = role_since(&self.views, &self.node, resource);
            let home = rendezvous::home(&resource.hash_key(), members);
            let from = row.handover.as_ref().map(|handover| &handover.from);
            if row.role_since.is_none() && (former.is_some() || home != from) {
                row.handover = None;
            }
            match (former, row.role_since) {
                (Some(_), None) if was_ready => row.retired_at = Some(now),
                (Some(_), None) => row.forget_warmup(&mut self.next_epoch),
                (None, Some(_)) => row.end_retirement(&mut self.next_epoch),
                _ => {}
            }
        }
    }

    /// Ends leases and notices pauses; call it every 0.1 s to 1 s.
    ///
    /// `may_grant` is false while this node is isolated or shutting down.
    pub fn tick(&mut self, may_grant: bool, now: Duration) {
        if !may_grant || now > self.last_call + MAX_GAP {
            self.resumed_at = now;
            // Signs of cold replicas may have been missed.
            for row in self.rows.values_mut() {
                row.forget_warmup(&mut self.next_epoch);
                row.handover = None;
                row.retired_at = None;
            }
        }
        self.last_call = now;
        let members = self.views.back().map_or(&[][..], |view| &view.members);
        for row in self.rows.values_mut() {
            row.shares.expire(now);
            if !row.retired(now) {
                row.end_retirement(&mut self.next_epoch);
            }
            // A cold replica bears no error about a node that is only cut off.
            if !row.warmup.as_ref().is_some_and(cold_start::WarmupState::is_cold) {
                let known =
                    |name: &str| members.iter().chain(&self.leaving).any(|known| &**known == name);
                row.shares.forget_gone(known);
            }
        }
        self.rows.retain(|_, row| {
            !row.shares.is_empty() || row.role_since.is_some() || row.retired_at.is_some()
        });
    }

    /// Answers a renewal.
    pub fn answer_request(
        &mut self,
        request: &quota_message::ShareRequest,
        tables: QuotaTables<'_>,
        may_grant: bool,
        now: Duration,
    ) -> quota_message::ShareReply {
        self.tick(may_grant, now);
        let outcomes = request.wants.iter().map(|want| quota_message::ShareGrant {
            resource: want.resource.clone(),
            outcome: self.grant(request, want, tables, may_grant, now),
        });
        quota_message::ShareReply { number: request.number, grants: outcomes.collect() }
    }

    fn grant(
        &mut self,
        request: &quota_message::ShareRequest,
        want: &quota_message::ShareDemand,
        tables: QuotaTables<'_>,
        may_grant: bool,
        now: Duration,
    ) -> GrantOutcome {
        let (stopped, resumed_at) = (self.stopped, self.resumed_at);
        let members = self.views.back().map_or(0, |view| view.members.len());
        let Some(row) = self.row(&want.resource, tables, now) else {
            return GrantOutcome::NotAllocator;
        };
        if row.role_since.is_none() {
            return GrantOutcome::NotAllocator;
        }
        let Some(grown) = row.shares.record_demand(request, want, now) else {
            return GrantOutcome::NotAllocator;
        };
        if let Some(warmup) = &mut row.warmup
            && want.period == row.epoch
        {
            let answers = u32::try_from(grown).unwrap_or(u32::MAX);
            warmup.apply(cold_start::WarmupSignal::Answers(answers), now);
        }
        if stopped || !may_grant || !row.ready(want.resource.kind, members, resumed_at, now) {
            row.granting = false;
            return GrantOutcome::NotAllocator;
        }
        row.start_granting(&want.resource, tables, now);
        let (quantity, cold) = row.quantity(&want.resource, tables);
        let amount = row.shares.grant(&request.node, request.number, quantity, now);
        GrantOutcome::Leased { amount, quantity, cold, epoch: row.epoch }
    }

    /// Applies a sign of a replica's warm-up state; returns whether it turned cold by it.
    ///
    /// The quantity falls at once; shares that are out end within one lease.
    pub fn apply_warmup_signal(
        &mut self,
        replica: &ids::ReplicaName,
        sign: cold_start::WarmupSignal,
        tables: QuotaTables<'_>,
        now: Duration,
    ) -> bool {
        let resource = ResourceKey::new(ResourceKind::ReplicaConcurrency, replica.clone());
        let epoch = self.next_epoch;
        let Some(row) = self.row(&resource, tables, now) else { return false };
        let Some(warmup) = &mut row.warmup else { return false };
        let turned = warmup.apply(sign, now);
        if turned {
            row.epoch = epoch;
            self.next_epoch = epoch.wrapping_add(1);
        }
        turned
    }

    /// Applies a load report: warm-up state, and use that no node reports any more.
    pub fn apply_load_report(
        &mut self,
        replica: &ids::ReplicaName,
        report: &replica_table::LoadReport,
        tables: QuotaTables<'_>,
        now: Duration,
    ) -> bool {
        let sign =
            cold_start::WarmupSignal::Report { boot: report.boot.clone(), cold: report.cold };
        let turned = self.apply_warmup_signal(replica, sign, tables, now);
        let resource = ResourceKey::new(ResourceKind::ReplicaConcurrency, replica.clone());
        if let Some(row) = self.rows.get_mut(&resource) {
            let requests = u64::from(report.requests);
            row.shares.limit_stale(requests, cold_start::MAX_REPORT_LAG, report.received_at);
        }
        turned
    }

    /// Whether there is a row of a replica's concurrency.
    pub fn has_row(&self, replica: &ids::ReplicaName) -> bool {
        let resource = ResourceKey::new(ResourceKind::ReplicaConcurrency, replica.clone());
        self.rows.contains_key(&resource)
    }

    /// Stops granting and returns what the successors need, by successor.
    pub fn hand_over(
        &mut self,
        now: Duration,
    ) -> HashMap<ids::InstanceName, Vec<quota_message::ResourceHandover>> {
        self.stopped = true;
        let mut handovers: HashMap<_, Vec<_>> = HashMap::new();
        let Some(view) = self.views.back() else { return handovers };
        let others: Vec<_> = view.members.iter().filter(|name| **name != self.node).collect();
        for (resource, row) in &mut self.rows {
            // The role has already passed on where the others learned first that this node leaves.
            let retired = row.retired(now);
            row.retired_at = None;
            if !retired && !row.ready(resource.kind, view.members.len(), self.resumed_at, now) {
                continue;
            }
            let members = others.iter().copied();
            let Some(home) = rendezvous::home(&resource.hash_key(), members) else { continue };
            handovers.entry(home.clone()).or_default().push(row.handover(resource, now));
        }
        handovers
    }

    /// Resources of which this node is the new home and grants nothing yet, by the nodes that
    /// may have been the home before.
    pub fn handover_requests(
        &mut self,
        now: Duration,
    ) -> HashMap<ids::InstanceName, Vec<ResourceKey>> {
        let mut questions: HashMap<_, Vec<_>> = HashMap::new();
        let Some(view) = self.views.back() else { return questions };
        let resumed_at = self.resumed_at;
        for (resource, row) in &mut self.rows {
            let due = row.asked_at.is_none_or(|at| now >= at + ASK_INTERVAL);
            if row.role_since.is_none()
                || !due
                || row.ready(resource.kind, view.members.len(), resumed_at, now)
            {
                continue;
            }
            row.asked_at = Some(now);
            let key = resource.hash_key();
            let others = view.members.iter().filter(|name| **name != self.node);
            let candidates = others.clone().chain(&self.leaving);
            // Nodes that leave were the home if they rank above all others that stay.
            let staying = rendezvous::home(&key, others);
            for former in rendezvous::highest(&key, candidates, ASKED_HOMES) {
                questions.entry(former.clone()).or_default().push(resource.clone());
                if Some(former) == staying {
                    break;
                }
            }
        }
        questions
    }

    /// Hands shares to the node that is their home now; each share only once.
    pub fn release_shares(
        &mut self,
        to: &ids::InstanceName,
        resources: &[ResourceKey],
        may_grant: bool,
        now: Duration,
    ) -> Vec<quota_message::ResourceHandover> {
        self.tick(may_grant, now);
        let mut handovers = Vec::new();
        let Some(view) = self.views.back() else { return handovers };
        for resource in resources {
            let Some(row) = self.rows.get_mut(resource) else { continue };
            let home = rendezvous::home(&resource.hash_key(), &view.members);
            if row.retired(now) && home == Some(to) {
                handovers.push(row.handover(resource, now));
                row.end_retirement(&mut self.next_epoch);
            }
        }
        handovers
    }

    /// Takes over the shares that a former home handed over on shutdown.
    pub fn accept_handover(
        &mut self,
        from: &ids::InstanceName,
        handovers: &[quota_message::ResourceHandover],
        tables: QuotaTables<'_>,
        now: Duration,
    ) {
        self.tick(true, now);
        for handover in handovers {
            let Some(row) = self.row(&handover.resource, tables, now) else { continue };
            row.shares.accept_shares(&handover.shares, now);
            row.handover =
                Some(allocation_row::RowHandover { from: from.clone(), at: now, asked: false });
            row.restore_warmup(handover, tables, now);
        }
    }

    /// Takes over the shares that a former home returned to a question sent at `asked_at`.
    pub fn accept_released_shares(
        &mut self,
        from: &ids::InstanceName,
        handovers: &[quota_message::ResourceHandover],
        asked_at: Duration,
        tables: QuotaTables<'_>,
        may_grant: bool,
        now: Duration,
    ) {
        self.tick(may_grant, now);
        // The shares may have been granted anew by others after a pause.
        if now > asked_at + ASK_LIMIT || asked_at < self.resumed_at {
            return;
        }
        let members = self.views.back().map_or(0, |view| view.members.len());
        let resumed_at = self.resumed_at;
        for handover in handovers {
            let kind = handover.resource.kind;
            let Some(row) = self.row(&handover.resource, tables, now) else { continue };
            let kept = row.role_since.is_some_and(|since| since <= asked_at);
            if !kept || row.ready(kind, members, resumed_at, now) {
                continue;
            }
            row.shares.accept_shares(&handover.shares, now);
            let from = from.clone();
            row.handover = Some(allocation_row::RowHandover { from, at: asked_at, asked: true });
            row.restore_warmup(handover, tables, now);
        }
    }

    /// Drops the rows of replicas and customers that are gone.
    pub fn retain_known(&mut self, tables: QuotaTables<'_>) {
        self.rows.retain(|resource, _| match resource.kind {
            ResourceKind::ReplicaConcurrency => tables.table.find(&resource.name).is_some(),
            ResourceKind::CustomerRate
            | ResourceKind::CustomerConcurrency
            | ResourceKind::CustomerSpend => tables.snapshot.customers.contains_key(&resource.name),
        });
    }

    /// Sum of the shares that may be in use.
    pub fn outstanding(&mut self, resource: &ResourceKey, now: Duration) -> u64 {
        self.rows.get_mut(resource).map_or(0, |row| row.shares.outstanding(now))
    }

    /// Row of a resource; none for a replica or customer that is not known.
    fn row(
        &mut self,
        resource: &ResourceKey,
        tables: QuotaTables<'_>,
        now: Duration,
    ) -> Option<&mut allocation_row::AllocationRow> {
        let bounds = match resource.kind {
            ResourceKind::ReplicaConcurrency => {
                let row = tables.table.find(&resource.name)?;
                Some(route_decision::pool_bounds(tables.snapshot, &row.pool))
            }
            ResourceKind::CustomerRate
            | ResourceKind::CustomerConcurrency
            | ResourceKind::CustomerSpend => {
                tables.snapshot.customers.get(&resource.name)?;
                None
            }
        };
        if !self.rows.contains_key(resource) {
            let role_since = role_since(&self.views, &self.node, resource);
            let warmup =
                bounds.map(|bounds| allocation_row::first_state(bounds, resource, tables, now));
            let epoch = self.next_epoch;
            self.next_epoch = epoch.wrapping_add(1);
            let shares = quota_row::QuotaRow::new(resource.kind);
            let row = allocation_row::AllocationRow {
                shares,
                warmup,
                epoch,
                role_since,
                handover: None,
                granting: false,
                retired_at: None,
                asked_at: None,
            };
            self.rows.insert(resource.clone(), row);
        }
        let row = self.rows.get_mut(resource)?;
        if let (Some(warmup), Some(bounds)) = (&mut row.warmup, bounds) {
            warmup.set_bounds(bounds);
        }
        Some(row)
    }
}

/// Time since which a node is the home without interruption, in its own view.
fn role_since(
    views: &VecDeque<MemberView>,
    node: &ids::InstanceName,
    resource: &ResourceKey,
) -> Option<Duration> {
    let key = resource.hash_key();
    let held = views.iter().rev();
    let held = held.take_while(|view| rendezvous::home(&key, &view.members) == Some(node));
    held.last().map(|view| view.since)
}

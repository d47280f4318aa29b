//! Divides limited quantities into shares that nodes lease.
//!
//! The allocator of a resource is the live node with the highest rendezvous rank. A new allocator
//! first settles: it grants nothing until the shares of its predecessor have expired, unless it
//! has them by a handover. It also settles after a pause or isolation, because another node may
//! have been the allocator meanwhile.
//!
//! A new allocator requests the shares of its predecessor, which no longer grants. The
//! predecessor hands them over only once, and only to the allocator in its own view.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::quota_message::{GrantOutcome, ResourceKey, ResourceKind};
use crate::{
    allocation_row, cold_start, config_snapshot, ids, outstanding_shares, quota_message,
    rendezvous, replica_table, route_decision,
};

/// Longest gap between two calls after which the allocator does not settle again.
///
/// Other nodes declare a silent node dead only after 10 s, so that no role is lost in this time.
const MAX_TICK_GAP: Duration = Duration::from_secs(3);
/// Time for which former member lists are kept: the settling period at 1 million nodes.
const VIEW_RETENTION: Duration = Duration::from_secs(18);

/// Time for which a former allocator still hands over its shares.
///
/// The new allocator may have learned of its role one gossip time earlier, and grants on its own
/// 10 s later. Shares that were handed over after that would be older than those that it has
/// granted since.
pub const RELEASE_GRACE: Duration = Duration::from_secs(6);
const HANDOVER_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time from a handover request to its reply. The former allocator has granted nothing
/// since it replied, but an older reply could belong to an earlier role.
const MAX_HANDOVER_REPLY_AGE: Duration = Duration::from_secs(1);
/// Largest number of nodes from which the shares of one resource are requested at a time.
const MAX_QUERIED_ALLOCATORS: usize = 4;

/// Configuration and replicas that determine the quantities.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTables<'a> {
    pub snapshot: &'a config_snapshot::ConfigSnapshot,
    pub table: &'a replica_table::ReplicaTable,
}

/// Shares of all resources of which this node is, or recently was, the allocator.
#[derive(Debug)]
pub struct QuotaAllocator {
    node: ids::InstanceName,
    views: VecDeque<MemberView>,
    rows: HashMap<ResourceKey, allocation_row::AllocationRow>,
    leaving: Vec<ids::InstanceName>,
    last_tick_at: Duration,
    resumed_at: Duration,
    is_stopped: bool,
    next_epoch: u64,
}

#[derive(Debug)]
struct MemberView {
    since: Duration,
    members: Vec<ids::InstanceName>,
}

impl QuotaAllocator {
    /// Creates an allocator without shares; `incarnation` grows with each start of the node.
    pub fn new(node: ids::InstanceName, incarnation: u64, now: Duration) -> Self {
        // Epochs of two allocators must differ, or answers in an epoch of one would raise the
        // limit at the other.
        let next_epoch = rendezvous::member_rank(&incarnation.to_string(), &node);
        Self {
            node,
            views: VecDeque::new(),
            rows: HashMap::new(),
            leaving: Vec::new(),
            last_tick_at: now,
            resumed_at: now,
            is_stopped: false,
            next_epoch,
        }
    }

    /// Applies a changed list of live members; to be called immediately on each change.
    ///
    /// Nodes in `leaving` are no longer allocators but may still run requests.
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
        while self.views.get(1).is_some_and(|next| now >= next.since + VIEW_RETENTION) {
            self.views.pop_front();
        }
        for (resource, row) in &mut self.rows {
            let former = row.role_since;
            let was_ready =
                !self.is_stopped && row.is_ready(resource.kind, former_count, self.resumed_at, now);
            // In a new role, the number of requests at the replica is unknown at first.
            row.is_granting &= former.is_some();
            row.role_since = role_since(&self.views, &self.node, resource);
            let allocator = rendezvous::highest_ranked(&resource.hash_key(), members);
            let from = row.handover.as_ref().map(|handover| &handover.from);
            if row.role_since.is_none() && (former.is_some() || allocator != from) {
                row.handover = None;
            }
            match (former, row.role_since) {
                (Some(_), None) if was_ready => row.role_lost_at = Some(now),
                (Some(_), None) => row.reset_warmup(&mut self.next_epoch),
                (None, Some(_)) => row.drop_former_role(&mut self.next_epoch),
                _ => {}
            }
        }
    }

    /// Expires leases and detects pauses; to be called every 0.1 s to 1 s.
    ///
    /// `may_grant` is false while this node is isolated or shutting down.
    pub fn tick(&mut self, may_grant: bool, now: Duration) {
        if !may_grant || now > self.last_tick_at + MAX_TICK_GAP {
            self.resumed_at = now;
            // Signals of cold replicas may have been missed.
            for row in self.rows.values_mut() {
                row.reset_warmup(&mut self.next_epoch);
                row.handover = None;
                row.role_lost_at = None;
            }
        }
        self.last_tick_at = now;
        let members = self.views.back().map_or(&[][..], |view| &view.members);
        for row in self.rows.values_mut() {
            row.shares.expire(now);
            if !row.can_release(now) {
                row.drop_former_role(&mut self.next_epoch);
            }
            // A missing node may only be cut off and still send requests. A cold replica could not
            // serve them on top of those of other nodes, so that the use there still counts.
            if !row.warmup.as_ref().is_some_and(cold_start::WarmupState::is_cold) {
                let is_known =
                    |name: &str| members.iter().chain(&self.leaving).any(|known| &**known == name);
                row.shares.clear_departed(is_known);
            }
        }
        self.rows.retain(|_, row| {
            !row.shares.is_empty() || row.role_since.is_some() || row.role_lost_at.is_some()
        });
    }

    /// Records the demand in a renewal and grants shares.
    pub fn answer_request(
        &mut self,
        request: &quota_message::ShareRequest,
        tables: QuotaTables<'_>,
        may_grant: bool,
        now: Duration,
    ) -> quota_message::ShareReply {
        self.tick(may_grant, now);
        let outcomes = request.wants.iter().map(|demand| quota_message::ShareGrant {
            resource: demand.resource.clone(),
            outcome: self.grant(request, demand, tables, may_grant, now),
        });
        quota_message::ShareReply { number: request.number, grants: outcomes.collect() }
    }

    fn grant(
        &mut self,
        request: &quota_message::ShareRequest,
        demand: &quota_message::ShareDemand,
        tables: QuotaTables<'_>,
        may_grant: bool,
        now: Duration,
    ) -> GrantOutcome {
        let (is_stopped, resumed_at) = (self.is_stopped, self.resumed_at);
        let members = self.views.back().map_or(0, |view| view.members.len());
        let Some(row) = self.row_or_insert(&demand.resource, tables, now) else {
            return GrantOutcome::NotAllocator;
        };
        if row.role_since.is_none() {
            return GrantOutcome::NotAllocator;
        }
        let Some(new_answers) = row.shares.record_demand(request, demand, now) else {
            return GrantOutcome::NotAllocator;
        };
        if let Some(warmup) = &mut row.warmup
            && demand.period == row.epoch
        {
            let answers = u32::try_from(new_answers).unwrap_or(u32::MAX);
            warmup.apply(cold_start::WarmupSignal::Answers(answers), now);
        }
        if is_stopped || !may_grant || !row.is_ready(demand.resource.kind, members, resumed_at, now)
        {
            row.is_granting = false;
            return GrantOutcome::NotAllocator;
        }
        row.start_granting(&demand.resource, tables, now);
        let (quantity, cold) = row.total_quantity(&demand.resource, tables);
        let amount = row.shares.grant(&request.node, request.number, quantity, now);
        GrantOutcome::Leased { amount, quantity, cold, epoch: row.epoch }
    }

    /// Applies a signal of a replica's warm-up state; returns whether it turned the replica cold.
    ///
    /// The quantity falls immediately; outstanding shares expire within one lease.
    pub fn apply_warmup_signal(
        &mut self,
        replica: &ids::ReplicaName,
        sign: cold_start::WarmupSignal,
        tables: QuotaTables<'_>,
        now: Duration,
    ) -> bool {
        let resource = ResourceKey::new(ResourceKind::ReplicaConcurrency, replica.clone());
        let epoch = self.next_epoch;
        let Some(row) = self.row_or_insert(&resource, tables, now) else { return false };
        let Some(warmup) = &mut row.warmup else { return false };
        let turned_cold = warmup.apply(sign, now);
        if turned_cold {
            row.epoch = epoch;
            self.next_epoch = epoch.wrapping_add(1);
        }
        turned_cold
    }

    /// Applies a load report to the warm-up state and to use that nodes no longer report.
    ///
    /// Returns whether the report turned the replica cold.
    pub fn apply_load_report(
        &mut self,
        replica: &ids::ReplicaName,
        report: &replica_table::LoadReport,
        tables: QuotaTables<'_>,
        now: Duration,
    ) -> bool {
        let sign =
            cold_start::WarmupSignal::Report { boot: report.boot.clone(), cold: report.is_cold };
        let turned_cold = self.apply_warmup_signal(replica, sign, tables, now);
        let resource = ResourceKey::new(ResourceKind::ReplicaConcurrency, replica.clone());
        if let Some(row) = self.rows.get_mut(&resource) {
            let requests = u64::from(report.requests);
            row.shares.cap_stale_use(requests, cold_start::MAX_REPORT_LAG, report.received_at);
        }
        turned_cold
    }

    /// Whether the concurrency of a replica has a row here.
    pub fn has_row(&self, replica: &ids::ReplicaName) -> bool {
        let resource = ResourceKey::new(ResourceKind::ReplicaConcurrency, replica.clone());
        self.rows.contains_key(&resource)
    }

    /// Stops granting and returns the handovers for the successors, by successor.
    pub fn hand_over(
        &mut self,
        now: Duration,
    ) -> HashMap<ids::InstanceName, Vec<quota_message::ResourceHandover>> {
        self.is_stopped = true;
        let mut handovers: HashMap<_, Vec<_>> = HashMap::new();
        let Some(view) = self.views.back() else { return handovers };
        let others: Vec<_> = view.members.iter().filter(|name| **name != self.node).collect();
        for (resource, row) in &mut self.rows {
            // If the other nodes learned first that this node leaves, the role has already passed.
            let can_release = row.can_release(now);
            row.role_lost_at = None;
            if !can_release
                && !row.is_ready(resource.kind, view.members.len(), self.resumed_at, now)
            {
                continue;
            }
            let members = others.iter().copied();
            let Some(successor) = rendezvous::highest_ranked(&resource.hash_key(), members) else {
                continue;
            };
            handovers.entry(successor.clone()).or_default().push(row.build_handover(resource, now));
        }
        handovers
    }

    /// Handover requests that are due: resources of which this node is the new allocator and
    /// grants nothing yet, by the nodes that may have been the allocator before.
    pub fn handover_requests(
        &mut self,
        now: Duration,
    ) -> HashMap<ids::InstanceName, Vec<ResourceKey>> {
        let mut requests: HashMap<_, Vec<_>> = HashMap::new();
        let Some(view) = self.views.back() else { return requests };
        let resumed_at = self.resumed_at;
        for (resource, row) in &mut self.rows {
            let is_due = row.requested_at.is_none_or(|at| now >= at + HANDOVER_REQUEST_INTERVAL);
            if row.role_since.is_none()
                || !is_due
                || row.is_ready(resource.kind, view.members.len(), resumed_at, now)
            {
                continue;
            }
            row.requested_at = Some(now);
            let key = resource.hash_key();
            let others = view.members.iter().filter(|name| **name != self.node);
            let candidates = others.clone().chain(&self.leaving);
            // Only leaving nodes that rank above all nodes that stay can have been the allocator.
            let staying = rendezvous::highest_ranked(&key, others);
            for former in rendezvous::top_ranked(&key, candidates, MAX_QUERIED_ALLOCATORS) {
                requests.entry(former.clone()).or_default().push(resource.clone());
                if Some(former) == staying {
                    break;
                }
            }
        }
        requests
    }

    /// Returns the shares that the allocator `to` requests; each share only once.
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
            let allocator = rendezvous::highest_ranked(&resource.hash_key(), &view.members);
            if row.can_release(now) && allocator == Some(to) {
                handovers.push(row.build_handover(resource, now));
                row.drop_former_role(&mut self.next_epoch);
            }
        }
        handovers
    }

    /// Adds the shares that a former allocator hands over on shutdown.
    pub fn accept_handover(
        &mut self,
        from: &ids::InstanceName,
        handovers: &[quota_message::ResourceHandover],
        tables: QuotaTables<'_>,
        now: Duration,
    ) {
        self.tick(true, now);
        for handover in handovers {
            let Some(row) = self.row_or_insert(&handover.resource, tables, now) else { continue };
            row.shares.accept_shares(&handover.shares, now);
            row.handover = Some(allocation_row::RowHandover {
                from: from.clone(),
                valid_at: now,
                is_requested: false,
            });
            row.restore_warmup(handover, tables, now);
        }
    }

    /// Adds the shares that a former allocator returned to a request sent at `requested_at`.
    pub fn accept_released_shares(
        &mut self,
        from: &ids::InstanceName,
        handovers: &[quota_message::ResourceHandover],
        requested_at: Duration,
        tables: QuotaTables<'_>,
        may_grant: bool,
        now: Duration,
    ) {
        self.tick(may_grant, now);
        // After a pause, other nodes may have granted the same shares again.
        if now > requested_at + MAX_HANDOVER_REPLY_AGE || requested_at < self.resumed_at {
            return;
        }
        let members = self.views.back().map_or(0, |view| view.members.len());
        let resumed_at = self.resumed_at;
        for handover in handovers {
            let kind = handover.resource.kind;
            let Some(row) = self.row_or_insert(&handover.resource, tables, now) else { continue };
            let is_current = row.role_since.is_some_and(|since| since <= requested_at);
            if !is_current || row.is_ready(kind, members, resumed_at, now) {
                continue;
            }
            row.shares.accept_shares(&handover.shares, now);
            let from = from.clone();
            row.handover = Some(allocation_row::RowHandover {
                from,
                valid_at: requested_at,
                is_requested: true,
            });
            row.restore_warmup(handover, tables, now);
        }
    }

    /// Removes the rows of replicas and customers that no longer exist.
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

    /// Row of a resource, new if there was none; `None` for an unknown replica or customer.
    fn row_or_insert(
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
            let warmup = bounds
                .map(|bounds| allocation_row::initial_warmup_state(bounds, resource, tables, now));
            let epoch = self.next_epoch;
            self.next_epoch = epoch.wrapping_add(1);
            let shares = outstanding_shares::OutstandingShares::new(resource.kind);
            let row = allocation_row::AllocationRow {
                shares,
                warmup,
                epoch,
                role_since,
                handover: None,
                is_granting: false,
                role_lost_at: None,
                requested_at: None,
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

/// Time since which a node has been the allocator without interruption, in its own view.
fn role_since(
    views: &VecDeque<MemberView>,
    node: &ids::InstanceName,
    resource: &ResourceKey,
) -> Option<Duration> {
    let key = resource.hash_key();
    let own_views = views.iter().rev();
    let own_views =
        own_views.take_while(|view| rendezvous::highest_ranked(&key, &view.members) == Some(node));
    own_views.last().map(|view| view.since)
}

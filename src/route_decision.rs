//! Choice of a replica for one attempt.
//!
//! Every attempt passes here immediately before it is sent: first attempt,
//! retry, cascade step, hedged request, resumed stream and dequeued request.
//! The checks run against the snapshot in effect at that moment. The decision
//! allocates nothing.

use std::time::Duration;

use rand::RngExt as _;

use crate::refusal_reason::RefusalReason;
use crate::{
    cold_start, config_snapshot, ids, quota_lease, quota_message, replica_subset, replica_table,
};

/// Time in which reported load loses half its weight.
const REPORT_HALF_LIFE_S: f64 = 2.0;
/// Round trip that costs as much as a full replica.
///
/// A full replica delays the first token by about its target of 0.46 s.
const FULL_DISTANCE_US: f64 = 460_000.0;
/// Largest prefix bonus; more would queue requests behind a busy replica for the prefix alone.
const MAX_PREFIX_BONUS: f64 = 0.5;

/// State from which a node decides.
#[derive(Clone, Copy, Debug)]
pub struct RouteTables<'a> {
    /// Configuration in effect.
    pub snapshot: &'a config_snapshot::ConfigSnapshot,
    /// Known replicas.
    pub table: &'a replica_table::ReplicaTable,
    /// Replicas that this node uses, built from `table`.
    pub subset: &'a replica_subset::ReplicaSubset,
    /// Leased shares of this node.
    pub shares: &'a quota_lease::ShareTable,
    /// Live nodes, for the floor without a home.
    pub nodes: usize,
    /// Whether freshness allows this node to start work.
    pub fresh: bool,
}

/// One attempt to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Customer that asks.
    pub customer: &'a str,
    /// Version or service that is to run it.
    pub pool: &'a replica_table::ReplicaPool,
    /// Node clock at which the request must be done.
    pub deadline: Duration,
    /// Replicas that were already tried.
    pub excluded: &'a [ids::ReplicaName],
    /// Replicas with a known prefix, and the share of their capacity that it saves.
    pub prefix_bonus: &'a [(replica_table::ReplicaIndex, f64)],
}

/// Replica chosen for an attempt.
#[derive(Debug)]
pub struct RouteDispatch {
    /// Position in the replica table.
    pub replica: replica_table::ReplicaIndex,
    /// Counts the attempt while it runs; holds its credit.
    pub in_flight: replica_table::InFlightGuard,
    /// Warm-up epoch for which its answer counts.
    pub epoch: u64,
}

/// Credit of this node at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCredit {
    /// Requests that this node may run there at once.
    pub held: u32,
    /// Requests that the replica bears at once, of all nodes.
    pub capacity: u32,
    /// Whether the replica is cold, or its state unknown.
    pub cold: bool,
    /// Warm-up epoch; 0 without a home.
    pub epoch: u64,
}

#[derive(Clone, Copy)]
struct RouteCandidate {
    index: replica_table::ReplicaIndex,
    credit: ReplicaCredit,
    distance_us: u32,
    bonus: f64,
}

/// Chooses a replica or states why none may be used.
///
/// # Errors
/// The first check of section 4.4 of the design page that fails. `ColdStart` and `Overloaded`
/// mean that credit is missing now; the request may wait in the admission queue.
pub fn decide(
    tables: RouteTables<'_>,
    request: RouteRequest<'_>,
    now: Duration,
    random: &mut impl rand::Rng,
) -> Result<RouteDispatch, RefusalReason> {
    check_request(tables, request, now)?;
    let mut best = choose(tables, request, now, random)?;
    loop {
        let row = tables.table.row(best.index);
        let in_flight = replica_table::InFlightGuard::new(&row.in_flight);
        // Counting first and comparing afterwards keeps concurrent decisions within the credit.
        if own_in_flight(row) <= best.credit.held {
            let (replica, epoch) = (best.index, best.credit.epoch);
            return Ok(RouteDispatch { replica, in_flight, epoch });
        }
        drop(in_flight);
        best = choose(tables, request, now, random)?;
    }
}

/// Checks that do not depend on a replica.
///
/// # Errors
/// The first check that fails.
pub fn check_request(
    tables: RouteTables<'_>,
    request: RouteRequest<'_>,
    now: Duration,
) -> Result<(), RefusalReason> {
    if !tables.fresh {
        return Err(RefusalReason::Isolated);
    }
    if now >= request.deadline {
        return Err(RefusalReason::DeadlineExceeded);
    }
    let Some(customer) = tables.snapshot.customers.get(request.customer) else {
        return Err(RefusalReason::TokenUnknown);
    };
    match request.pool {
        replica_table::ReplicaPool::Service(service) => {
            let known = tables.snapshot.services.contains_key(service);
            if known { Ok(()) } else { Err(RefusalReason::RouteUnknown) }
        }
        replica_table::ReplicaPool::Version(model, version) => {
            let record = tables.snapshot.models.get(model);
            if record.and_then(|record| record.version_state(version)).is_none() {
                return Err(RefusalReason::ModelUnknown);
            }
            if !customer.allows(model, version) {
                return Err(RefusalReason::ModelNotAllowed);
            }
            if !tables.snapshot.version_active(model, version) {
                return Err(RefusalReason::VersionWithdrawn);
            }
            Ok(())
        }
    }
}

/// Two random candidates and the one with the largest prefix bonus; the cheapest of them.
fn choose(
    tables: RouteTables<'_>,
    request: RouteRequest<'_>,
    now: Duration,
    random: &mut impl rand::Rng,
) -> Result<RouteCandidate, RefusalReason> {
    let bounds = pool_bounds(tables.snapshot, request.pool);
    let mut census = CandidateCensus::default();
    let mut sample: [Option<RouteCandidate>; 3] = [None; 3];
    for member in tables.subset.members(request.pool) {
        let row = tables.table.row(member.index);
        let Some(credit) = census.admit(tables, request, row, bounds, now) else { continue };
        let bonus = prefix_bonus(request, member.index);
        let (index, distance_us) = (member.index, member.distance_us);
        let candidate = RouteCandidate { index, credit, distance_us, bonus };
        reservoir(&mut sample, census.usable, candidate, random);
        if bonus > sample[2].map_or(0.0, |best| best.bonus) {
            sample[2] = Some(candidate);
        }
    }
    let cheapest = sample.into_iter().flatten().min_by(|left, right| {
        let cost = |candidate: &RouteCandidate| route_cost(tables.table, candidate, now);
        cost(left).total_cmp(&cost(right))
    });
    cheapest.ok_or_else(|| census.refusal())
}

/// Keeps a uniform sample of two without collecting the candidates.
fn reservoir(
    sample: &mut [Option<RouteCandidate>; 3],
    seen: usize,
    candidate: RouteCandidate,
    random: &mut impl rand::Rng,
) {
    let slot = if seen <= 2 { seen - 1 } else { random.random_range(0..seen) };
    if slot < 2 {
        sample[slot] = Some(candidate);
    }
}

/// Count of the pool's replicas by the check at which they failed.
#[derive(Default)]
struct CandidateCensus {
    live: usize,
    active: usize,
    untried: usize,
    cold: usize,
    usable: usize,
}

impl CandidateCensus {
    /// Credit of a replica that passes all checks.
    fn admit(
        &mut self,
        tables: RouteTables<'_>,
        request: RouteRequest<'_>,
        row: &replica_table::ReplicaRow,
        bounds: cold_start::WarmupBounds,
        now: Duration,
    ) -> Option<ReplicaCredit> {
        if row.leaving || row.foreign() {
            return None;
        }
        self.live += 1;
        if tables.snapshot.drained(&row.data_centre) {
            return None;
        }
        self.active += 1;
        if request.excluded.contains(&row.name) {
            return None;
        }
        self.untried += 1;
        let credit = replica_credit(tables.shares, row, bounds, tables.nodes, now);
        self.cold += usize::from(credit.cold);
        if own_in_flight(row) >= credit.held {
            return None;
        }
        self.usable += 1;
        Some(credit)
    }

    fn refusal(&self) -> RefusalReason {
        match self {
            Self { live: 0, .. } => RefusalReason::NoReplica,
            Self { active: 0, .. } => RefusalReason::DataCentreDrained,
            Self { untried: 0, .. } => RefusalReason::BackendFailed,
            Self { cold: 0, .. } => RefusalReason::Overloaded,
            _ => RefusalReason::ColdStart,
        }
    }
}

/// Credit of this node at a replica; without a home none if it is cold, else the floor.
pub fn replica_credit(
    shares: &quota_lease::ShareTable,
    row: &replica_table::ReplicaRow,
    bounds: cold_start::WarmupBounds,
    nodes: usize,
    now: Duration,
) -> ReplicaCredit {
    let kind = quota_message::ResourceKind::ReplicaConcurrency;
    match shares.share_state(kind, &row.name, now) {
        quota_lease::ShareState::Leased { amount, quantity, cold, epoch, .. } => {
            let clamp = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
            ReplicaCredit { held: clamp(amount), capacity: clamp(quantity).max(1), cold, epoch }
        }
        quota_lease::ShareState::Pending => {
            ReplicaCredit { held: 0, capacity: bounds.cold.max(1), cold: true, epoch: 0 }
        }
        quota_lease::ShareState::NoAllocator => {
            // Only a recent report proves warmth when no home keeps the state.
            let warm = row.report.as_ref().is_some_and(|report| {
                !report.cold && now < report.received_at + cold_start::MAX_REPORT_LAG
            });
            let floor = bounds.warm / u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
            let (held, capacity) = if warm { (floor, bounds.warm) } else { (0, bounds.cold) };
            ReplicaCredit { held, capacity: capacity.max(1), cold: !warm, epoch: 0 }
        }
    }
}

/// Bounds of the replicas of a pool.
pub fn pool_bounds(
    snapshot: &config_snapshot::ConfigSnapshot,
    pool: &replica_table::ReplicaPool,
) -> cold_start::WarmupBounds {
    match pool {
        replica_table::ReplicaPool::Service(_) => cold_start::WarmupBounds::for_service(),
        replica_table::ReplicaPool::Version(model, _) => snapshot
            .models
            .get(model)
            .map_or_else(cold_start::WarmupBounds::for_service, |record| {
                cold_start::WarmupBounds::for_model(record)
            }),
    }
}

fn own_in_flight(row: &replica_table::ReplicaRow) -> u32 {
    row.in_flight.load(std::sync::atomic::Ordering::Acquire)
}

fn prefix_bonus(request: RouteRequest<'_>, index: replica_table::ReplicaIndex) -> f64 {
    let known = request.prefix_bonus.iter().find(|(known, _)| *known == index);
    known.map_or(0.0, |(_, bonus)| bonus.clamp(0.0, MAX_PREFIX_BONUS))
}

/// Load by capacity, plus distance, minus the prefix bonus while the replica has room.
fn route_cost(
    table: &replica_table::ReplicaTable,
    candidate: &RouteCandidate,
    now: Duration,
) -> f64 {
    let row = table.row(candidate.index);
    let own = f64::from(own_in_flight(row));
    let others = row.report.as_ref().map_or(0.0, |report| {
        let age_s = now.saturating_sub(report.received_at).as_secs_f64();
        let others = (f64::from(report.requests) - own).max(0.0);
        others * (-age_s / REPORT_HALF_LIFE_S).exp2()
    });
    let load = (own + others) / f64::from(candidate.credit.capacity);
    let bonus = if load < 1.0 { candidate.bonus } else { 0.0 };
    load + f64::from(candidate.distance_us) / FULL_DISTANCE_US - bonus
}

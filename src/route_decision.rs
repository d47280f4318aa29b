//! Choice of a replica for one attempt.
//!
//! Every attempt is routed here immediately before it is sent: first attempts,
//! retries, cascade steps, hedged requests, resumed streams and dequeued requests.
//! The checks therefore use the configuration in effect at the time of the send.
//! A decision makes no heap allocation.

use std::time::Duration;

use rand::RngExt as _;

use crate::refusal_reason::RefusalReason;
use crate::{
    cold_start, config_snapshot, ids, quota_lease, quota_message, replica_subset, replica_table,
};

/// Half-life of the weight of a load report.
const REPORT_HALF_LIFE_S: f64 = 2.0;
/// Round trip that costs as much as a fully loaded replica, which delays the first token by about
/// its target of 0.46 s.
const FULL_LOAD_DISTANCE_US: f64 = 460_000.0;
/// Largest prefix bonus, as a fraction of a replica's capacity. A larger one would queue requests
/// at a busy replica only because it holds the prefix.
const MAX_PREFIX_BONUS_FRACTION: f64 = 0.5;

/// State of a node that a routing decision reads.
#[derive(Clone, Copy, Debug)]
pub struct RouteTables<'a> {
    pub snapshot: &'a config_snapshot::ConfigSnapshot,
    pub table: &'a replica_table::ReplicaTable,
    /// Replicas that this node uses; its positions refer to `table`.
    pub subset: &'a replica_subset::ReplicaSubset,
    /// Shares that this node leases.
    pub shares: &'a quota_lease::ShareTable,
    /// Live nodes, by which a replica's limit is divided while it has no allocator.
    pub node_count: usize,
    /// Whether the configuration of this node is recent enough to start requests.
    pub is_fresh: bool,
}

/// Attempt to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    pub customer: &'a str,
    /// Version or service that runs the attempt.
    pub pool: &'a replica_table::ReplicaPool,
    /// Node clock by which the answer must be complete.
    pub deadline: Duration,
    /// Replicas that the request has already tried.
    pub excluded_replicas: &'a [ids::ReplicaName],
    /// Replicas that hold a prefix of the prompt, and the fraction of their capacity that it saves.
    pub prefix_bonuses: &'a [(replica_table::ReplicaIndex, f64)],
}

/// Replica chosen for an attempt.
#[derive(Debug)]
pub struct RouteDispatch {
    /// Position in the replica table.
    pub replica: replica_table::ReplicaIndex,
    /// Counts the attempt against the limit of this node until it is dropped.
    pub in_flight: replica_table::InFlightGuard,
    /// Warm-up epoch to which the answer counts; 0 without an allocator.
    pub epoch: u64,
}

/// Concurrency limits of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaLimit {
    /// Requests that this node may have in flight there.
    pub in_flight_limit: u32,
    /// Concurrent requests of all nodes that the replica allows; at least 1.
    pub capacity: u32,
    /// Whether the replica is cold or its state is unknown.
    pub is_cold: bool,
    /// Warm-up epoch; 0 without an allocator.
    pub epoch: u64,
}

#[derive(Clone, Copy)]
struct RouteCandidate {
    index: replica_table::ReplicaIndex,
    limit: ReplicaLimit,
    distance_us: u32,
    bonus: f64,
}

/// Chooses a replica and reserves one of this node's requests there.
///
/// # Errors
/// The first check of section 4.4 of the design page that fails. `ColdStart` and `Overloaded`
/// mean that every replica is at its limit now; the request may wait in the admission queue.
pub fn choose_replica(
    tables: RouteTables<'_>,
    request: RouteRequest<'_>,
    now: Duration,
    random: &mut impl rand::Rng,
) -> Result<RouteDispatch, RefusalReason> {
    check_request(tables, request, now)?;
    let mut best = cheapest_candidate(tables, request, now, random)?;
    loop {
        let row = tables.table.row(best.index);
        let in_flight = replica_table::InFlightGuard::new(&row.in_flight);
        // Incrementing before the comparison keeps concurrent decisions within the limit.
        if own_in_flight(row) <= best.limit.in_flight_limit {
            let (replica, epoch) = (best.index, best.limit.epoch);
            return Ok(RouteDispatch { replica, in_flight, epoch });
        }
        drop(in_flight);
        best = cheapest_candidate(tables, request, now, random)?;
    }
}

/// Runs the checks that do not depend on a replica.
///
/// # Errors
/// The first check that fails.
pub fn check_request(
    tables: RouteTables<'_>,
    request: RouteRequest<'_>,
    now: Duration,
) -> Result<(), RefusalReason> {
    if !tables.is_fresh {
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
            let is_known = tables.snapshot.services.contains_key(service);
            if is_known { Ok(()) } else { Err(RefusalReason::RouteUnknown) }
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

/// Returns the cheapest of two random candidates and the one with the largest prefix bonus.
fn cheapest_candidate(
    tables: RouteTables<'_>,
    request: RouteRequest<'_>,
    now: Duration,
    random: &mut impl rand::Rng,
) -> Result<RouteCandidate, RefusalReason> {
    let bounds = pool_bounds(tables.snapshot, request.pool);
    let mut counts = CandidateCounts::default();
    let mut sample: [Option<RouteCandidate>; 3] = [None; 3];
    for member in tables.subset.members(request.pool) {
        let row = tables.table.row(member.index);
        let Some(limit) = counts.check_replica(tables, request, row, bounds, now) else { continue };
        let bonus = prefix_bonus(request, member.index);
        let (index, distance_us) = (member.index, member.distance_us);
        let candidate = RouteCandidate { index, limit, distance_us, bonus };
        sample_candidate(&mut sample, counts.usable, candidate, random);
        if bonus > sample[2].map_or(0.0, |best| best.bonus) {
            sample[2] = Some(candidate);
        }
    }
    let cheapest = sample.into_iter().flatten().min_by(|left, right| {
        let cost = |candidate: &RouteCandidate| route_cost(tables.table, candidate, now);
        cost(left).total_cmp(&cost(right))
    });
    cheapest.ok_or_else(|| counts.refusal_reason())
}

/// Keeps a uniform sample of two candidates (reservoir sampling) in the first two slots.
fn sample_candidate(
    sample: &mut [Option<RouteCandidate>; 3],
    seen_count: usize,
    candidate: RouteCandidate,
    random: &mut impl rand::Rng,
) {
    let slot = if seen_count <= 2 { seen_count - 1 } else { random.random_range(0..seen_count) };
    if slot < 2 {
        sample[slot] = Some(candidate);
    }
}

/// Numbers of a pool's replicas that passed each check, and of the cold ones among the untried;
/// they determine the reason of a refusal.
#[derive(Default)]
struct CandidateCounts {
    live: usize,
    not_drained: usize,
    untried: usize,
    cold: usize,
    usable: usize,
}

impl CandidateCounts {
    /// Checks one replica; returns its limits if the attempt may be sent there.
    fn check_replica(
        &mut self,
        tables: RouteTables<'_>,
        request: RouteRequest<'_>,
        row: &replica_table::ReplicaRow,
        bounds: cold_start::WarmupBounds,
        now: Duration,
    ) -> Option<ReplicaLimit> {
        if row.is_leaving || row.is_reassigned() {
            return None;
        }
        self.live += 1;
        if tables.snapshot.drained(&row.data_centre) {
            return None;
        }
        self.not_drained += 1;
        if request.excluded_replicas.contains(&row.name) {
            return None;
        }
        self.untried += 1;
        let limit = replica_limit(tables.shares, row, bounds, tables.node_count, now);
        self.cold += usize::from(limit.is_cold);
        if row.is_paused(now) || own_in_flight(row) >= limit.in_flight_limit {
            return None;
        }
        self.usable += 1;
        Some(limit)
    }

    fn refusal_reason(&self) -> RefusalReason {
        match self {
            Self { live: 0, .. } => RefusalReason::NoReplica,
            Self { not_drained: 0, .. } => RefusalReason::DataCentreDrained,
            Self { untried: 0, .. } => RefusalReason::BackendFailed,
            Self { cold: 0, .. } => RefusalReason::Overloaded,
            _ => RefusalReason::ColdStart,
        }
    }
}

/// Concurrency limits of a replica.
///
/// While its share is pending, this node may send no request. Without an allocator, it may use an
/// equal fraction of a warm replica's limit and nothing of a cold one's.
pub fn replica_limit(
    shares: &quota_lease::ShareTable,
    row: &replica_table::ReplicaRow,
    bounds: cold_start::WarmupBounds,
    node_count: usize,
    now: Duration,
) -> ReplicaLimit {
    let kind = quota_message::ResourceKind::ReplicaConcurrency;
    match shares.share_state(kind, &row.name, now) {
        quota_lease::ShareState::Leased { amount, quantity, cold, epoch, .. } => {
            let clamp = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
            ReplicaLimit {
                in_flight_limit: clamp(amount),
                capacity: clamp(quantity).max(1),
                is_cold: cold,
                epoch,
            }
        }
        quota_lease::ShareState::Pending => ReplicaLimit {
            in_flight_limit: 0,
            capacity: bounds.cold.max(1),
            is_cold: true,
            epoch: 0,
        },
        quota_lease::ShareState::NoAllocator => {
            // Without an allocator, only a recent report shows that the replica is warm.
            let is_warm = row.report.as_ref().is_some_and(|report| {
                !report.is_cold && now < report.received_at + cold_start::MAX_REPORT_LAG
            });
            let equal_fraction = bounds.warm / u32::try_from(node_count.max(1)).unwrap_or(u32::MAX);
            let (in_flight_limit, capacity) =
                if is_warm { (equal_fraction, bounds.warm) } else { (0, bounds.cold) };
            ReplicaLimit { in_flight_limit, capacity: capacity.max(1), is_cold: !is_warm, epoch: 0 }
        }
    }
}

/// Concurrency bounds of a pool's replicas; those of a service if the model is unknown.
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
    let known = request.prefix_bonuses.iter().find(|(known, _)| *known == index);
    known.map_or(0.0, |(_, bonus)| bonus.clamp(0.0, MAX_PREFIX_BONUS_FRACTION))
}

/// Load per capacity, plus distance, minus the prefix bonus unless the replica is full.
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
    let load = (own + others) / f64::from(candidate.limit.capacity);
    let bonus = if load < 1.0 { candidate.bonus } else { 0.0 };
    load + f64::from(candidate.distance_us) / FULL_LOAD_DISTANCE_US - bonus
}

//! One resource at its home: shares, warm-up state and the home's role for it.

use std::time::Duration;

use crate::quota_message::{ResourceKey, ResourceKind};
use crate::{cold_start, ids, quota_allocator, quota_message, quota_row, replica_table};

/// Shares, state and role for one resource.
#[derive(Debug)]
pub struct AllocationRow {
    /// Outstanding shares.
    pub shares: quota_row::QuotaRow,
    /// Warm-up state; none for a customer limit.
    pub warmup: Option<cold_start::WarmupState>,
    /// Warm-up epoch.
    pub epoch: u64,
    /// Time since which this node is the home; none if it is not.
    pub role_since: Option<Duration>,
    /// Shares that the former home handed over.
    pub handover: Option<RowHandover>,
    /// Whether it has granted since it took the role or resumed.
    pub granting: bool,
    /// Time at which the role passed to another node whose home has not asked for the shares.
    pub retired_at: Option<Duration>,
    /// Time at which the former home was last asked for the shares.
    pub asked_at: Option<Duration>,
}

/// Handover of a resource by its former home.
#[derive(Debug)]
pub struct RowHandover {
    /// The former home.
    pub from: ids::InstanceName,
    /// Time of receipt, or of the question that the handover answers.
    pub at: Duration,
    /// Whether it answers a question of this node, so that it cannot have waited in a buffer.
    pub asked: bool,
}

impl AllocationRow {
    /// Whether no share of a former home can be out.
    pub fn ready(
        &self,
        kind: ResourceKind,
        members: usize,
        resumed_at: Duration,
        now: Duration,
    ) -> bool {
        let Some(since) = self.role_since else { return false };
        let settling = kind.settling_period(members);
        let handed = self.handover.as_ref().is_some_and(|handover| {
            // A handover read soon after a pause may have waited in a buffer meanwhile.
            (handover.asked || resumed_at + quota_message::SHARE_LEASE_TTL <= handover.at)
                && since <= handover.at + settling
        });
        handed || now >= since.max(resumed_at) + settling
    }

    /// Whether the shares can still be handed to the node that took the role.
    pub fn retired(&self, now: Duration) -> bool {
        self.retired_at.is_some_and(|at| now < at + quota_allocator::RETIRED_KEPT)
    }

    /// Forgets the role that passed to another node.
    pub fn end_retirement(&mut self, next_epoch: &mut u64) {
        if self.retired_at.take().is_some() {
            self.forget_warmup(next_epoch);
        }
    }

    /// Counts a replica as cold again, in a new epoch.
    pub fn forget_warmup(&mut self, next_epoch: &mut u64) {
        if let Some(warmup) = &mut self.warmup {
            warmup.reset();
            self.epoch = *next_epoch;
            *next_epoch = next_epoch.wrapping_add(1);
        }
    }

    /// Counts what a load report shows of nodes that have not reported to this home.
    pub fn start_granting(
        &mut self,
        resource: &ResourceKey,
        tables: quota_allocator::QuotaTables<'_>,
        now: Duration,
    ) {
        if std::mem::replace(&mut self.granting, true) || self.handover.is_some() {
            return;
        }
        let cold = self.warmup.as_ref().is_some_and(cold_start::WarmupState::is_cold);
        let report = tables.table.find(&resource.name).and_then(|row| row.report.as_ref());
        if let Some(report) = report.filter(|report| cold && recent(report, now)) {
            self.shares.assume_unattributed(u64::from(report.requests), now);
        }
    }

    /// Whole quantity, and whether it is that of a cold replica.
    pub fn quantity(
        &self,
        resource: &ResourceKey,
        tables: quota_allocator::QuotaTables<'_>,
    ) -> (u64, bool) {
        if let Some(warmup) = &self.warmup {
            return (u64::from(warmup.concurrency_limit()), warmup.is_cold());
        }
        let customer = tables.snapshot.customers.get(&resource.name);
        let quantity = customer.map_or(0, |customer| match resource.kind {
            ResourceKind::CustomerRate => (customer.limits.requests_per_s * 1_000.0) as u64,
            ResourceKind::CustomerConcurrency => u64::from(customer.limits.concurrency),
            ResourceKind::CustomerSpend => customer.limits.spend_per_day,
            ResourceKind::ReplicaConcurrency => 0,
        });
        (quantity, false)
    }

    /// Shares and warm-up state for a successor.
    pub fn handover(
        &mut self,
        resource: &ResourceKey,
        now: Duration,
    ) -> quota_message::ResourceHandover {
        quota_message::ResourceHandover {
            resource: resource.clone(),
            shares: self.shares.handed_shares(now),
            warmup: self.handed_warmup(),
        }
    }

    /// Takes over the warm-up state of a former home, unless a report says otherwise.
    pub fn restore_warmup(
        &mut self,
        handover: &quota_message::ResourceHandover,
        tables: quota_allocator::QuotaTables<'_>,
        now: Duration,
    ) {
        let (Some(warmup), Some(handed)) = (&mut self.warmup, &handover.warmup) else { return };
        warmup.restore(handed.limit, handed.boot.clone());
        self.epoch = handed.epoch;
        // The former home may not have read the report by which the replica is cold.
        let report = tables.table.find(&handover.resource.name).and_then(|row| row.report.as_ref());
        if let Some(report) = report.filter(|report| recent(report, now) && report.cold) {
            let sign = cold_start::WarmupSignal::Report { boot: report.boot.clone(), cold: true };
            warmup.apply(sign, now);
        }
    }

    /// Warm-up state for a successor.
    fn handed_warmup(&self) -> Option<quota_message::HandedWarmup> {
        self.warmup.as_ref().map(|warmup| quota_message::HandedWarmup {
            limit: warmup.concurrency_limit(),
            boot: warmup.boot().cloned(),
            epoch: self.epoch,
        })
    }
}

fn recent(report: &replica_table::LoadReport, now: Duration) -> bool {
    now < report.received_at + cold_start::MAX_REPORT_LAG
}

/// State of a replica at its first use: cold, unless a report says otherwise.
pub fn first_state(
    bounds: cold_start::WarmupBounds,
    resource: &ResourceKey,
    tables: quota_allocator::QuotaTables<'_>,
    now: Duration,
) -> cold_start::WarmupState {
    let mut state = cold_start::WarmupState::new(bounds);
    let report = tables.table.find(&resource.name).and_then(|row| row.report.as_ref());
    if let Some(report) = report.filter(|report| recent(report, now)) {
        let sign =
            cold_start::WarmupSignal::Report { boot: report.boot.clone(), cold: report.cold };
        state.apply(sign, now);
    }
    state
}

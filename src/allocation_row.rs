//! State of one resource at a node that is, or recently was, its allocator.

use std::time::Duration;

use crate::quota_message::{ResourceKey, ResourceKind};
use crate::{cold_start, ids, outstanding_shares, quota_allocator, quota_message, replica_table};

/// Shares and warm-up state of one resource, and the role of this node for it.
#[derive(Debug)]
pub struct AllocationRow {
    pub shares: outstanding_shares::OutstandingShares,
    /// `None` for a customer limit.
    pub warmup: Option<cold_start::WarmupState>,
    /// Warm-up epoch; changes each time that the replica turns cold.
    pub epoch: u64,
    /// Time since which this node has been the allocator; `None` if it is not.
    pub role_since: Option<Duration>,
    /// Last accepted handover, which may arrive before the role. `None` if there was none, after a
    /// pause, and after the role has passed on.
    pub handover: Option<RowHandover>,
    /// Whether this node has granted since it became the allocator or resumed.
    pub is_granting: bool,
    /// Time at which the role passed to another node; `None` once the shares are released or can
    /// no longer be.
    pub role_lost_at: Option<Duration>,
    /// Time of the last request to the former allocator for its shares.
    pub requested_at: Option<Duration>,
}

/// Handover of a resource by its former allocator.
#[derive(Debug)]
pub struct RowHandover {
    /// The former allocator.
    pub from: ids::InstanceName,
    /// Time at which the handover was requested; if it was not, the time of receipt.
    pub valid_at: Duration,
    /// Whether this node requested the handover. Its age is then known, while a handover on
    /// shutdown may have been buffered.
    pub is_requested: bool,
}

impl AllocationRow {
    /// Whether this node may grant: it knows of all shares of a former allocator, or they have
    /// expired.
    pub fn is_ready(
        &self,
        kind: ResourceKind,
        members: usize,
        resumed_at: Duration,
        now: Duration,
    ) -> bool {
        let Some(since) = self.role_since else { return false };
        let settling = kind.settling_period(members);
        let has_handover = self.handover.as_ref().is_some_and(|handover| {
            // A handover that is read soon after a pause may have been buffered during the pause.
            (handover.is_requested
                || resumed_at + quota_message::SHARE_LEASE_TTL <= handover.valid_at)
                && since <= handover.valid_at + settling
        });
        has_handover || now >= since.max(resumed_at) + settling
    }

    /// Whether the shares can still be released to the new allocator.
    pub fn can_release(&self, now: Duration) -> bool {
        self.role_lost_at.is_some_and(|at| now < at + quota_allocator::RELEASE_GRACE)
    }

    /// Gives up the claim to release shares of a former role, if there is one.
    pub fn drop_former_role(&mut self, next_epoch: &mut u64) {
        if self.role_lost_at.take().is_some() {
            self.reset_warmup(next_epoch);
        }
    }

    /// Counts the replica as cold again, in a new epoch.
    pub fn reset_warmup(&mut self, next_epoch: &mut u64) {
        if let Some(warmup) = &mut self.warmup {
            warmup.reset();
            self.epoch = *next_epoch;
            *next_epoch = next_epoch.wrapping_add(1);
        }
    }

    /// Marks the row as granting. On the first grant of a cold replica without a handover, counts
    /// the requests in its load report that no node has reported to this allocator.
    pub fn start_granting(
        &mut self,
        resource: &ResourceKey,
        tables: quota_allocator::QuotaTables<'_>,
        now: Duration,
    ) {
        if std::mem::replace(&mut self.is_granting, true) || self.handover.is_some() {
            return;
        }
        let is_cold = self.warmup.as_ref().is_some_and(cold_start::WarmupState::is_cold);
        let report = tables.table.find(&resource.name).and_then(|row| row.report.as_ref());
        if let Some(report) = report.filter(|report| is_cold && is_recent(report, now)) {
            self.shares.record_unattributed(u64::from(report.requests), now);
        }
    }

    /// Quantity that all nodes share, and whether it is that of a cold replica.
    pub fn total_quantity(
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

    pub fn build_handover(
        &mut self,
        resource: &ResourceKey,
        now: Duration,
    ) -> quota_message::ResourceHandover {
        quota_message::ResourceHandover {
            resource: resource.clone(),
            shares: self.shares.handed_shares(now),
            warmup: self.warmup_for_handover(),
        }
    }

    /// Applies the warm-up state of a former allocator, unless a recent load report shows that the
    /// replica is cold.
    pub fn restore_warmup(
        &mut self,
        handover: &quota_message::ResourceHandover,
        tables: quota_allocator::QuotaTables<'_>,
        now: Duration,
    ) {
        let (Some(warmup), Some(handed)) = (&mut self.warmup, &handover.warmup) else { return };
        warmup.restore(handed.limit, handed.boot.clone());
        self.epoch = handed.epoch;
        // The former allocator may not have received the report of the cold replica.
        let report = tables.table.find(&handover.resource.name).and_then(|row| row.report.as_ref());
        if let Some(report) = report.filter(|report| is_recent(report, now) && report.is_cold) {
            let sign = cold_start::WarmupSignal::Report { boot: report.boot.clone(), cold: true };
            warmup.apply(sign, now);
        }
    }

    fn warmup_for_handover(&self) -> Option<quota_message::HandedWarmup> {
        self.warmup.as_ref().map(|warmup| quota_message::HandedWarmup {
            limit: warmup.concurrency_limit(),
            boot: warmup.boot().cloned(),
            epoch: self.epoch,
        })
    }
}

fn is_recent(report: &replica_table::LoadReport, now: Duration) -> bool {
    now < report.received_at + cold_start::MAX_REPORT_LAG
}

/// Warm-up state of a replica at its first use: cold, unless a recent load report shows otherwise.
pub fn initial_warmup_state(
    bounds: cold_start::WarmupBounds,
    resource: &ResourceKey,
    tables: quota_allocator::QuotaTables<'_>,
    now: Duration,
) -> cold_start::WarmupState {
    let mut state = cold_start::WarmupState::new(bounds);
    let report = tables.table.find(&resource.name).and_then(|row| row.report.as_ref());
    if let Some(report) = report.filter(|report| is_recent(report, now)) {
        let sign =
            cold_start::WarmupSignal::Report { boot: report.boot.clone(), cold: report.is_cold };
        state.apply(sign, now);
    }
    state
}

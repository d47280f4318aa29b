//! What the administration API needs from this node.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::{FutureExt as _, StreamExt as _};

use crate::admin_types::{AuditReport, InstanceStatus};
use crate::event_catalogue::LogEvent;
use crate::refusal_reason::RefusalReason;
use crate::{
    admin_context, bill_audit, bill_batch, config_change, error_body, member_row, node,
    peer_message,
};

/// Time for the state of one instance.
const STATUS_LIMIT: Duration = Duration::from_secs(1);
/// Instances asked at once.
const STATUS_AT_ONCE: usize = 64;

/// Node behind the administration API.
pub struct NodeAdmin {
    node: Arc<node::Node>,
}

impl NodeAdmin {
    /// Context of a node.
    pub fn new(node: Arc<node::Node>) -> Self {
        Self { node }
    }

    async fn statuses(&self) -> Vec<InstanceStatus> {
        let now = self.node.clock();
        let rows: Vec<member_row::MemberRow> = {
            let table = self.node.members.lock();
            let known = table
                .entries()
                .iter()
                .filter(|entry| entry.state(now) != member_row::MemberState::Dead);
            known.map(|entry| entry.row.clone()).collect()
        };
        futures::stream::iter(rows.into_iter().map(|row| self.status_of(row)))
            .buffered(STATUS_AT_ONCE)
            .collect()
            .await
    }

    /// State of one instance; sequence number 0 when it does not answer.
    async fn status_of(&self, row: member_row::MemberRow) -> InstanceStatus {
        let asked_at = self.node.clock();
        let sequence = if row.name == self.node.options.name {
            self.node.log.lock().sequence()
        } else {
            // A push without changes answers with the sequence number in effect.
            let request = peer_message::PushRequest::default();
            let reply = self.node.peers.push_change(row.peer_address, STATUS_LIMIT, &request).await;
            reply.map_or(0, |reply| reply.sequence)
        };
        let age = self.node.clock().saturating_sub(asked_at);
        InstanceStatus {
            name: row.name,
            data_centre: row.data_centre,
            sequence,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    async fn audit_bills(&self) -> Result<AuditReport, error_body::RequestRefusal> {
        let range = self.node.options.store.range(bill_batch::BILL_PREFIX).await;
        let entries = range.map_err(|error| {
            error_body::RequestRefusal::not_run(RefusalReason::NotReady, error.to_string())
        })?;
        let audit = bill_audit::BillAudit::new(&entries.entries, &Default::default());
        let instances: std::collections::BTreeSet<_> = entries
            .entries
            .iter()
            .filter_map(|entry| bill_batch::parse_key(&entry.key))
            .map(|(instance, _)| instance)
            .collect();
        Ok(AuditReport {
            instances: instances.len() as u64,
            batches: entries.entries.len() as u64,
            bills: audit.totals.values().map(|total| total.bills).sum(),
            microcredits: audit.totals.values().map(|total| total.cost).sum(),
            faults: audit.findings.iter().map(ToString::to_string).collect(),
        })
    }
}

impl admin_context::AdminContext for NodeAdmin {
    fn may_accept(&self) -> Result<(), error_body::RequestRefusal> {
        let node = &self.node;
        let now = node.clock();
        let reach = node.members.lock().reach(now);
        if node.confirmation.lock().accepts_changes(now, reach) {
            return Ok(());
        }
        Err(error_body::RequestRefusal::not_run(
            RefusalReason::Isolated,
            format!(
                "this instance reaches {} of {} instances and its configuration is {:?}",
                reach.exchanged,
                reach.listed,
                node.view.load().freshness
            ),
        ))
    }

    fn status(&self) -> BoxFuture<'_, Vec<InstanceStatus>> {
        self.statuses().boxed()
    }

    fn committed(&self, change: Arc<config_change::ConfigChange>) {
        self.node.emit(LogEvent::ConfigAccepted, slog::o!("sequence" => change.sequence));
        // Changes between the one in effect and this one come with the next confirmation.
        self.node.apply_changes(&[change]);
    }

    fn audit(&self) -> BoxFuture<'_, Result<AuditReport, error_body::RequestRefusal>> {
        self.audit_bills().boxed()
    }
}

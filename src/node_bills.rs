//! Billing system: records bills, copies them to a peer, flushes those of dead peers.

use std::sync::{Arc, Weak};
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;

use crate::event_catalogue::LogEvent;
use crate::{
    bill_batch, bill_ledger, bill_line, chat_job, ids, member_row, node, node_config, rendezvous,
};

/// Time between two looks for dead peers whose bills this node keeps.
const SUCCESSOR_INTERVAL: Duration = Duration::from_secs(2);

/// Sends copies of bills to one peer, in another data centre where there is one.
pub struct PeerCopier {
    node: Weak<node::Node>,
}

impl PeerCopier {
    /// Copier of a node.
    pub fn new(node: Weak<node::Node>) -> Self {
        Self { node }
    }
}

impl bill_ledger::BillCopier for PeerCopier {
    fn copy(
        &self,
        copy: bill_ledger::BillCopy,
    ) -> BoxFuture<'_, Result<(), bill_ledger::BillCopyError>> {
        async move {
            let no_peer = bill_ledger::BillCopyError::NoPeer;
            let node = self.node.upgrade().ok_or(no_peer)?;
            let peer = node.bill_peer().ok_or(no_peer)?;
            let sent = node.peers.copy_bills(peer, bill_ledger::COPY_WAIT, &copy).await;
            sent.map_err(|_| no_peer)
        }
        .boxed()
    }
}

impl node::Node {
    /// Peer that keeps copies of this node's bills.
    fn bill_peer(&self) -> Option<std::net::SocketAddr> {
        let now = self.clock();
        let table = self.members.lock();
        let live = |entry: &&member_row::MemberEntry| {
            entry.row.name != self.options.name && entry.state(now) == member_row::MemberState::Live
        };
        let far = table
            .entries()
            .iter()
            .filter(live)
            .filter(|entry| entry.row.data_centre != self.options.data_centre);
        let names = far.map(|entry| &*entry.row.name);
        let chosen = rendezvous::highest_ranked(&self.process, names).or_else(|| {
            let near = table.entries().iter().filter(live).map(|entry| &*entry.row.name);
            rendezvous::highest_ranked(&self.process, near)
        })?;
        table.find(chosen).map(|entry| entry.row.peer_address)
    }

    /// Bills a request once, with all steps that ran.
    pub async fn bill(&self, job: &chat_job::ChatJob, steps: Vec<bill_line::BillStep>) {
        let line = bill_line::BillLine {
            request: job.id,
            customer: job.customer.name.clone(),
            steps: steps.into(),
        };
        let (cost, tokens) = (line.cost(), line.tokens());
        match self.ledger.record(line).await {
            Ok(bill_ledger::BillProtection::Copied) => {}
            Ok(bill_ledger::BillProtection::Unprotected) => {
                metrics::counter!("yuccareel_bills_unprotected_total").increment(1);
                let request = format!("{:032x}", job.id);
                self.emit(LogEvent::BillUnprotected, slog::o!("request" => request));
            }
            Ok(bill_ledger::BillProtection::AlreadyBilled) => return,
            Err(_) => {
                // Room is checked at admission, so that only requests that were already
                // running when the ledger filled up can get here.
                metrics::counter!("yuccareel_bills_dropped_total").increment(1);
                let request = format!("{:032x}", job.id);
                self.emit(LogEvent::BillBufferFull, slog::o!("request" => request));
                return;
            }
        }
        metrics::counter!("yuccareel_bills_total").increment(1);
        metrics::counter!("yuccareel_billed_microcredits_total").increment(cost);
        metrics::counter!("yuccareel_billed_tokens_total").increment(tokens);
    }

    /// Flushes own bills, and those of peers that died.
    pub async fn run_bills(self: Arc<Self>) {
        let node = Arc::clone(&self);
        let ledger = Arc::clone(&self.ledger);
        let flushing = ledger.run(move || node.view.load().members.len(), self.stopped.clone());
        let succeeding = async {
            let mut peer = None;
            loop {
                tokio::select! {
                    () = self.stopped.cancelled() => return,
                    () = tokio::time::sleep(SUCCESSOR_INTERVAL) => self.flush_dead().await,
                }
                let former = std::mem::replace(&mut peer, self.bill_peer());
                if former != peer {
                    self.ledger.peer_changed();
                }
            }
        };
        tokio::join!(flushing, succeeding);
    }

    /// Flushes all copies before this node stops; a peer takes what the store does not.
    ///
    /// An instance that was killed a moment ago is not known to be dead yet.
    pub async fn hand_over_copies(&self) {
        for process in self.copies.instances() {
            // What stays after an error goes to the peer.
            let _ = self.copies.flush_as_successor(&process).await;
        }
        let Some(peer) = self.bill_peer() else { return };
        for copy in self.copies.hand_over() {
            // Without this the copies are lost as with a kill of this node.
            let _ = self.peers.copy_bills(peer, node_config::SPREAD_LIMIT, &copy).await;
        }
    }

    async fn flush_dead(&self) {
        for process in self.copies.instances() {
            if !self.process_dead(&process) {
                continue;
            }
            if let Ok(flush) = self.copies.flush_as_successor(&process).await {
                let batches = flush.batches as u64;
                metrics::counter!("yuccareel_successor_batches_total").increment(batches);
                self.emit(LogEvent::BillTakenOver, slog::o!("process" => process.to_string()));
            }
        }
    }

    /// Whether a process has ended: its instance is dead, gone, or was started again.
    fn process_dead(&self, process: &ids::InstanceName) -> bool {
        let now = self.clock();
        let table = self.members.lock();
        let Some(entry) = table.find(bill_batch::instance_name(process)) else { return true };
        entry.state(now) == member_row::MemberState::Dead
            || bill_batch::process_name(&entry.row.name, entry.row.incarnation) != *process
    }
}

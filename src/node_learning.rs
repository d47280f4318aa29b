//! Exchange of rollout evidence and quality counts between nodes.
//!
//! Each node sends its reports to the first watcher of its data centre, which forwards them to the
//! holder of the rollouts. Replies carry rollout states and counts back. The holder writes a
//! summary of the counts to the key-value service, so that they survive the replacement of all
//! instances.

use std::net::SocketAddr;

use crate::{
    bill_batch, config_snapshot, ids, member_choice, node, node_config, peer_message,
    rollout_evidence, rollout_holder,
};

/// Maximum quality counts in one message, about 8 KB. A new node receives 640 cells within 10 s.
const MAX_COUNT_ROWS: usize = 64;

impl node::Node {
    /// Sends evidence and quality counts, and applies the states and counts in the reply.
    pub async fn exchange_learning(&self, snapshot: &config_snapshot::ConfigSnapshot) {
        let Some(peer) = self.learning_peer().await else { return };
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
            counts: self.quality.lock().take_unsent_page(MAX_COUNT_ROWS),
            known: self.rollouts.last_applied_counts.lock().clone(),
        };
        let sent = self.peers.send_evidence(peer, node_config::SPREAD_LIMIT, &report).await;
        match sent {
            Ok(reply) => {
                self.apply_states(reply.states);
                self.quality.lock().apply_counts(reply.counts);
                *self.rollouts.last_applied_counts.lock() = Some((reply.process, reply.revision));
            }
            Err(error) if !error.may_have_run() => {
                for evidence in &report.evidence {
                    self.rollouts.record_report(evidence);
                }
                self.quality.lock().restore_unsent(report.counts);
            }
            // The evidence may have arrived. Counting it twice could roll back a good version.
            Err(_) => metrics::counter!("yuccareel_evidence_lost_total").increment(1),
        }
    }

    /// Applies a report of another node. The reply holds the counts changed since the last reply.
    pub fn apply_learning_report(
        &self,
        report: peer_message::LearningReport,
    ) -> peer_message::LearningReply {
        for evidence in &report.evidence {
            self.rollouts.record_report(evidence);
        }
        let mut table = self.quality.lock();
        table.merge_and_forward(report.counts);
        let known = report.known.filter(|(process, _)| *process == self.process);
        let known_revision = known.map_or(0, |(_, revision)| revision);
        let (counts, revision) = table.changed_since(known_revision, MAX_COUNT_ROWS);
        let states = (**self.rollouts.states.load()).clone();
        peer_message::LearningReply { states, process: self.process.clone(), counts, revision }
    }

    /// Writes the next changed part of the quality summary; `false` if none was written.
    pub async fn write_summary_part(&self, holder: &mut rollout_holder::RolloutHolder) -> bool {
        let part_rows = {
            let mut table = self.quality.lock();
            table.take_unwritten_part().map(|part| (part, table.export_part(part)))
        };
        let Some((part, rows)) = part_rows else { return false };
        let is_written = holder.write_summary(part, &rows).await.is_ok();
        if !is_written {
            self.quality.lock().restore_unwritten_part(part);
        }
        is_written
    }

    /// Address of the first watcher of the data centre, or of the rollout holder if this node is
    /// that watcher. `None` if this node is the holder or the address is unknown.
    async fn learning_peer(&self) -> Option<SocketAddr> {
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
                let name = bill_batch::instance_name(&process);
                (*name != *self.options.name).then(|| self.peer_address(name)).flatten()
            }
        }
    }
}

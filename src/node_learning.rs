//! Learning system: evidence of rollouts and counts of rated answers, on their way to the
//! holder and back.
//!
//! The holder keeps a summary of the counts in the key-value service, so that they outlive the
//! replacement of all instances.

use std::net::SocketAddr;

use crate::{
    bill_batch, config_snapshot, ids, member_choice, node, node_config, peer_message,
    rollout_evidence, rollout_holder,
};

/// Most quality counts in one message, about 8 KB. A new node thus knows 640 cells after 10 s.
const MAX_COUNT_ROWS: usize = 64;

impl node::Node {
    /// Sends evidence and quality counts, and takes over what the receiver knows.
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
            known: self.rollouts.known_counts.lock().clone(),
        };
        let sent = self.peers.send_evidence(peer, node_config::SPREAD_LIMIT, &report).await;
        match sent {
            Ok(reply) => {
                self.adopt_states(reply.states);
                self.quality.lock().apply_counts(reply.counts);
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
    pub fn apply_learning_report(
        &self,
        report: peer_message::LearningReport,
    ) -> peer_message::LearningReply {
        for evidence in &report.evidence {
            self.rollouts.record(evidence);
        }
        let mut table = self.quality.lock();
        table.merge_and_forward(report.counts);
        let known = report.known.filter(|(process, _)| *process == self.process);
        let known = known.map_or(0, |(_, revision)| revision);
        let (counts, revision) = table.changed_since(known, MAX_COUNT_ROWS);
        let states = (**self.rollouts.states.load()).clone();
        peer_message::LearningReply { states, process: self.process.clone(), counts, revision }
    }

    /// Writes the next changed part of the quality summary; false when none was written.
    pub async fn write_summary_part(&self, holder: &mut rollout_holder::RolloutHolder) -> bool {
        let taken = {
            let mut table = self.quality.lock();
            table.take_unwritten_part().map(|part| (part, table.export_part(part)))
        };
        let Some((part, rows)) = taken else { return false };
        let written = holder.write_summary(part, &rows).await.is_ok();
        if !written {
            self.quality.lock().restore_unwritten_part(part);
        }
        written
    }

    /// First watcher of the data centre, or the holder when this node is that watcher.
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

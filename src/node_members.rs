//! Membership system: heartbeats, the instance list and the view derived from them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::event_catalogue::LogEvent;
use crate::{
    bill_batch, endpoint_answer, freshness, ids, instance_list, member_choice, member_row,
    member_table, node, node_view, peer_message,
};

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for one heartbeat.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);
/// Time between two reads of the instance list by a watcher.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Age of the list above which a node that is no watcher reads it itself.
const LIST_STALE: Duration = Duration::from_secs(10);

/// Members that hear at once that this node has started or leaves.
const ANNOUNCE_TARGETS: usize = 64;

/// Heartbeat with its target.
type HeartbeatCall = (ids::InstanceName, std::net::SocketAddr, peer_message::Heartbeat);

fn member_target(entry: &member_row::MemberEntry) -> (ids::InstanceName, std::net::SocketAddr) {
    (entry.row.name.clone(), entry.row.peer_address)
}

impl node::Node {
    /// Sends heartbeats and reads the instance list.
    pub async fn run_members(self: Arc<Self>) {
        let heartbeats = Arc::clone(&self).run_heartbeats();
        let lists = Arc::clone(&self).run_lists();
        tokio::select! {
            () = self.stopped.cancelled() => {}
            () = heartbeats => {}
            () = lists => {}
        }
    }

    async fn run_heartbeats(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut announced = false;
        loop {
            ticks.tick().await;
            if !announced && self.members.lock().entries().len() > 1 {
                // The former homes hand their shares over once they know this node.
                announced = true;
                tokio::spawn(Arc::clone(&self).announce());
            }
            self.members.lock().forget_dead(self.clock());
            self.refresh_view();
            for (name, peer, heartbeat) in self.next_heartbeats() {
                tokio::spawn(Arc::clone(&self).exchange(name, peer, heartbeat));
            }
        }
    }

    fn next_heartbeats(&self) -> Vec<HeartbeatCall> {
        let (now, status) = (self.clock(), self.status());
        let mut table = self.members.lock();
        let chosen = member_choice::heartbeat_targets(&table, now, &mut rand::rng());
        let targets: Vec<_> = chosen.into_iter().map(member_target).collect();
        let calls = targets.into_iter();
        calls.map(|(name, peer)| (name, peer, table.heartbeat(now, status))).collect()
    }

    /// Announces that this node leaves, to as many members as get a heartbeat in a minute.
    ///
    /// Without the news the others would ask this node for shares and list it for callers
    /// until the usual heartbeats have spread it.
    pub async fn announce_leaving(self: &Arc<Self>) {
        self.members.lock().announce_leaving();
        Arc::clone(self).announce().await;
    }

    /// Sends heartbeats to many members at once.
    async fn announce(self: Arc<Self>) {
        let (now, status) = (self.clock(), self.status());
        let calls: Vec<HeartbeatCall> = {
            let mut table = self.members.lock();
            let others = table.entries().iter().filter(|entry| {
                entry.row.name != self.options.name
                    && entry.state(now) != member_row::MemberState::Dead
            });
            let targets: Vec<_> = others.take(ANNOUNCE_TARGETS).map(member_target).collect();
            let calls = targets.into_iter();
            calls.map(|(name, peer)| (name, peer, table.heartbeat(now, status))).collect()
        };
        let exchanges = calls
            .into_iter()
            .map(|(name, peer, heartbeat)| Arc::clone(&self).exchange(name, peer, heartbeat));
        futures::future::join_all(exchanges).await;
        self.refresh_view();
    }

    async fn exchange(
        self: Arc<Self>,
        name: ids::InstanceName,
        peer: std::net::SocketAddr,
        heartbeat: peer_message::Heartbeat,
    ) {
        let sent_at = self.clock();
        let sent = self.peers.heartbeat(peer, HEARTBEAT_LIMIT, heartbeat.clone()).await;
        let Ok(reply) = sent else {
            metrics::counter!("yuccareel_heartbeats_failed_total").increment(1);
            self.members.lock().note_unanswered(self.clock(), &name);
            return;
        };
        self.members.lock().merge_reply(sent_at, &heartbeat, &reply);
        self.learn_status(sent_at, &reply.status, peer).await;
    }

    /// Fetches what a peer has and this node lacks.
    pub async fn fetch_news(&self, status: &peer_message::NodeStatus, peer: std::net::SocketAddr) {
        let own = self.status();
        let newer_list = status.list_digest != own.list_digest
            && status.list_age.is_some_and(|age| own.list_age.is_none_or(|known| age < known));
        if status.sequence > own.sequence || newer_list {
            self.fetch_from(peer, newer_list).await;
        }
    }

    /// Learns from the reply of a peer. Only a reply tells how old its status can be: a
    /// heartbeat may have waited in a buffer since it was sent.
    async fn learn_status(
        &self,
        sent_at: Duration,
        status: &peer_message::NodeStatus,
        peer: std::net::SocketAddr,
    ) {
        if let Some(read_at) = status.list_age.and_then(|age| sent_at.checked_sub(age)) {
            self.listed.lock().confirm(status.list_digest, read_at);
        }
        self.fetch_news(status, peer).await;
        let in_effect = self.log.lock().sequence();
        self.confirmation.lock().adopt(sent_at, status, in_effect);
        self.refresh_view();
    }

    /// Status for heartbeats.
    pub fn status(&self) -> peer_message::NodeStatus {
        let now = self.clock();
        let sequence = self.log.lock().sequence();
        let confirmation_age = self.confirmation.lock().age(now);
        let listed = self.listed.lock();
        peer_message::NodeStatus {
            sequence,
            confirmation_age,
            list_digest: listed.digest,
            list_age: listed.read_at.map(|read_at| now.saturating_sub(read_at)),
        }
    }

    /// Recomputes members, freshness and endpoints.
    pub fn refresh_view(&self) {
        let now = self.clock();
        let former = self.view.load();
        let view = {
            let table = self.members.lock();
            let freshness = self.confirmation.lock().freshness(now, table.reach(now));
            let digest = table.state_digest(now);
            // The view is derived several times a second and seldom changes.
            if former.digest == digest && former.freshness == freshness {
                return;
            }
            derive_view(&table, now, freshness, digest)
        };
        if former.freshness != view.freshness {
            metrics::gauge!("yuccareel_freshness").set(freshness_value(view.freshness));
            let freshness = format!("{:?}", view.freshness);
            self.emit(LogEvent::FreshnessChanged, slog::o!("freshness" => freshness));
        }
        self.quota_allocator.lock().set_members(&view.members, &view.leaving, now);
        let leaving = view.processes.iter().filter(|process| {
            let name = bill_batch::instance_name(process);
            view.leaving.iter().any(|leaving| **leaving == *name)
        });
        self.claims.set_leaving(leaving.cloned());
        self.claims.set_members(view.processes.iter().cloned());
        let view = Arc::new(view);
        self.view.store(Arc::clone(&view));
        self.rebuild_endpoints(&view);
    }

    /// Takes a node into the members or out of them at once when its heartbeat is the first one
    /// or says that it leaves, because its roles pass on at the same time.
    pub fn note_sender(&self, heartbeat: &peer_message::Heartbeat) {
        let own = heartbeat.rows.iter().find(|aged| aged.row.name == heartbeat.sender);
        let stays = own.is_some_and(|aged| !aged.row.leaving);
        if self.view.load().members.contains(&heartbeat.sender) != stays {
            self.refresh_view();
        }
    }

    /// Rebuilds the addresses for callers.
    pub fn rebuild_endpoints(&self, view: &node_view::NodeView) {
        let directory = endpoint_answer::EndpointDirectory::build(
            &view.endpoints,
            &self.snapshot.load(),
            &self.options.data_centre,
        );
        self.endpoints.store(Arc::new(directory));
    }

    async fn run_lists(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(LIST_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = self.clock();
            let read_at = self.listed.lock().read_at;
            let stale = read_at.is_none_or(|read_at| now.saturating_sub(read_at) > LIST_STALE);
            if !stale && !self.watches() {
                continue;
            }
            match self.options.list.read().await {
                Ok(entries) => self.adopt_list(entries, now),
                Err(error) => {
                    metrics::counter!("yuccareel_list_reads_failed_total").increment(1);
                    self.emit(LogEvent::ListReadFailed, slog::o!("error" => error.to_string()));
                }
            }
        }
    }

    /// Takes an instance list that is newer than the known one; pushes what changed.
    pub fn adopt_list(&self, entries: Vec<instance_list::ListedInstance>, read_at: Duration) {
        let Some(push) = self.listed.lock().adopt(entries, read_at) else { return };
        self.merge_listed(self.clock());
        self.push(push);
    }

    /// Applies changed entries that a peer pushed; false when nothing was new.
    pub fn apply_listed(&self, request: &peer_message::PushRequest) -> bool {
        let now = self.clock();
        let changed = self.listed.lock().apply_push(request, now);
        if changed {
            self.merge_listed(now);
        }
        changed
    }

    fn merge_listed(&self, now: Duration) {
        let merging = self.list_merge.lock();
        let entries = self.listed.lock().entries.clone();
        self.members.lock().merge_list(now, &entries);
        self.replace_replicas(&entries);
        drop(merging);
        self.refresh_view();
    }

    /// Whether this node refuses new work because it is leaving.
    pub fn leaving(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// View of a table.
fn derive_view(
    table: &member_table::MemberTable,
    now: Duration,
    freshness: freshness::Freshness,
    digest: u64,
) -> node_view::NodeView {
    let mut view = node_view::NodeView { digest, freshness, ..Default::default() };
    for entry in table.entries() {
        let (state, row) = (entry.state(now), &entry.row);
        let live = state == member_row::MemberState::Live;
        view.endpoints.push(endpoint_answer::EndpointMember {
            address: row.address,
            data_centre: row.data_centre.clone(),
            live,
        });
        if state != member_row::MemberState::Dead && row.incarnation > 0 {
            view.processes.push(bill_batch::process_name(&row.name, row.incarnation));
        }
        match state {
            member_row::MemberState::Live | member_row::MemberState::Suspect => {
                view.members.push(row.name.clone());
            }
            member_row::MemberState::Leaving => view.leaving.push(row.name.clone()),
            member_row::MemberState::Dead => {}
        }
    }
    view.members.sort_unstable();
    view
}

fn freshness_value(freshness: freshness::Freshness) -> f64 {
    match freshness {
        freshness::Freshness::Confirmed => 2.0,
        freshness::Freshness::OutageQuorum => 1.0,
        freshness::Freshness::Isolated => 0.0,
    }
}

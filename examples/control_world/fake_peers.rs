//! Many peers played by one process: one table and one handler stand for all of them.
//!
//! Each peer has an address of its own, so that the measured instance opens and
//! closes as many connections as among real ones.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt as _;
use parking_lot::Mutex;
use rand::RngExt as _;
use tokio::time::Instant;
use yuccareel::peer_handler::{Answer, PeerHandler, PeerRefusal};
use yuccareel::{
    bill_ledger, config_change, config_log, listed_view, member_age, member_row, member_table,
    peer_client, peer_handshake, peer_message, peer_service, quota_message, session_table,
};

use super::counted_link::{self, ByteCount};

/// Heartbeats that a node receives in a second on average.
const HEARTBEATS: usize = 3;
/// Time for one call.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// All peers.
pub struct FakePeers {
    pub rows: Vec<member_row::MemberRow>,
    /// For each peer the link by which it calls the measured instance.
    links: Vec<SocketAddr>,
    client: peer_client::PeerClient,
    state: Arc<PeerState>,
    _service: peer_service::PeerService,
}

/// What all peers know.
struct PeerState {
    started: Instant,
    table: Mutex<member_table::MemberTable>,
    log: Mutex<config_log::ConfigLog>,
    listed: Mutex<listed_view::ListedView>,
}

impl PeerState {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn status(&self) -> peer_message::NodeStatus {
        peer_message::NodeStatus {
            sequence: self.log.lock().sequence(),
            confirmation_age: Some(Duration::from_millis(500)),
            list_digest: self.listed.lock().digest,
            list_age: Some(Duration::from_millis(500)),
        }
    }
}

impl FakePeers {
    /// Starts `count` peers that call the instance at `measured`.
    pub async fn start(
        count: usize,
        data_centres: usize,
        secret: peer_handshake::SharedSecret,
        measured: SocketAddr,
        bytes: &ByteCount,
    ) -> Self {
        let client = peer_client::PeerClient::start(secret.clone()).expect("thread starts");
        let listener = TcpListener::bind("127.0.0.1:0").expect("free loopback port");
        let served = listener.local_addr().expect("bound address");
        let (mut rows, mut links) = (Vec::new(), Vec::new());
        for place in 0..count {
            let address = counted_link::start(served, Arc::clone(bytes)).await;
            links.push(counted_link::start(measured, Arc::clone(bytes)).await);
            rows.push(member_row::MemberRow {
                incarnation: 1,
                leaving: false,
                name: format!("peer-{place:04}").into(),
                address,
                peer_address: address,
                data_centre: format!("dc-{:02}", place % data_centres).into(),
            });
        }
        let table = member_table::MemberTable::new(rows[0].clone(), Duration::ZERO);
        let state = Arc::new(PeerState {
            started: Instant::now(),
            table: Mutex::new(table),
            log: Mutex::default(),
            listed: Mutex::default(),
        });
        let handler = Arc::new(FakeHandler(Arc::clone(&state)));
        let service = peer_service::PeerService::start(listener, secret, handler);
        let service = service.expect("service starts");
        Self { rows, links, client, state, _service: service }
    }

    /// Takes over the configuration and the instance list that the peers know.
    pub fn set_tables(
        &self,
        snapshot: yuccareel::config_snapshot::ConfigSnapshot,
        mut list: Vec<yuccareel::instance_list::ListedInstance>,
    ) {
        self.state.log.lock().apply_snapshot(snapshot);
        list.sort_by(|left, right| left.name.cmp(&right.name));
        self.state.table.lock().merge_list(self.state.now(), &list);
        self.state.listed.lock().adopt(list, Duration::ZERO);
    }

    /// Takes a change and pushes it to the measured instance from one peer.
    pub async fn push(&self, change: Arc<config_change::ConfigChange>) {
        self.state.log.lock().apply(Arc::clone(&change));
        let changes = vec![change];
        let request = peer_message::PushRequest { changes, ..Default::default() };
        let link = self.links[rand::rng().random_range(0..self.links.len())];
        if let Err(error) = self.client.push_change(link, CALL_LIMIT, &request).await {
            eprintln!("push: {error}");
        }
    }

    /// Keeps all peers alive and sends their heartbeats until it is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / HEARTBEATS as u32);
        loop {
            ticks.tick().await;
            self.keep_alive();
            let sender = rand::rng().random_range(0..self.rows.len());
            tokio::spawn(Arc::clone(&self).send_heartbeat(sender));
        }
    }

    /// Marks all peers as heard of by each other.
    fn keep_alive(&self) {
        let now = self.state.now();
        let age = member_age::MemberAge::since(Some(now), now);
        let aged = self.rows.iter().map(|row| peer_message::AgedRow { row: row.clone(), age });
        let reply = peer_message::HeartbeatReply { rows: aged.collect(), ..Default::default() };
        let mut table = self.state.table.lock();
        let sent = table.heartbeat(now, peer_message::NodeStatus::default());
        table.merge_reply(now, &sent, &reply);
    }

    async fn send_heartbeat(self: Arc<Self>, place: usize) {
        let (now, status) = (self.state.now(), self.state.status());
        let age = member_age::MemberAge::since(Some(now), now);
        let row = self.rows[place].clone();
        let heartbeat = peer_message::Heartbeat {
            sender: row.name.clone(),
            status,
            rows: vec![peer_message::AgedRow { row, age }],
            digests: *self.state.table.lock().digests(),
        };
        let link = self.links[place];
        let sent = self.client.heartbeat(link, CALL_LIMIT, heartbeat.clone()).await;
        if let Ok(reply) = sent {
            self.state.table.lock().merge_reply(now, &heartbeat, &reply);
        }
    }
}

/// Answers every call as a live peer without work of its own.
struct FakeHandler(Arc<PeerState>);

fn ready<T: Send + 'static>(answer: T) -> Answer<T> {
    async move { Ok(answer) }.boxed()
}

impl PeerHandler for FakeHandler {
    fn heartbeat(
        &self,
        heartbeat: peer_message::Heartbeat,
    ) -> Answer<peer_message::HeartbeatReply> {
        let (now, status) = (self.0.now(), self.0.status());
        ready(self.0.table.lock().receive(now, &heartbeat, status))
    }

    fn push_change(&self, _request: peer_message::PushRequest) -> Answer<peer_message::PushReply> {
        ready(peer_message::PushReply { sequence: self.0.log.lock().sequence() })
    }

    fn fetch_changes(
        &self,
        request: peer_message::FetchRequest,
    ) -> Answer<peer_message::FetchReply> {
        let configuration = self.0.log.lock().changes_after(request.after);
        let entries = || self.0.listed.lock().entries.clone();
        let list = || peer_message::FetchedList { entries: entries(), age_ms: 500 };
        ready(peer_message::FetchReply {
            configuration,
            instances: request.with_instances.then(list),
        })
    }

    fn request_quota(
        &self,
        request: quota_message::ShareRequest,
    ) -> Answer<quota_message::ShareReply> {
        ready(quota_message::ShareReply { number: request.number, grants: Default::default() })
    }

    fn hand_over_quota(
        &self,
        _handover: peer_message::QuotaHandover,
    ) -> Answer<Vec<quota_message::ResourceHandover>> {
        ready(Vec::new())
    }

    fn report_cold(&self, _report: peer_message::ColdReport) -> Answer<()> {
        ready(())
    }

    fn pin_session(&self, request: peer_message::PinRequest) -> Answer<session_table::SessionPin> {
        ready(request.pin)
    }

    fn look_up_session(
        &self,
        _key: session_table::SessionModel,
    ) -> Answer<Option<session_table::SessionPin>> {
        ready(None)
    }

    fn claim(&self, _request: peer_message::ClaimRequest) -> Answer<peer_message::ClaimReply> {
        ready(peer_message::ClaimReply::NotOwner)
    }

    fn finish_claim(&self, _request: peer_message::FinishRequest) -> Answer<()> {
        async { Err(PeerRefusal("no claims here".to_owned())) }.boxed()
    }

    fn copy_bills(&self, _copy: bill_ledger::BillCopy) -> Answer<()> {
        ready(())
    }

    fn send_evidence(
        &self,
        _report: peer_message::LearningReport,
    ) -> Answer<peer_message::LearningReply> {
        ready(peer_message::LearningReply::default())
    }
}

//! Contract of the calls between nodes over loopback, and their faults.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt as _;
use parking_lot::Mutex;
use yuccareel::bill_ledger::BillCopy;
use yuccareel::bill_line::{BillLine, BillStep};
use yuccareel::claim_record::ClaimAnswer;
use yuccareel::cold_start::WarmupSignal;
use yuccareel::config_change::ConfigChange;
use yuccareel::instance_list::{InstanceRole, InstanceState, ListedInstance};
use yuccareel::member_age::MemberAge;
use yuccareel::member_digest::DIGEST_BUCKETS;
use yuccareel::member_row::MemberRow;
use yuccareel::peer_client::{PeerClient, PeerError};
use yuccareel::peer_handler::{Answer, PeerHandler, PeerRefusal};
use yuccareel::peer_handshake::SharedSecret;
use yuccareel::peer_message::*;
use yuccareel::peer_service::PeerService;
use yuccareel::quality_table::{CountRow, PassCount, QualityCell};
use yuccareel::quota_message::*;
use yuccareel::records::rollout::RolloutRecord;
use yuccareel::rollout_evidence::{EvidenceBlock, EvidenceReport, VersionEvidence};
use yuccareel::rollout_stage::RolloutState;
use yuccareel::session_table::{SessionModel, SessionPin};
use yuccareel::standins::link;

const LIMIT: Duration = Duration::from_secs(5);

fn secret() -> SharedSecret {
    SharedSecret::new(b"a secret of all nodes").unwrap()
}

fn listener() -> TcpListener {
    TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).unwrap()
}

fn answer<T: Send + 'static>(value: T) -> Answer<T> {
    async move { Ok(value) }.boxed()
}

/// Handler that records requests in their debug form and returns fixed answers.
#[derive(Default)]
struct RecordingHandler {
    requests: Mutex<Vec<String>>,
}

impl RecordingHandler {
    fn note<T: Send + 'static>(&self, request: impl std::fmt::Debug, value: T) -> Answer<T> {
        self.requests.lock().push(format!("{request:?}"));
        answer(value)
    }
}

impl PeerHandler for RecordingHandler {
    fn heartbeat(&self, heartbeat: Heartbeat) -> Answer<HeartbeatReply> {
        self.note(heartbeat, heartbeat_reply())
    }
    fn push_change(&self, request: PushRequest) -> Answer<PushReply> {
        self.note(request, PushReply { sequence: 9 })
    }
    fn fetch_changes(&self, request: FetchRequest) -> Answer<FetchReply> {
        self.note(request, fetch_reply())
    }
    fn request_quota(&self, request: ShareRequest) -> Answer<ShareReply> {
        self.note(request, share_reply())
    }
    fn hand_over_quota(&self, handover: QuotaHandover) -> Answer<Vec<ResourceHandover>> {
        let released = handover.resources.clone();
        self.note(handover, released)
    }
    fn report_cold(&self, report: ColdReport) -> Answer<()> {
        self.note(report, ())
    }
    fn pin_session(&self, request: PinRequest) -> Answer<SessionPin> {
        self.note(&request, SessionPin { version: "v1".into(), ..request.pin.clone() })
    }
    fn look_up_session(&self, key: SessionModel) -> Answer<Option<SessionPin>> {
        let found = (&*key.session == "known").then(pin);
        self.note(key, found)
    }
    /// Refuses, panics or takes long, by the claimant.
    fn claim(&self, request: ClaimRequest) -> Answer<ClaimReply> {
        match &*request.claimant {
            "refused" => async { Err(PeerRefusal("no longer owner".to_owned())) }.boxed(),
            "broken" => async { panic!("handler fault") }.boxed(),
            "slow" => {
                let slow = tokio::time::sleep(Duration::from_millis(2_500));
                async move {
                    slow.await;
                    Ok(ClaimReply::Running)
                }
                .boxed()
            }
            _ => self.note(request, ClaimReply::Finished(claim_answer())),
        }
    }
    fn finish_claim(&self, request: FinishRequest) -> Answer<()> {
        self.note(request, ())
    }
    fn copy_bills(&self, copy: BillCopy) -> Answer<()> {
        self.note(copy, ())
    }
    fn send_evidence(&self, report: LearningReport) -> Answer<LearningReply> {
        self.note(report, learning_reply())
    }
}

fn status() -> NodeStatus {
    NodeStatus {
        sequence: 41,
        confirmation_age: Some(Duration::from_millis(1_250)),
        list_digest: u64::MAX - 1,
        list_age: None,
    }
}

fn rows() -> Vec<AgedRow> {
    let row = |name: &str, address: &str, peer_address: &str, leaving| MemberRow {
        incarnation: u64::MAX,
        leaving,
        name: name.into(),
        address: address.parse().unwrap(),
        peer_address: peer_address.parse().unwrap(),
        data_centre: "gampaha-c".into(),
    };
    vec![
        AgedRow {
            row: row("a", "10.0.0.1:80", "[fd00::1]:81", true),
            age: MemberAge::from_byte(0),
        },
        AgedRow { row: row("é", "[::1]:1", "10.0.0.2:65535", false), age: MemberAge::UNKNOWN },
    ]
}

fn heartbeat() -> Heartbeat {
    let mut digests = [7; DIGEST_BUCKETS];
    digests[63] = u32::MAX;
    Heartbeat { sender: "a".into(), status: status(), rows: rows(), digests }
}

fn heartbeat_reply() -> HeartbeatReply {
    let (ages, keyed_ages) = (vec![2, 0, 255], vec![u32::MAX, 3]);
    HeartbeatReply { status: status(), rows: rows(), matching: 1 << 63, ages, keyed_ages }
}

fn config_change() -> Arc<ConfigChange> {
    Arc::new(ConfigChange {
        sequence: 9,
        apply_id: "apply-9".into(),
        author: "tester".to_owned(),
        written_at_ms: 1,
        puts: vec![],
        removals: vec![("model".to_owned(), "assistant".into())],
    })
}

fn listed() -> ListedInstance {
    ListedInstance {
        name: "engine-1".into(),
        address: SocketAddr::from(([10, 0, 0, 9], 80)),
        peer_address: None,
        data_centre: "gampaha-c".into(),
        role: InstanceRole::Service { service: "bookings".into() },
        state: InstanceState::Leaving,
    }
}

fn fetch_reply() -> FetchReply {
    let instances = Some(FetchedList { entries: vec![listed()], age_ms: 800 });
    FetchReply { configuration: FetchedConfig::Changes(vec![config_change()]), instances }
}

fn resource() -> ResourceKey {
    ResourceKey::new(ResourceKind::ReplicaConcurrency, "engine-1")
}

fn share_request() -> ShareRequest {
    let (wanted, in_use, used, period) = (u64::MAX, 3, 17, 2);
    let want = ShareDemand { resource: resource(), wanted, in_use, used, period };
    let wants = vec![want].into();
    ShareRequest { node: "a".into(), incarnation: u64::MAX, number: 5, applied: 4, wants }
}

fn share_reply() -> ShareReply {
    let leased = GrantOutcome::Leased { amount: 2, quantity: u64::MAX, cold: true, epoch: 9 };
    let grants = [leased, GrantOutcome::NotAllocator]
        .map(|outcome| ShareGrant { resource: resource(), outcome });
    ShareReply { number: 5, grants: grants.to_vec().into() }
}

fn session(name: &str) -> SessionModel {
    SessionModel { customer: "grower".into(), session: name.into(), model: "assistant".into() }
}

fn pin() -> SessionPin {
    SessionPin { version: "v2".into(), moves: 3 }
}

fn claim(claimant: &str) -> ClaimRequest {
    let (key, fingerprint) = ([0xfe; 32], [1; 32]);
    ClaimRequest { claimant: claimant.into(), key, fingerprint, request: u128::MAX - 1 }
}

fn claim_answer() -> ClaimAnswer {
    ClaimAnswer::new(201, "text/plain", Bytes::from_static(&[0, 159, 255, b'"']))
}

fn rollout_states() -> RolloutStates {
    let record = RolloutRecord {
        name: "r".into(),
        model: "assistant".into(),
        from: "v1".into(),
        to: "v2".into(),
        stages: vec![0.1, 1.0],
        stage_dwell_s: 1,
        stage_min_requests: 1,
        max_error_rise: 0.1,
        max_quality_fall: 0.1,
        paused: false,
        replicas: Vec::new(),
    };
    [("r".into(), RolloutState::new(&record))].into()
}

fn counts() -> Vec<CountRow> {
    let cell = QualityCell {
        customer: "c".into(),
        kind: "k".into(),
        model: "m".into(),
        after: Some("cheap".into()),
    };
    vec![(cell, PassCount { passes: 0.1, failures: 1e-9 })]
}

fn learning_reply() -> LearningReply {
    let states = rollout_states();
    LearningReply { states, process: "b@1".into(), counts: counts(), revision: 7 }
}

fn evidence() -> EvidenceReport {
    let to = VersionEvidence { requests: 10, errors: 1, rated: 8, rated_bad: 3, slow: 2 };
    EvidenceReport {
        rollout: "r".into(),
        sender: "a@1".into(),
        sequence: 6,
        block: EvidenceBlock { from: VersionEvidence::default(), to },
        stopped: ["b@2".into()].into(),
    }
}

fn bill_copy() -> BillCopy {
    let step = BillStep {
        model: "assistant".into(),
        version: "v2".into(),
        prompt_tokens: 1,
        completion_tokens: 2,
        cost: u64::MAX,
    };
    let line = BillLine { request: u128::MAX, customer: "grower".into(), steps: [step].into() };
    BillCopy { instance: "a@1".into(), flushed: 2, bills: vec![(3, line)] }
}

struct Served {
    handler: Arc<RecordingHandler>,
    service: PeerService,
    client: PeerClient,
}

fn served() -> Served {
    let handler = Arc::new(RecordingHandler::default());
    let service = PeerService::start(listener(), secret(), handler.clone()).unwrap();
    Served { handler, service, client: PeerClient::start(secret()).unwrap() }
}

/// Guards against a field that is lost or changed on the way, in either direction.
#[tokio::test]
async fn every_call_carries_its_fields() {
    let Served { handler, service, client } = served();
    let peer = service.address();
    macro_rules! check {
        ($method:ident, $request:expr, $answer:expr) => {{
            let request = $request;
            let answer = client.$method(peer, LIMIT, &request).await;
            assert_eq!(answer, Ok($answer), stringify!($method));
            let received = handler.requests.lock().pop().expect(stringify!($method));
            assert_eq!(received, format!("{request:?}"), stringify!($method));
        }};
    }
    let answer = client.heartbeat(peer, LIMIT, heartbeat()).await;
    assert_eq!(answer, Ok(heartbeat_reply()));
    assert_eq!(handler.requests.lock().pop(), Some(format!("{:?}", heartbeat())));
    let push = PushRequest {
        changes: vec![config_change()],
        instances: vec![listed()],
        removed_instances: vec!["engine-2".into()],
    };
    check!(push_change, push, PushReply { sequence: 9 });
    check!(fetch_changes, FetchRequest { after: 8, with_instances: true }, fetch_reply());
    check!(request_quota, share_request(), share_reply());
    let shares =
        vec![HandedShare { node: "b".into(), incarnation: 7, amount: 3, used: 12, period: 1 }];
    let warmup = Some(HandedWarmup { limit: 4, boot: Some("b7".into()), epoch: 8 });
    let resources = vec![ResourceHandover { resource: resource(), shares, warmup }];
    let wanted = resources.iter().map(|handover| handover.resource.clone()).collect();
    let released = resources.clone();
    check!(hand_over_quota, QuotaHandover { home: "a".into(), resources, wanted }, released);
    for sign in [
        WarmupSignal::Answers(3),
        WarmupSignal::Boot("b7".into()),
        WarmupSignal::Refused,
        WarmupSignal::SlowFirstToken,
        WarmupSignal::Report { boot: "b7".into(), cold: true },
        WarmupSignal::Returned,
    ] {
        check!(report_cold, ColdReport { replica: "engine-1".into(), sign }, ());
    }
    let pinned = SessionPin { version: "v1".into(), ..pin() };
    check!(pin_session, PinRequest { key: session("s"), pin: pin() }, pinned);
    check!(look_up_session, session("known"), Some(pin()));
    check!(look_up_session, session("other"), None);
    check!(claim, claim("a@1"), ClaimReply::Finished(claim_answer()));
    let finish = |answer| FinishRequest { key: [7; 32], request: 9, answer };
    check!(finish_claim, finish(Some(claim_answer())), ());
    check!(finish_claim, finish(None), ());
    check!(copy_bills, bill_copy(), ());
    let report = LearningReport {
        evidence: vec![evidence()],
        counts: counts(),
        known: Some(("a@1".into(), u64::MAX)),
    };
    check!(send_evidence, report, learning_reply());
    check!(send_evidence, LearningReport::default(), learning_reply());
}

/// Guards against a fault of one call that harms others on the connection, and against an
/// error that claims that nothing ran.
#[tokio::test]
async fn faulty_calls_leave_the_connection_usable() {
    let Served { service, client, .. } = served();
    let peer = service.address();
    let (slow, refused, broken, good) = tokio::join!(
        async { client.claim(peer, Duration::from_millis(1_200), &claim("slow")).await },
        async { client.claim(peer, LIMIT, &claim("refused")).await },
        async { client.claim(peer, LIMIT, &claim("broken")).await },
        async { client.claim(peer, LIMIT, &claim("k")).await },
    );
    assert_eq!(slow, Err(PeerError::NoAnswer));
    assert!(matches!(&refused, Err(PeerError::Refused(text)) if text.contains("no longer owner")));
    assert!(matches!(&broken, Err(PeerError::Refused(_))), "{broken:?}");
    assert_eq!(good, Ok(ClaimReply::Finished(claim_answer())));
    for error in [slow, refused, broken] {
        assert!(error.unwrap_err().may_have_run());
    }
}

/// Guards against peers that are accepted, or trusted, without the secret.
#[tokio::test]
async fn wrong_secret_is_refused() {
    let Served { handler, service, .. } = served();
    let stranger = SharedSecret::new(b"another secret of nodes").unwrap();
    let client = PeerClient::start(stranger).unwrap();
    let outcome = client.claim(service.address(), LIMIT, &claim("k")).await;
    assert!(matches!(&outcome, Err(PeerError::Unreachable(_))), "{outcome:?}");
    assert!(handler.requests.lock().is_empty());
    assert!(SharedSecret::new(b"short").is_none());
}

/// Guards against a call on a closed port that reports a possible run.
#[tokio::test]
async fn closed_port_is_unreachable() {
    let peer = listener().local_addr().unwrap();
    let outcome = PeerClient::start(secret()).unwrap().claim(peer, LIMIT, &claim("k")).await;
    assert!(!outcome.unwrap_err().may_have_run());
}

/// Guards against a client that keeps a connection that went silent for good, and against one
/// that opens a connection per call.
#[tokio::test]
async fn silent_connection_is_replaced() {
    let Served { service, client, .. } = served();
    let relay = link::LinkStandin::bind().await;
    relay.connect_to(service.address());
    for _ in 0..3 {
        client.claim(relay.address, LIMIT, &claim("k")).await.unwrap();
    }
    assert_eq!(relay.accepted(), 1);
    relay.silence_open();
    let limit = Duration::from_millis(200);
    let outcome = client.claim(relay.address, limit, &claim("k")).await;
    assert_eq!(outcome, Err(PeerError::NoAnswer));
    let started = Instant::now();
    while client.claim(relay.address, limit, &claim("k")).await.is_err() {
        assert!(started.elapsed() < Duration::from_secs(10), "the connection is not replaced");
    }
    assert_eq!(relay.accepted(), 2);
}

/// Guards against a call that hangs, or that is said not to have run, when its peer stops.
#[tokio::test]
async fn peer_that_stops_in_mid_call() {
    let Served { service, client, .. } = served();
    let peer = service.address();
    let slow = claim("slow");
    let call = client.claim(peer, LIMIT, &slow);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        tokio::task::spawn_blocking(move || drop(service)).await.unwrap();
    };
    let (outcome, ()) = tokio::join!(call, stop);
    assert!(matches!(&outcome, Err(PeerError::Lost(_))), "{outcome:?}");
    assert!(outcome.unwrap_err().may_have_run());

    let restarted = TcpListener::bind(peer).unwrap();
    let handler = Arc::new(RecordingHandler::default());
    let _service = PeerService::start(restarted, secret(), handler).unwrap();
    let outcome = client.claim(peer, LIMIT, &claim("k")).await;
    assert_eq!(outcome, Ok(ClaimReply::Finished(claim_answer())));
}

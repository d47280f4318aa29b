//! Contract of the calls between nodes over loopback, and their faults.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt as _;
use parking_lot::Mutex;
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
    fn request_quota(&self, request: QuotaRequest) -> Answer<QuotaReply> {
        self.note(request, QuotaReply { granted: vec![share()], lease_ms: 2_000 })
    }
    fn hand_over_quota(&self, handover: QuotaHandover) -> Answer<()> {
        self.note(handover, ())
    }
    fn report_cold(&self, report: ColdReport) -> Answer<()> {
        self.note(report, ())
    }
    fn pin_session(&self, pin: SessionPin) -> Answer<SessionPin> {
        self.note(&pin, SessionPin { version: "v1".into(), ..pin.clone() })
    }
    fn look_up_session(&self, name: SessionName) -> Answer<Option<SessionPin>> {
        let found = (&*name.session == "known").then(|| pin("known"));
        self.note(name, found)
    }
    /// Refuses, panics or takes long, by the claim key.
    fn claim(&self, request: ClaimRequest) -> Answer<ClaimReply> {
        match &*request.key {
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
    fn copy_bills(&self, copies: BillCopies) -> Answer<()> {
        self.note(copies, ())
    }
    fn bills_flushed(&self, flushed: BillsFlushed) -> Answer<()> {
        self.note(flushed, ())
    }
    fn send_evidence(&self, report: EvidenceReport) -> Answer<()> {
        self.note(report, ())
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

fn share() -> QuotaShare {
    QuotaShare { resource: "replica/engine-1".into(), amount: u64::MAX }
}

fn pin(session: &str) -> SessionPin {
    let name = SessionName { customer: "grower".into(), session: session.into() };
    SessionPin { name, model: "assistant".into(), version: "v2".into() }
}

fn claim(key: &str) -> ClaimRequest {
    ClaimRequest { claimant: "a".into(), key: key.into(), digest: "d".into() }
}

fn claim_answer() -> ClaimAnswer {
    let body = Bytes::from_static(&[0, 159, 255, b'"']);
    ClaimAnswer { status: 201, content_type: Some("text/plain".to_owned()), body }
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
    let quota = QuotaRequest { holder: "a".into(), wanted: vec![share()] };
    check!(request_quota, quota, QuotaReply { granted: vec![share()], lease_ms: 2_000 });
    let outstanding = OutstandingShare { holder: "b".into(), share: share(), left_ms: 1_500 };
    let handover = QuotaHandover { home: "a".into(), shares: vec![outstanding] };
    check!(hand_over_quota, handover, ());
    let report = ColdReport { replica: "engine-1".into(), boot: Some("b7".into()) };
    check!(report_cold, report, ());
    check!(pin_session, pin("s"), SessionPin { version: "v1".into(), ..pin("s") });
    check!(look_up_session, pin("known").name, Some(pin("known")));
    check!(look_up_session, pin("other").name, None);
    check!(claim, claim("k"), ClaimReply::Finished(claim_answer()));
    let finish = |answer| FinishRequest { claimant: "a".into(), key: "k".into(), answer };
    check!(finish_claim, finish(Some(claim_answer())), ());
    check!(finish_claim, finish(None), ());
    let bill = BillCopy { number: 3, bill: serde_json::json!({ "cost": 12 }) };
    check!(copy_bills, BillCopies { instance: "a".into(), bills: vec![bill] }, ());
    check!(bills_flushed, BillsFlushed { instance: "a".into(), through: 3 }, ());
    let version = VersionEvidence {
        rollout: "r".into(),
        version: "v2".into(),
        requests: 10,
        errors: 1,
        rated: 8,
        rating_sum: 6.5,
        slow: 2,
        stopped: true,
    };
    let evidence = EvidenceReport { sender: "a".into(), number: 1, versions: vec![version] };
    check!(send_evidence, evidence, ());
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
}

/// Guards against a call on a closed port that reports a possible run.
#[tokio::test]
async fn closed_port_is_unreachable() {
    let peer = listener().local_addr().unwrap();
    let outcome = PeerClient::start(secret()).unwrap().claim(peer, LIMIT, &claim("k")).await;
    assert!(!outcome.unwrap_err().may_have_run());
}

/// Forwards connections; the first one goes silent on demand while new ones work.
struct SilentRelay {
    address: SocketAddr,
    silent: Arc<tokio::sync::Notify>,
    connections: Arc<Mutex<usize>>,
}

async fn relay(target: SocketAddr) -> SilentRelay {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (silent, connections) = (Arc::new(tokio::sync::Notify::new()), Arc::new(Mutex::new(0)));
    let (silence, count) = (Arc::clone(&silent), Arc::clone(&connections));
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            *count.lock() += 1;
            let silence = Arc::clone(&silence);
            tokio::spawn(async move {
                let mut far = tokio::net::TcpStream::connect(target).await.unwrap();
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                    () = silence.notified() => std::future::pending().await,
                }
            });
        }
    });
    SilentRelay { address, silent, connections }
}

/// Guards against a client that keeps a connection that went silent for good, and against one
/// that opens a connection per call.
#[tokio::test]
async fn silent_connection_is_replaced() {
    let Served { service, client, .. } = served();
    let relay = relay(service.address()).await;
    for _ in 0..3 {
        client.claim(relay.address, LIMIT, &claim("k")).await.unwrap();
    }
    assert_eq!(*relay.connections.lock(), 1);
    relay.silent.notify_waiters();
    let limit = Duration::from_millis(200);
    let outcome = client.claim(relay.address, limit, &claim("k")).await;
    assert_eq!(outcome, Err(PeerError::NoAnswer));
    let started = Instant::now();
    while client.claim(relay.address, limit, &claim("k")).await.is_err() {
        assert!(started.elapsed() < Duration::from_secs(10), "the connection is not replaced");
    }
    assert_eq!(*relay.connections.lock(), 2);
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

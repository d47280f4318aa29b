//! Plain services that close the connection within the head of their answer, behind a whole node.

mod whole_path;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::BytesMut;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use yuccareel::http1::message_reader::MessageReader;
use yuccareel::http1::request_head::RequestHead;
use yuccareel::instance_list::{InstanceRole, InstanceState, ListedInstance};

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 17\r\n\r\n";
const LOAD: &str = "{\"requests\":0,\"cold\":false,\"boot\":\"service-1\"}";
/// Step between the lengths that a case tries, which begin at another one in each case.
const LENGTH_STEP: usize = 3;
const MAX_MESSAGE_BYTES: usize = 4_096;

/// Service that sends the first `cut` bytes of a head to each call and closes the connection.
#[derive(Clone, Default)]
struct CutService {
    cut: Arc<AtomicUsize>,
    runs: Arc<AtomicUsize>,
}

impl CutService {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(service.clone().serve(stream));
            }
        });
        address
    }

    /// Serves one connection until it ends; `None` in any case.
    async fn serve(self, mut stream: TcpStream) -> Option<()> {
        let (reader, mut writer) = stream.split();
        let mut reader = MessageReader::new(reader, BytesMut::new());
        loop {
            let head = RequestHead::parse(&reader.read_head(MAX_MESSAGE_BYTES).await.ok()?).ok()?;
            reader.read_body(head.framing, MAX_MESSAGE_BYTES).await.ok()?;
            if head.path() == b"/load" {
                let length = LOAD.len();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{LOAD}");
                writer.write_all(answer.as_bytes()).await.ok()?;
                continue;
            }
            self.runs.fetch_add(1, Ordering::SeqCst);
            let cut = self.cut.load(Ordering::SeqCst);
            writer.write_all(&HEAD.as_bytes()[..cut]).await.ok()?;
            return None;
        }
    }
}

struct ServiceCase {
    name: &'static str,
    is_post: bool,
    /// Whether a sound replica is listed, too.
    has_sound_replica: bool,
    /// Runs of one call on the faulty replicas.
    max_runs: usize,
}

/// Guards against a service whose head is cut off and whose answer counts as whole, and against a
/// call that may not be repeated and runs again after one.
#[tokio::test(flavor = "multi_thread")]
async fn cut_heads_of_services_are_no_answers() {
    let cases = [
        ServiceCase { name: "booking", is_post: true, has_sound_replica: false, max_runs: 1 },
        ServiceCase { name: "lookup", is_post: false, has_sound_replica: false, max_runs: 3 },
        ServiceCase {
            name: "lookup with a sound replica",
            is_post: false,
            has_sound_replica: true,
            max_runs: 3,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let ServiceCase { name, is_post, has_sound_replica, max_runs } = case;
        let path = whole_path::start().await;
        let service = CutService::default();
        let addresses = [service.start().await, service.start().await];
        {
            let mut instances = path.platform.list.instances.lock();
            let is_service = |instance: &ListedInstance| {
                matches!(instance.role, InstanceRole::Service { .. })
                    && !(has_sound_replica && &*instance.name == "h2")
            };
            instances.retain(|instance| !is_service(instance));
            for (index, address) in addresses.into_iter().enumerate() {
                instances.push(ListedInstance {
                    name: format!("cut-{index}").into(),
                    address,
                    peer_address: None,
                    data_centre: "dc-a".into(),
                    role: InstanceRole::Service { service: "hire-desk".into() },
                    state: InstanceState::Live,
                });
            }
        }
        let listed = 2 + usize::from(has_sound_replica);
        path.wait(|node| {
            let replicas = node.replicas.load();
            let rows = || replicas.rows().iter().filter(|row| !row.name.starts_with('e'));
            // The former list may have as many replicas.
            let faulty = rows().filter(|row| row.name.starts_with("cut-")).count();
            faulty == addresses.len()
                && rows().count() == listed
                && rows().all(|row| row.report.is_some())
        })
        .await;
        let (client, url) = (reqwest::Client::new(), path.url("/hire/bookings"));
        let (mut whole_answers, mut cut_answers) = (0, 0);
        for cut in (number..HEAD.len()).step_by(LENGTH_STEP).chain([HEAD.len()]) {
            service.cut.store(cut, Ordering::SeqCst);
            service.runs.store(0, Ordering::SeqCst);
            let request = if is_post { client.post(&url) } else { client.get(&url) };
            let answer = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
            let (status, body) = (answer.status().as_u16(), answer.text().await.unwrap());
            let runs = service.runs.load(Ordering::SeqCst);
            let context = format!("{name}, cut after {cut} bytes, {runs} runs: {status} {body}");
            assert!(runs <= max_runs, "{context}");
            cut_answers += usize::from(runs > 0);
            if (200..300).contains(&status) {
                assert!(has_sound_replica && body.contains("/hire/bookings"), "{context}");
                whole_answers += 1;
            } else {
                assert!(status >= 500 && body.contains("\"ran\""), "{context}");
                assert!(runs == 0 || !body.contains("\"ran\":\"no\""), "{context}");
            }
        }
        assert!(cut_answers > 0, "{name}: no call met a cut head");
        assert_eq!(whole_answers > 0, has_sound_replica, "{name}");
    }
}

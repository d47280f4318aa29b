//! Time limit for callers to send the head of a request.

mod whole_path;

use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use yuccareel::{daemon, standins::platform};

const HEADER_TIMEOUT: Duration = Duration::from_millis(500);

/// Guards against callers that tie up connections by never completing a head.
#[tokio::test(flavor = "multi_thread")]
async fn connection_with_incomplete_head_is_closed_in_time() {
    struct Case {
        name: &'static str,
        sent: &'static str,
    }
    let cases = [
        Case { name: "nothing", sent: "" },
        Case {
            name: "half a header",
            sent: "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauth",
        },
        Case { name: "no empty line", sent: "GET /healthz HTTP/1.1\r\nhost: a\r\n" },
        Case { name: "no second request", sent: "GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n" },
    ];
    let platform = platform::PlatformStandin::start().await;
    let mut settings = whole_path::settings(&platform, "entry-1", "dc-a");
    settings.limits.header_timeout = HEADER_TIMEOUT;
    let served = daemon::ServedNode::start(&settings, whole_path::logger(), None).await.unwrap();
    for case in cases {
        let mut connection = TcpStream::connect(served.address).await.unwrap();
        let started = Instant::now();
        connection.write_all(case.sent.as_bytes()).await.unwrap();
        let mut received = Vec::new();
        let read = timeout(HEADER_TIMEOUT * 10, connection.read_to_end(&mut received)).await;
        assert!(read.is_ok(), "{}: still connected after {:?}", case.name, started.elapsed());
        assert!(started.elapsed() >= HEADER_TIMEOUT / 2, "{}: closed too early", case.name);
    }
    served.kill();
}

//! Stand-in of a client that makes one request on a new channel.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;

/// Longer than the time budget that requests carry.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Head of a request with a body of `length` bytes; a GET if that is 0.
pub fn head(path: &str, id: &str, key: &str, length: usize) -> String {
    let (method, framing) = match length {
        0 => ("GET", String::new()),
        _ => ("POST", format!("Content-Length: {length}\r\n")),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 6000\r\nAuthorization: Bearer {key}\r\n{framing}\r\n"
    )
}

/// Makes a request for a model; `None` if the channel ends without a complete answer.
pub fn draft(front: SocketAddr, id: &str, model: &str) -> Option<http::HttpMessage> {
    let head = head("/draft/1", id, "key-1", 0);
    let prompt = "X-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n";
    let head = head.replacen("\r\n", &format!("\r\nX-Model: {model}\r\n{prompt}"), 1);
    exchange(front, &head)
}

/// Makes a request without a body; `None` if the channel ends without a complete answer.
pub fn get(front: SocketAddr, path: &str, id: &str, key: &str) -> Option<http::HttpMessage> {
    exchange(front, &head(path, id, key, 0))
}

fn exchange(front: SocketAddr, head: &str) -> Option<http::HttpMessage> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    http::MessageReader::new(stream).read_message().ok()
}

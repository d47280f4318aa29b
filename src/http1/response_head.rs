//! Parser for the heads of responses.

use bytes::Bytes;

use super::body_decoder::BodyFraming;
use super::header_list::{HeaderList, MAX_FIELDS};
use super::message_error::MessageError;
use super::request_head;

/// Length of a status line up to the byte after its code.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200 ".len();
/// Largest status that HTTP defines. Servers have sent others when their answer was damaged.
const MAX_STATUS: u16 = 599;

#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    /// Whether the connection can carry another request after this response.
    pub is_keep_alive: bool,
    pub headers: HeaderList,
    pub framing: BodyFraming,
}

impl ResponseHead {
    /// Parses a complete head, including its empty line.
    ///
    /// # Errors
    /// When the head is malformed.
    pub fn parse(head: &Bytes) -> Result<Self, MessageError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(head).map_err(|_| MessageError::Malformed("response head"))?;
        let (Some(code), Some(minor)) = (parsed.code, parsed.version) else {
            return Err(MessageError::Malformed("status line"));
        };
        if status.is_partial() {
            return Err(MessageError::Malformed("response head is incomplete"));
        }
        if has_second_status_line(head) {
            return Err(MessageError::Malformed("response head contains another one"));
        }
        // No request asks for another protocol.
        if !(100..=MAX_STATUS).contains(&code) || code == 101 {
            return Err(MessageError::Malformed("status"));
        }
        let headers = request_head::share_headers(head, parsed.headers);
        let framing = response_framing(&headers, code)?;
        let is_keep_alive = minor == 1
            && !headers.contains_token("connection", "close")
            && framing != BodyFraming::UntilClose;
        Ok(Self { status: code, is_keep_alive, headers, framing })
    }

    /// Whether a status can be that of a final response.
    pub fn is_final_status(status: u16) -> bool {
        (200..=MAX_STATUS).contains(&status)
    }

    /// Whether the status is 1xx, after which another response follows.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Idle timeout of the server in whole seconds, if the `Keep-Alive` header states one.
    pub fn keep_alive_timeout_s(&self) -> Option<u64> {
        let value = self.headers.get_text("keep-alive")?;
        let parameters = value.split(',').filter_map(|item| item.trim().split_once('='));
        let timeout = parameters.filter(|(name, _)| *name == "timeout").map(|(_, value)| value);
        timeout.filter_map(|value| value.parse().ok()).next()
    }
}

/// Whether a status line follows within a line of the head: the head was cut in the text of its status
/// or in the value of a header, and another one came after it on the connection. Cut elsewhere, the
/// lines are malformed anyway.
fn has_second_status_line(head: &[u8]) -> bool {
    let is_status_line = |text: &[u8]| match text.strip_prefix(b"HTTP/1.") {
        Some([b'0'..=b'9', b' ', code @ .., end]) => {
            code.iter().all(u8::is_ascii_digit) && matches!(end, b' ' | b'\r' | b'\n')
        }
        _ => false,
    };
    head.windows(STATUS_LINE_BYTES).skip(1).any(is_status_line)
}

fn response_framing(headers: &HeaderList, status: u16) -> Result<BodyFraming, MessageError> {
    if status == 204 || status == 304 || status < 200 {
        return Ok(BodyFraming::Length(0));
    }
    let length = request_head::parse_content_length(headers)?;
    match (headers.get("transfer-encoding"), length) {
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(BodyFraming::Chunked),
        (Some(_), _) => Err(MessageError::Malformed("body is framed in an ambiguous way")),
        (None, Some(length)) => Ok(BodyFraming::Length(length)),
        (None, None) => Ok(BodyFraming::UntilClose),
    }
}

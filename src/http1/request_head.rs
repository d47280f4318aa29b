//! Parser for the heads of requests.

use bytes::Bytes;

use super::body_decoder::BodyFraming;
use super::header_list::{HeaderList, MAX_FIELDS};
use super::message_error::MessageError;

#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: Bytes,
    /// Request target (path and query) exactly as sent.
    pub target: Bytes,
    /// Whether the client allows another request on the connection.
    pub is_keep_alive: bool,
    pub headers: HeaderList,
    pub framing: BodyFraming,
}

impl RequestHead {
    /// Parses a complete head, including its empty line.
    ///
    /// To prevent request smuggling, a head that another parser could read differently counts as
    /// malformed. Examples are bare line ends, a body with two framings or a repeated `Host`.
    ///
    /// # Errors
    /// When the head is malformed.
    pub fn parse(head: &Bytes) -> Result<Self, MessageError> {
        check_line_ends(head)?;
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(head).map_err(|_| MessageError::Malformed("request head"))?;
        let (Some(method), Some(target), Some(minor)) =
            (parsed.method, parsed.path, parsed.version)
        else {
            return Err(MessageError::Malformed("request line"));
        };
        if status.is_partial() {
            return Err(MessageError::Malformed("request head is incomplete"));
        }
        let headers = share_headers(head, parsed.headers);
        if headers.get_all("host").count() > 1 {
            return Err(MessageError::Malformed("host is stated twice"));
        }
        let framing = request_framing(&headers, minor)?;
        let is_keep_alive = minor == 1 && !headers.contains_token("connection", "close");
        Ok(Self {
            method: head.slice_ref(method.as_bytes()),
            target: head.slice_ref(target.as_bytes()),
            is_keep_alive,
            headers,
            framing,
        })
    }

    /// Whether the method is HEAD, whose responses have no body.
    pub fn is_head_request(&self) -> bool {
        &self.method[..] == b"HEAD"
    }

    /// Path without the query.
    pub fn path(&self) -> &[u8] {
        self.target.split(|byte| *byte == b'?').next().unwrap_or_default()
    }

    /// Returns the first value of a query parameter. It is not percent-decoded, as the values that
    /// callers send need no encoding.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let target = std::str::from_utf8(&self.target).ok()?;
        let (_, query) = target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

/// Converts parsed fields to a list that shares the memory of the head.
pub(super) fn share_headers(head: &Bytes, fields: &[httparse::Header<'_>]) -> HeaderList {
    let mut headers = HeaderList::default();
    for field in fields {
        let name = head.slice_ref(field.name.as_bytes());
        headers.push(name, head.slice_ref(field.value));
    }
    headers
}

/// Parses `Content-Length`. It is an error if the field is repeated or not a plain number.
pub(super) fn parse_content_length(headers: &HeaderList) -> Result<Option<u64>, MessageError> {
    let mut lengths = headers.get_all("content-length");
    let Some(length) = lengths.next() else { return Ok(None) };
    if lengths.next().is_some() {
        return Err(MessageError::Malformed("length is stated twice"));
    }
    let text = std::str::from_utf8(length).unwrap_or_default();
    if text.is_empty() || !text.bytes().all(|digit| digit.is_ascii_digit()) {
        return Err(MessageError::Malformed("length is not a number"));
    }
    text.parse().map(Some).map_err(|_| MessageError::Malformed("length is too large"))
}

/// Framing of a request body. Only `chunked` alone is accepted as transfer coding.
fn request_framing(headers: &HeaderList, minor: u8) -> Result<BodyFraming, MessageError> {
    let length = parse_content_length(headers)?;
    let mut codings = headers.get_all("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(BodyFraming::Length(length.unwrap_or(0)));
    };
    let is_chunked = coding.eq_ignore_ascii_case(b"chunked");
    if length.is_some() || codings.next().is_some() || !is_chunked || minor == 0 {
        return Err(MessageError::Malformed("body is framed in an ambiguous way"));
    }
    Ok(BodyFraming::Chunked)
}

/// Refuses carriage returns and line feeds that are not part of a CR LF pair.
fn check_line_ends(head: &[u8]) -> Result<(), MessageError> {
    let bare_feed = |pair: &[u8]| pair[1] == b'\n' && pair[0] != b'\r';
    let bare_return = |pair: &[u8]| pair[0] == b'\r' && pair[1] != b'\n';
    if head.windows(2).any(|pair| bare_feed(pair) || bare_return(pair)) {
        return Err(MessageError::Malformed("bare line end"));
    }
    Ok(())
}

//! Blocking HTTP/1.1 messages over one connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// First value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Target without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter, decoded; empty if it is absent.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or_else(String::new, |(_, value)| unescape(value))
    }

    /// Status of an answer; 0 if the line has none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut output, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let digits = bytes.get(index + 1..index + 3).filter(|_| bytes[index] == b'%');
        let code = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        match code.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                output.push(byte);
                index += 3;
            }
            None => {
                output.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&output).into_owned()
}

/// Reader of consecutive messages.
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 64 * 1_024];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn take_until(&mut self, end: &[u8]) -> io::Result<Vec<u8>> {
        let mut searched = 0;
        loop {
            let found = self.buffer[searched..].windows(end.len()).position(|part| part == end);
            if let Some(position) = found {
                return self.take(searched + position + end.len());
            }
            searched = self.buffer.len().saturating_sub(end.len() - 1);
            self.fill()?;
        }
    }

    /// Reads a head without its body.
    pub fn read_head(&mut self) -> io::Result<HttpMessage> {
        let text = String::from_utf8_lossy(&self.take_until(b"\r\n\r\n")?).into_owned();
        let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
        let start = lines.next().unwrap_or_default().to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        Ok(HttpMessage { start, headers: headers.collect(), body: Vec::new() })
    }

    /// Reads up to `count` bytes, fewer if the channel ends or stays silent.
    pub fn read_up_to(&mut self, count: usize) -> Vec<u8> {
        while self.buffer.len() < count && self.fill().is_ok() {}
        let end = self.buffer.len().min(count);
        self.buffer.drain(..end).collect()
    }

    /// Reads a message with its body, which has a length or is chunked.
    pub fn read_message(&mut self) -> io::Result<HttpMessage> {
        let mut message = self.read_head()?;
        if message.header("Transfer-Encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let line = self.take_until(b"\r\n")?;
                let digits = String::from_utf8_lossy(&line);
                let size = usize::from_str_radix(digits.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let data = self.take(size + 2)?;
                if size == 0 {
                    return Ok(message);
                }
                message.body.extend_from_slice(&data[..size]);
            }
        }
        let length = message.header("Content-Length").parse().unwrap_or(0);
        message.body = self.take(length)?;
        Ok(message)
    }
}

/// Writes an answer with a JSON body.
pub fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut text = head.into_bytes();
    text.extend_from_slice(body.as_bytes());
    stream.write_all(&text)
}

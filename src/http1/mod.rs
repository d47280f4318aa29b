//! HTTP/1.1 messages and connections, as a relay needs them.
//!
//! `httparse` parses heads. This module does the rest itself, because a relay must see what client
//! libraries hide: headers that frame a body in two ways, bytes after a complete response, and
//! whether a response was complete or truncated. It makes no decisions about requests.

pub mod body_decoder;
pub mod connection;
pub mod header_list;
pub mod message_error;
pub mod message_reader;
pub mod request_head;
pub mod response_head;

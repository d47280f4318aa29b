//! Header fields of one message, in their order.

use bytes::Bytes;

/// Most fields of one head.
pub const MAX_FIELDS: usize = 64;

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name as it was sent.
    pub name: Bytes,
    /// Value without surrounding white space.
    pub value: Bytes,
}

/// Header fields in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<HeaderField>,
}

impl HeaderList {
    /// Adds a field at the end.
    pub fn push(&mut self, name: Bytes, value: Bytes) {
        self.fields.push(HeaderField { name, value });
    }

    /// All fields.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Values of all fields of a name, which is compared without case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let fields = self.fields.iter();
        let named = fields.filter(|field| field.name.eq_ignore_ascii_case(name.as_bytes()));
        named.map(|field| &field.value)
    }

    /// Value of the first field of a name.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a Bytes> {
        self.get_all(name).next()
    }

    /// Value of the first field of a name as text.
    pub fn get_text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Whether a comma-separated field holds a word.
    pub fn contains_token(&self, name: &str, word: &str) -> bool {
        let same = |item: &[u8]| item.trim_ascii().eq_ignore_ascii_case(word.as_bytes());
        self.get_all(name).any(|value| value.split(|byte| *byte == b',').any(same))
    }

    /// Whether a field concerns only the connection on which it came.
    ///
    /// Framing headers are among them: each hop frames the body itself.
    pub fn is_hop_by_hop(&self, name: &[u8]) -> bool {
        const NAMES: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "content-length",
            "upgrade",
            "expect",
        ];
        NAMES.iter().any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
            || std::str::from_utf8(name).is_ok_and(|name| self.contains_token("connection", name))
    }
}

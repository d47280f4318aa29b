//! Header fields of a message.

use bytes::Bytes;

/// Limit on the header fields of one head.
pub const MAX_FIELDS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// In the case in which it was sent.
    pub name: Bytes,
    /// Without surrounding white space.
    pub value: Bytes,
}

/// Header fields in the order in which they were sent. Names are compared without case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<HeaderField>,
}

impl HeaderList {
    pub fn push(&mut self, name: Bytes, value: Bytes) {
        self.fields.push(HeaderField { name, value });
    }

    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Returns the values of all fields with a name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let fields = self.fields.iter();
        let named = fields.filter(|field| field.name.eq_ignore_ascii_case(name.as_bytes()));
        named.map(|field| &field.value)
    }

    /// Returns the value of the first field with a name.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a Bytes> {
        self.get_all(name).next()
    }

    /// Returns the value of the first field with a name as text; `None` also if it is not UTF-8.
    pub fn get_text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Whether the comma-separated values of a field contain a token, compared without case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let matches = |item: &[u8]| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.get_all(name).any(|value| value.split(|byte| *byte == b',').any(matches))
    }

    /// Whether a field applies to one connection only and must not be forwarded.
    ///
    /// This includes the headers that frame the body, as each hop frames it anew, and the fields
    /// that `Connection` lists.
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

//! JSON reader for the bodies of calls to the store.

/// JSON value; numbers are kept as floating point.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonValue {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<JsonValue>),
    Table(Vec<(String, JsonValue)>),
}

impl JsonValue {
    /// Member of a table.
    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Table(members) = self else { return None };
        members.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    /// Entries of a list member; empty if it is absent.
    pub fn rows(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(rows)) => rows,
            _ => &[],
        }
    }

    /// Text of the value; empty for other types.
    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    /// Whole number of a member; 0 if it is absent.
    pub fn number(&self, name: &str) -> i64 {
        if let Some(Self::Number(number)) = self.get(name) { *number as i64 } else { 0 }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(text: &str) -> Option<JsonValue> {
    let mut parser = JsonParser { text: text.as_bytes(), position: 0 };
    let value = parser.value()?;
    parser.skip_space();
    (parser.position == parser.text.len()).then_some(value)
}

struct JsonParser<'a> {
    text: &'a [u8],
    position: usize,
}

impl JsonParser<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (*self.text.get(self.position)? == byte).then(|| self.position += 1)
    }

    fn word(&mut self, word: &str, value: JsonValue) -> Option<JsonValue> {
        let rest = &self.text[self.position..];
        rest.starts_with(word.as_bytes()).then(|| self.position += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<JsonValue> {
        self.skip_space();
        match *self.text.get(self.position)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(JsonValue::Text),
            b't' => self.word("true", JsonValue::Bool(true)),
            b'f' => self.word("false", JsonValue::Bool(false)),
            b'n' => self.word("null", JsonValue::Null),
            _ => self.decimal(),
        }
    }

    fn decimal(&mut self) -> Option<JsonValue> {
        let start = self.position;
        while self.text.get(self.position).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.position += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.position]).ok()?;
        text.parse().ok().map(JsonValue::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.position)?;
                    self.position += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            bytes.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<JsonValue> {
        self.take(b'[')?;
        let mut rows = Vec::new();
        if self.take(b']').is_some() {
            return Some(JsonValue::List(rows));
        }
        loop {
            rows.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(JsonValue::List(rows));
            }
        }
    }

    fn table(&mut self) -> Option<JsonValue> {
        self.take(b'{')?;
        let mut members = Vec::new();
        if self.take(b'}').is_some() {
            return Some(JsonValue::Table(members));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            self.take(b':')?;
            members.push((key, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(JsonValue::Table(members));
            }
        }
    }
}

//! Reads the fields of one table and collects what is wrong with them.
//!
//! Every getter returns `None` after it has recorded a finding, so a caller can
//! read all fields before it gives up.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::record_finding::{RecordFault, RecordFinding};

/// Longest name; names are parts of keys, headers and metric labels.
const NAME_BYTES_MAX: usize = 64;

/// File and record to which findings belong.
#[derive(Clone, Debug)]
pub struct RecordPlace {
    /// File name.
    pub file: Arc<str>,
    /// Kind and name, or position.
    pub record: String,
}

impl RecordPlace {
    /// Finding at a field of this record.
    pub fn finding(
        &self,
        field: impl Into<String>,
        fault: RecordFault,
        message: impl Into<String>,
    ) -> RecordFinding {
        RecordFinding {
            file: self.file.clone(),
            record: self.record.clone(),
            field: field.into(),
            fault,
            message: message.into(),
        }
    }
}

/// Reader of one table.
pub struct FieldReader<'a> {
    fields: &'a Map<String, Value>,
    prefix: String,
    known: BTreeSet<&'static str>,
    rest_accepted: bool,
    place: &'a RecordPlace,
    findings: Vec<RecordFinding>,
}

impl<'a> FieldReader<'a> {
    /// Reader of a record's table.
    pub fn new(fields: &'a Map<String, Value>, place: &'a RecordPlace) -> Self {
        let (prefix, known, findings) = (String::new(), BTreeSet::new(), Vec::new());
        Self { fields, prefix, known, rest_accepted: false, place, findings }
    }

    /// Records a finding at a field.
    pub fn report(&mut self, field: &str, fault: RecordFault, message: impl Into<String>) {
        let path = format!("{}{field}", self.prefix);
        self.findings.push(self.place.finding(path, fault, message));
    }

    /// Whether the field is present.
    pub fn has(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }

    /// Accepts all other fields, where their meaning cannot be known.
    pub fn accept_rest(&mut self) {
        self.rest_accepted = true;
    }

    /// All findings, with those on fields that no getter asked for.
    pub fn finish(mut self) -> Vec<RecordFinding> {
        let unknown: Vec<String> = self
            .fields
            .keys()
            .filter(|field| !self.rest_accepted && !self.known.contains(field.as_str()))
            .cloned()
            .collect();
        for field in unknown {
            self.report(&field, RecordFault::UnknownField, "field is not part of this schema");
        }
        self.findings
    }

    fn required(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.insert(field);
        let value = self.fields.get(field);
        if value.is_none() {
            self.report(field, RecordFault::MissingField, "field is required");
        }
        value
    }

    fn wrong_type<T>(&mut self, field: &str, expected: &str, found: &Value) -> Option<T> {
        let message = format!("expected {expected}, found {}", type_name(found));
        self.report(field, RecordFault::WrongType, message);
        None
    }

    /// String.
    pub fn text(&mut self, field: &'static str) -> Option<&'a str> {
        match self.required(field)? {
            Value::String(text) => Some(text),
            other => self.wrong_type(field, "a string", other),
        }
    }

    /// Name of a record or version.
    pub fn name(&mut self, field: &'static str) -> Option<Arc<str>> {
        let text = self.text(field)?;
        self.checked_name(field, text)
    }

    /// Name that may be absent.
    pub fn optional_name(&mut self, field: &'static str) -> Option<Option<Arc<str>>> {
        self.known.insert(field);
        if self.has(field) { self.name(field).map(Some) } else { Some(None) }
    }

    fn checked_name(&mut self, field: &str, text: &str) -> Option<Arc<str>> {
        if valid_name(text) {
            return Some(Arc::from(text));
        }
        let message = format!(
            "expected a letter or digit, then up to {} letters, digits or any of . _ : -, found {text:?}",
            NAME_BYTES_MAX - 1
        );
        self.report(field, RecordFault::OutOfRange, message);
        None
    }

    /// Whole number in a range.
    pub fn count(&mut self, field: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.required(field)?;
        let Some(number) = value.as_u64() else {
            if value.is_i64() {
                self.out_of_range(field, &value.to_string(), range.start(), range.end());
                return None;
            }
            return self.wrong_type(field, "a whole number", value);
        };
        if !range.contains(&number) {
            self.out_of_range(field, &number.to_string(), range.start(), range.end());
            return None;
        }
        Some(number)
    }

    /// Whole number in a range, with a default.
    pub fn count_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        self.known.insert(field);
        if self.has(field) { self.count(field, range) } else { Some(default) }
    }

    /// Number in a range.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = self.required(field)?;
        self.checked_number(field, value, &range)
    }

    fn checked_number(
        &mut self,
        field: &str,
        value: &Value,
        range: &RangeInclusive<f64>,
    ) -> Option<f64> {
        let Some(number) = value.as_f64() else {
            return self.wrong_type(field, "a finite number", value);
        };
        if !range.contains(&number) {
            self.out_of_range(field, &number.to_string(), range.start(), range.end());
            return None;
        }
        Some(number)
    }

    fn out_of_range(
        &mut self,
        field: &str,
        found: &str,
        low: impl std::fmt::Display,
        high: impl std::fmt::Display,
    ) {
        let message = format!("expected {low} to {high}, found {found}");
        self.report(field, RecordFault::OutOfRange, message);
    }

    /// Truth value, with a default.
    pub fn flag_or(&mut self, field: &'static str, default: bool) -> Option<bool> {
        self.known.insert(field);
        if self.has(field) { self.flag(field) } else { Some(default) }
    }

    /// Truth value.
    pub fn flag(&mut self, field: &'static str) -> Option<bool> {
        match self.required(field)? {
            Value::Bool(flag) => Some(*flag),
            other => self.wrong_type(field, "true or false", other),
        }
    }

    /// Word out of a closed set, with a default.
    pub fn word_or<T: Copy>(
        &mut self,
        field: &'static str,
        words: &[(&str, T)],
        default: T,
    ) -> Option<T> {
        self.known.insert(field);
        if !self.has(field) {
            return Some(default);
        }
        let text = self.text(field)?;
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return Some(*value);
        }
        let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let message = format!("expected {}, found {text:?}", all.join(" or "));
        self.report(field, RecordFault::OutOfRange, message);
        None
    }

    fn list(&mut self, field: &'static str) -> Option<&'a Vec<Value>> {
        match self.required(field)? {
            Value::Array(list) => Some(list),
            other => self.wrong_type(field, "a list", other),
        }
    }

    /// List of strings.
    pub fn texts(&mut self, field: &'static str) -> Option<Vec<&'a str>> {
        let list = self.list(field)?;
        self.each(field, list, |reader, place, value| match value {
            Value::String(text) => Some(text.as_str()),
            other => reader.wrong_type(place, "a string", other),
        })
    }

    /// List of names.
    pub fn names(&mut self, field: &'static str) -> Option<Vec<Arc<str>>> {
        let texts = self.texts(field)?;
        let mut names = Vec::with_capacity(texts.len());
        for (index, text) in texts.iter().enumerate() {
            names.push(self.checked_name(&format!("{field}[{index}]"), text));
        }
        names.into_iter().collect()
    }

    /// List of names that may be absent.
    pub fn optional_names(&mut self, field: &'static str) -> Option<Option<Vec<Arc<str>>>> {
        self.known.insert(field);
        if self.has(field) { self.names(field).map(Some) } else { Some(None) }
    }

    /// List of numbers in a range.
    pub fn numbers(&mut self, field: &'static str, range: RangeInclusive<f64>) -> Option<Vec<f64>> {
        let list = self.list(field)?;
        self.each(field, list, |reader, place, value| reader.checked_number(place, value, &range))
    }

    fn each<T>(
        &mut self,
        field: &str,
        list: &'a [Value],
        mut read: impl FnMut(&mut Self, &str, &'a Value) -> Option<T>,
    ) -> Option<Vec<T>> {
        let items: Vec<Option<T>> = list
            .iter()
            .enumerate()
            .map(|(index, value)| read(self, &format!("{field}[{index}]"), value))
            .collect();
        items.into_iter().collect()
    }

    /// Nested table.
    pub fn table<T>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&mut FieldReader<'a>) -> Option<T>,
    ) -> Option<T> {
        let value = self.required(field)?;
        self.nested(field, value, read)
    }

    /// List of nested tables; absent means empty.
    pub fn tables<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&mut FieldReader<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.known.insert(field);
        if !self.has(field) {
            return Some(Vec::new());
        }
        let list = self.list(field)?;
        self.each(field, list, |reader, place, value| reader.nested(place, value, &read))
    }

    /// Map from names to whole numbers; absent means empty.
    pub fn name_counts(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Vec<(Arc<str>, u64)>> {
        self.known.insert(field);
        if !self.has(field) {
            return Some(Vec::new());
        }
        let fields = match self.required(field)? {
            Value::Object(fields) => fields,
            other => return self.wrong_type(field, "a table", other),
        };
        let mut entries = Vec::with_capacity(fields.len());
        for (key, value) in fields {
            let path = format!("{field}.{key}");
            let name = self.checked_name(&path, key);
            let number = value.as_u64().filter(|number| range.contains(number));
            if number.is_none() {
                self.out_of_range(&path, &value.to_string(), range.start(), range.end());
            }
            entries.push(name.zip(number));
        }
        entries.into_iter().collect()
    }

    fn nested<T>(
        &mut self,
        field: &str,
        value: &'a Value,
        read: impl FnOnce(&mut FieldReader<'a>) -> Option<T>,
    ) -> Option<T> {
        let Value::Object(fields) = value else {
            return self.wrong_type(field, "a table", value);
        };
        let mut reader = FieldReader::new(fields, self.place);
        reader.prefix = format!("{}{field}.", self.prefix);
        let found = read(&mut reader);
        self.findings.extend(reader.finish());
        found
    }
}

/// Whether a name may stand in keys, headers and labels.
pub fn valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    // A name that begins with a dot could be taken for a relative path in a URL.
    let begins = text.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    begins && text.len() <= NAME_BYTES_MAX && text.bytes().all(allowed)
}

/// Type of a value, for messages.
fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(number) if number.is_f64() => "a fractional number",
        Value::Number(_) => "a whole number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "a table",
    }
}

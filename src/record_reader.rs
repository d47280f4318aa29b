//! Reads records from TOML and JSON and writes them as JSON and TOML.
//!
//! A file holds several `[[record]]` tables, each with `schema`, `kind` and
//! `name`. Schema versions 1 and 2 are read side by side and lifted to the
//! current structs; the newest version is written. Schema 1 differs in two kinds:
//!
//! - A customer lists `models` by name, which allows every version of each, and
//!   has no `weight`. Schema 2 has `allowed` with a choice of versions.
//! - A service lists `non_repeatable_methods`; its other idempotent methods may be
//!   repeated. Schema 2 has statements per route.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::{Map, Value, json};

use crate::field_reader::{FieldReader, RecordPlace};
use crate::record_finding::{RecordFault, RecordFinding};
use crate::{record_fields, records};

/// Record with the file that holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedRecord {
    /// File name.
    pub file: Arc<str>,
    /// The record.
    pub record: records::RoutingRecord,
}

/// Records and findings of one or more files.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Records without a fault of their own.
    pub records: Vec<LocatedRecord>,
    /// Everything that is wrong.
    pub findings: Vec<RecordFinding>,
    /// Kind and name of records with a fault of their own; references to them are not judged.
    pub unread: BTreeSet<(String, String)>,
    /// Set when a record has a schema version that is newer than supported.
    pub newer_schema: Option<u64>,
}

impl RecordBatch {
    /// Reads a file: JSON when its name ends in `.json`, TOML otherwise.
    pub fn read_file(&mut self, file: &str, bytes: &[u8]) {
        match parse_file(file, bytes) {
            Ok(document) => self.read_document(&Arc::from(file), &document),
            Err(finding) => self.findings.push(finding),
        }
    }

    /// Reads a parsed document: a table with a list `record`, or the list itself.
    pub fn read_document(&mut self, file: &Arc<str>, document: &Value) {
        let list = match document {
            Value::Array(list) => list,
            Value::Object(fields) => {
                for field in fields.keys().filter(|field| *field != "record") {
                    let mut finding = whole_file(
                        file,
                        RecordFault::UnknownField,
                        "only [[record]] tables may stand at the top".to_owned(),
                    );
                    finding.field.clone_from(field);
                    self.findings.push(finding);
                }
                match fields.get("record") {
                    Some(Value::Array(list)) => list,
                    Some(_) => return self.no_list(file, "`record` is not a list of tables"),
                    None => return self.no_list(file, "file holds no [[record]] table"),
                }
            }
            _ => return self.no_list(file, "expected a list of records"),
        };
        for (index, value) in list.iter().enumerate() {
            self.read_value(file, index, value);
        }
    }

    fn no_list(&mut self, file: &Arc<str>, message: &str) {
        self.findings.push(whole_file(file, RecordFault::MissingField, message.to_owned()));
    }

    /// Reads one record; the index names it when its kind or name cannot be read.
    pub fn read_value(&mut self, file: &Arc<str>, index: usize, value: &Value) {
        let place = RecordPlace { file: file.clone(), record: record_label(index, value) };
        let Value::Object(fields) = value else {
            self.findings.push(place.finding("", RecordFault::WrongType, "expected a table"));
            return;
        };
        if let Some(schema) = newer_schema(fields) {
            self.newer_schema = self.newer_schema.max(Some(schema));
            let message = format!(
                "schema {schema} is newer than {}, the newest that this version supports",
                records::NEWEST_SCHEMA
            );
            self.findings.push(place.finding("schema", RecordFault::Schema, message));
            self.note_unread(value);
            return;
        }
        let mut reader = FieldReader::new(fields, &place);
        let record = record_fields::read(&mut reader);
        let findings = reader.finish();
        if let (Some(record), true) = (record, findings.is_empty()) {
            self.records.push(LocatedRecord { file: file.clone(), record });
        } else {
            self.note_unread(value);
        }
        self.findings.extend(findings);
    }

    fn note_unread(&mut self, value: &Value) {
        if let (Some(kind), Some(name)) = (value["kind"].as_str(), value["name"].as_str()) {
            self.unread.insert((kind.to_owned(), name.to_owned()));
        }
    }
}

/// Reads a single record, such as a stored one.
pub fn read_single(file: &str, value: &Value) -> Result<records::RoutingRecord, RecordBatch> {
    let mut batch = RecordBatch::default();
    batch.read_value(&Arc::from(file), 0, value);
    match batch.records.pop() {
        Some(located) => Ok(located.record),
        None => Err(batch),
    }
}

/// JSON value of a record in the newest schema.
pub fn record_value(record: &records::RoutingRecord) -> Value {
    let mut value = serde_json::to_value(record).unwrap_or_default();
    value["schema"] = json!(records::NEWEST_SCHEMA);
    strip_nulls(&mut value);
    value
}

/// TOML text of records in the newest schema.
///
/// # Errors
/// When a number is larger than TOML can hold.
pub fn write_toml(records: &[records::RoutingRecord]) -> Result<String, toml::ser::Error> {
    values_toml(&records.iter().map(record_value).collect::<Vec<_>>())
}

/// TOML text of records in JSON.
///
/// # Errors
/// When a value cannot be written as TOML.
pub fn values_toml(values: &[Value]) -> Result<String, toml::ser::Error> {
    toml::to_string_pretty(&json!({ "record": values }))
}

/// Parses a file: JSON when its name ends in `.json`, TOML otherwise.
///
/// # Errors
/// A finding with the place of the first syntax fault.
pub fn parse_file(file: &str, bytes: &[u8]) -> Result<Value, RecordFinding> {
    parse(file, bytes).map_err(|message| whole_file(&Arc::from(file), RecordFault::Syntax, message))
}

fn parse(file: &str, bytes: &[u8]) -> Result<Value, String> {
    if file.ends_with(".json") {
        return serde_json::from_slice(bytes).map_err(|error| error.to_string());
    }
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
        let line = error.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
        format!("line {line}: {}", error.message())
    })?;
    Ok(Value::Object(table.into_iter().map(|(key, value)| (key, json_value(value))).collect()))
}

/// JSON value of a TOML value; a number that is not finite becomes null.
fn json_value(value: toml::Value) -> Value {
    match value {
        toml::Value::String(text) => Value::String(text),
        toml::Value::Integer(number) => json!(number),
        toml::Value::Float(number) => json!(number),
        toml::Value::Boolean(flag) => Value::Bool(flag),
        toml::Value::Datetime(time) => json!({ "datetime": time.to_string() }),
        toml::Value::Array(list) => Value::Array(list.into_iter().map(json_value).collect()),
        toml::Value::Table(table) => {
            Value::Object(table.into_iter().map(|(key, value)| (key, json_value(value))).collect())
        }
    }
}

/// TOML has no null: an absent field says the same.
fn strip_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(strip_nulls);
        }
        Value::Array(list) => list.iter_mut().for_each(strip_nulls),
        _ => {}
    }
}

fn newer_schema(fields: &Map<String, Value>) -> Option<u64> {
    fields.get("schema")?.as_u64().filter(|schema| *schema > u64::from(records::NEWEST_SCHEMA))
}

/// Kind and name, or the position from 1.
fn record_label(index: usize, value: &Value) -> String {
    match (value["kind"].as_str(), value["name"].as_str()) {
        (Some(kind), Some(name)) => format!("{kind}/{name}"),
        _ => format!("record {}", index + 1),
    }
}

fn whole_file(file: &Arc<str>, fault: RecordFault, message: String) -> RecordFinding {
    let (record, field) = (String::new(), String::new());
    RecordFinding { file: file.clone(), record, field, fault, message }
}

//! Differences between two documents, field by field.
//!
//! The entries of a list are compared by name if every one has a name of its own, and by position
//! otherwise. A changed order of named entries is no difference.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Field that one of two documents lacks, or that differs between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ValueDifference {
    /// Path of the field, in the newer document unless only the older one has it.
    pub field: String,
    /// Older value; absent if the field was added.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Newer value; absent if the field was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl fmt::Display for ValueDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, "changed from {before} to {after}"),
            (None, Some(after)) => write!(formatter, "added: {after}"),
            (Some(before), None) => write!(formatter, "removed: {before}"),
            (None, None) => write!(formatter, "unchanged"),
        }
    }
}

/// Differences from `before` to `after`. Values of fields named in `secrets` are not shown.
pub fn differences(before: &Value, after: &Value, secrets: &[&str]) -> Vec<ValueDifference> {
    let mut walk = DocumentWalk { secrets, found: Vec::new() };
    walk.compare(String::new(), Some(before), Some(after));
    walk.found
}

struct DocumentWalk<'a> {
    secrets: &'a [&'a str],
    found: Vec<ValueDifference>,
}

impl DocumentWalk<'_> {
    fn compare(&mut self, field: String, before: Option<&Value>, after: Option<&Value>) {
        match (before, after) {
            (Some(before), Some(after)) if before == after => {}
            (Some(Value::Object(old)), Some(Value::Object(new))) => {
                for (key, value) in old.iter().filter(|(key, _)| !new.contains_key(*key)) {
                    self.compare(join(&field, key), Some(value), None);
                }
                for (key, value) in new {
                    self.compare(join(&field, key), old.get(key), Some(value));
                }
            }
            (Some(Value::Array(old)), Some(Value::Array(new))) if !self.is_secret(&field) => {
                self.compare_lists(&field, old, new);
            }
            _ => {
                let is_secret = self.is_secret(&field);
                let shown = |value: &Value| if is_secret { hidden() } else { self.masked(value) };
                let (before, after) = (before.map(shown), after.map(shown));
                self.found.push(ValueDifference { field, before, after });
            }
        }
    }

    fn compare_lists(&mut self, field: &str, old: &[Value], new: &[Value]) {
        let (Some(old_names), Some(new_names)) = (names(old), names(new)) else {
            for index in 0..old.len().max(new.len()) {
                self.compare(format!("{field}[{index}]"), old.get(index), new.get(index));
            }
            return;
        };
        for (index, value) in old.iter().enumerate() {
            if value["name"].as_str().is_some_and(|name| !new_names.contains_key(name)) {
                self.compare(format!("{field}[{index}]"), Some(value), None);
            }
        }
        for (index, value) in new.iter().enumerate() {
            let position = value["name"].as_str().and_then(|name| old_names.get(name));
            let previous = position.and_then(|position| old.get(*position));
            self.compare(format!("{field}[{index}]"), previous, Some(value));
        }
    }

    fn is_secret(&self, field: &str) -> bool {
        field.rsplit('.').next().is_some_and(|name| self.secrets.contains(&name))
    }

    /// Copy of a value in which secret fields are hidden.
    fn masked(&self, value: &Value) -> Value {
        match value {
            Value::Object(fields) => {
                let masked = fields.iter().map(|(key, value)| {
                    let is_secret = self.secrets.contains(&key.as_str());
                    (key.clone(), if is_secret { hidden() } else { self.masked(value) })
                });
                Value::Object(masked.collect())
            }
            Value::Array(list) => Value::Array(list.iter().map(|item| self.masked(item)).collect()),
            other => other.clone(),
        }
    }
}

fn hidden() -> Value {
    Value::String("(hidden)".to_owned())
}

fn join(field: &str, key: &str) -> String {
    if field.is_empty() { key.to_owned() } else { format!("{field}.{key}") }
}

/// Positions by name; `None` unless every entry has a name of its own.
fn names(list: &[Value]) -> Option<BTreeMap<&str, usize>> {
    let mut positions = BTreeMap::new();
    for (index, value) in list.iter().enumerate() {
        if positions.insert(value["name"].as_str()?, index).is_some() {
            return None;
        }
    }
    Some(positions)
}

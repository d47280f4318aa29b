//! Notes on records that are valid but have no effect, and on limits that contradict each other.
//!
//! Notes are judged only on a configuration without faults, since a fault in one record makes
//! others appear unused. They refuse nothing: records may be sent ahead of those that refer to
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::config_snapshot::ConfigSnapshot;
use crate::field_reader::RecordPlace;
use crate::record_finding::{self, RecordFault, RecordFinding};
use crate::record_reader::LocatedRecord;
use crate::records::cascade::CascadeStep;
use crate::records::model::VersionState;
use crate::records::{customer, model, service};

/// Tokens of a short answer, each way, for the comparison of prices with spend limits.
const SHORT_ANSWER_TOKENS: u64 = 1_000;

/// Notes on a configuration; `located` names the files of its records.
pub fn notes(snapshot: &ConfigSnapshot, located: &[LocatedRecord]) -> Vec<RecordFinding> {
    let files = located
        .iter()
        .map(|located| ((located.record.kind(), &**located.record.name()), located.file.clone()));
    let mut run = NoteRun { snapshot, files: files.collect(), notes: Vec::new() };
    for record in snapshot.models.values() {
        run.note_model(record);
    }
    run.note_cascades();
    for record in snapshot.rollouts.values() {
        if !snapshot.version_active(&record.model, &record.to) {
            let message = format!("version {:?} is withdrawn, so no stage begins", record.to);
            run.note(("rollout", &record.name), "to", RecordFault::Contradiction, message);
        }
    }
    for record in snapshot.services.values() {
        run.note_routes(record);
    }
    for record in snapshot.customers.values() {
        run.note_customer(record);
        run.note_limits(record);
    }
    run.notes
}

struct NoteRun<'a> {
    snapshot: &'a ConfigSnapshot,
    files: BTreeMap<(&'a str, &'a str), Arc<str>>,
    notes: Vec<RecordFinding>,
}

impl<'a> NoteRun<'a> {
    fn note(
        &mut self,
        (kind, name): (&'a str, &'a str),
        field: impl Into<String>,
        fault: RecordFault,
        message: impl Into<String>,
    ) {
        let file = self.files.get(&(kind, name)).cloned();
        let file = file.unwrap_or_else(|| Arc::from(record_finding::IN_EFFECT));
        let place = RecordPlace { file, record: format!("{kind}/{name}") };
        self.notes.push(place.finding(field, fault, message));
    }

    fn note_model(&mut self, record: &'a model::ModelRecord) {
        let key = ("model", &*record.name);
        if !record.versions.iter().any(|version| version.state == VersionState::Active) {
            let message = "no version is active, so the model takes no new work";
            self.note(key, "versions", RecordFault::Unused, message);
        }
        let mut customers = self.snapshot.customers.values();
        if !customers.any(|customer| customer.allows_model(&record.name)) {
            let message = "no customer may use the model";
            self.note(key, "", RecordFault::Unused, message);
        }
    }

    fn note_cascades(&mut self) {
        let snapshot = self.snapshot;
        let customers = snapshot.customers.values().filter_map(|record| record.cascade.as_deref());
        let inner = snapshot.cascades.values().flat_map(|record| &record.steps);
        let inner = inner.filter_map(|step| match step {
            CascadeStep::Cascade(name) => Some(&**name),
            CascadeStep::Model(_) => None,
        });
        let used: BTreeSet<&str> = customers.chain(inner).collect();
        for record in snapshot.cascades.values() {
            let key = ("cascade", &*record.name);
            if !used.contains(&*record.name) {
                let message = "no customer and no other cascade uses it";
                self.note(key, "", RecordFault::Unused, message);
            }
            let models = snapshot.cascade_models(&record.name);
            for (index, name) in models.iter().enumerate() {
                if models[..index].contains(name) {
                    let message = format!("model {name:?} occurs twice; its second step is unused");
                    self.note(key, "steps", RecordFault::Shadowed, message);
                }
            }
            for pair in models.windows(2) {
                let price = |name: &str| {
                    let model = snapshot.models.get(name);
                    model.map(|model| model.cost(SHORT_ANSWER_TOKENS, SHORT_ANSWER_TOKENS))
                };
                if price(&pair[0]) > price(&pair[1]) {
                    let message =
                        format!("model {:?} costs more than {:?} after it", pair[0], pair[1]);
                    self.note(key, "steps", RecordFault::Contradiction, message);
                }
            }
        }
    }

    fn note_routes(&mut self, record: &'a service::ServiceRecord) {
        for (index, route) in record.routes.iter().enumerate() {
            let covers = |earlier: &service::ServiceRoute| {
                (earlier.method == "*" || earlier.method == route.method)
                    && route.path.starts_with(&earlier.path)
            };
            if let Some(first) = record.routes[..index].iter().position(covers) {
                let message = format!("every call that it matches is decided by routes[{first}]");
                let (key, field) = (("service", &*record.name), format!("routes[{index}]"));
                self.note(key, field, RecordFault::Shadowed, message);
            }
        }
    }

    fn note_customer(&mut self, record: &'a customer::CustomerRecord) {
        let key = ("customer", &*record.name);
        if record.token_sha256.is_empty() {
            let message = "customer has no token, so no request is its own";
            self.note(key, "token_sha256", RecordFault::Unused, message);
        }
        if record.allowed.is_empty() {
            let message = "customer may use no model";
            self.note(key, "allowed", RecordFault::Unused, message);
        }
        for (index, allowed) in record.allowed.iter().enumerate() {
            let Some(versions) = &allowed.versions else { continue };
            let is_active =
                |version: &Arc<str>| self.snapshot.version_active(&allowed.model, version);
            if !versions.iter().any(is_active) {
                let message = format!("no listed version of model {:?} is active", allowed.model);
                let field = format!("allowed[{index}].versions");
                self.note(key, field, RecordFault::Unused, message);
            }
        }
    }

    fn note_limits(&mut self, record: &'a customer::CustomerRecord) {
        let key = ("customer", &*record.name);
        let limits = &record.limits;
        // The rate is shared out in thousandths of a request per second.
        if limits.requests_per_s < 0.001 {
            let message = format!("a rate of {} allows no request", limits.requests_per_s);
            self.note(key, "limits.requests_per_s", RecordFault::Contradiction, message);
        }
        let allowed = record.allowed.iter().filter_map(|allowed| {
            let model = self.snapshot.models.get(&allowed.model)?;
            Some(model.cost(SHORT_ANSWER_TOKENS, SHORT_ANSWER_TOKENS))
        });
        if let Some(cheapest) = allowed.min().filter(|cost| *cost > limits.spend_per_day) {
            let message = format!(
                "{} a day is less than the {cheapest} that {SHORT_ANSWER_TOKENS} prompt tokens and \
                 as many generated ones cost with the cheapest allowed model",
                limits.spend_per_day
            );
            self.note(key, "limits.spend_per_day", RecordFault::Contradiction, message);
        }
    }
}

//! Checks records against each other before they take effect.
//!
//! The check runs over the configuration as it would be after the change, so it
//! also finds records that a removal or a changed model leaves without ground.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::config_snapshot::ConfigSnapshot;
use crate::field_reader::RecordPlace;
use crate::record_finding::{self, RecordFault, RecordFinding};
use crate::record_reader::{LocatedRecord, RecordBatch};
use crate::records::cascade::CascadeStep;
use crate::records::model::VersionState;
use crate::records::{RoutingRecord, customer, model, rollout, service};

/// File name in findings on removals.
const REMOVALS: &str = "(removals)";
/// Paths that yuccareel serves itself.
const RESERVED_PREFIXES: [&str; 6] =
    ["/v1", "/admin", "/healthz", "/readyz", "/metrics", "/openapi.json"];

/// All findings on files that hold a whole configuration.
pub fn check_batch(batch: &RecordBatch) -> Vec<RecordFinding> {
    check_onto(&ConfigSnapshot::default(), batch, &[])
}

/// All findings on files and removals on top of a configuration.
pub fn check_onto(
    base: &ConfigSnapshot,
    batch: &RecordBatch,
    removals: &[(String, Arc<str>)],
) -> Vec<RecordFinding> {
    let mut findings = batch.findings.clone();
    findings.extend(check(base, &batch.records, removals, &batch.unread).1);
    findings
}

/// Configuration after a change, and what is wrong with it.
///
/// The sequence number of the result is that of the base.
pub fn check_change(
    base: &ConfigSnapshot,
    puts: &[LocatedRecord],
    removals: &[(String, Arc<str>)],
) -> (ConfigSnapshot, Vec<RecordFinding>) {
    check(base, puts, removals, &BTreeSet::new())
}

fn check(
    base: &ConfigSnapshot,
    puts: &[LocatedRecord],
    removals: &[(String, Arc<str>)],
    unread: &BTreeSet<(String, String)>,
) -> (ConfigSnapshot, Vec<RecordFinding>) {
    let mut findings = Vec::new();
    let mut files: BTreeMap<(&str, &str), &Arc<str>> = BTreeMap::new();
    let mut snapshot = base.clone();
    for (index, (kind, name)) in removals.iter().enumerate() {
        if find_record(base, kind, name).is_none() {
            let at: Arc<str> = Arc::from(REMOVALS);
            let (fault, message) = (RecordFault::UnknownReference, "no such record to remove");
            let field = format!("[{index}]");
            findings.push(place(&at, (kind, name)).finding(field, fault, message));
        }
        snapshot.remove(kind, name);
    }
    for located in puts {
        let key = (located.record.kind(), &**located.record.name());
        if let Some(first) = files.insert(key, &located.file) {
            let message = format!("record is also in {first}");
            findings.push(place(&located.file, key).finding(
                "name",
                RecordFault::Duplicate,
                message,
            ));
        }
        if removals.iter().any(|(kind, name)| (kind.as_str(), &**name) == key) {
            let message = "record is both written and removed";
            findings.push(place(&located.file, key).finding(
                "name",
                RecordFault::Contradiction,
                message,
            ));
        }
        snapshot.put(located.record.clone());
    }
    let mut run = CheckRun { snapshot: &snapshot, files, unread, findings };
    run.check_models();
    run.check_cascades();
    run.check_rollouts();
    run.check_services();
    run.check_customers();
    let findings = run.findings;
    (snapshot, findings)
}

/// Record of a snapshot by kind and name.
pub fn find_record(snapshot: &ConfigSnapshot, kind: &str, name: &str) -> Option<RoutingRecord> {
    match kind {
        "customer" => found(&snapshot.customers, name, RoutingRecord::Customer),
        "model" => found(&snapshot.models, name, RoutingRecord::Model),
        "cascade" => found(&snapshot.cascades, name, RoutingRecord::Cascade),
        "rollout" => found(&snapshot.rollouts, name, RoutingRecord::Rollout),
        "data_centre" => found(&snapshot.data_centres, name, RoutingRecord::DataCentre),
        "service" => found(&snapshot.services, name, RoutingRecord::Service),
        _ => None,
    }
}

fn found<T: Clone>(
    records: &BTreeMap<Arc<str>, Arc<T>>,
    name: &str,
    wrap: impl FnOnce(T) -> RoutingRecord,
) -> Option<RoutingRecord> {
    records.get(name).map(|record| wrap(T::clone(record)))
}

fn place(file: &Arc<str>, key: (&str, &str)) -> RecordPlace {
    RecordPlace { file: file.clone(), record: format!("{}/{}", key.0, key.1) }
}

struct CheckRun<'a> {
    snapshot: &'a ConfigSnapshot,
    files: BTreeMap<(&'a str, &'a str), &'a Arc<str>>,
    unread: &'a BTreeSet<(String, String)>,
    findings: Vec<RecordFinding>,
}

impl CheckRun<'_> {
    fn report(
        &mut self,
        kind: &str,
        name: &str,
        field: impl Into<String>,
        fault: RecordFault,
        message: impl Into<String>,
    ) {
        let in_effect: Arc<str> = Arc::from(record_finding::IN_EFFECT);
        let file = self.files.get(&(kind, name)).copied().unwrap_or(&in_effect);
        self.findings.push(place(file, (kind, name)).finding(field, fault, message));
    }

    /// Whether a record is in the files but faulty, so that references to it cannot be judged.
    fn unread(&self, kind: &str, name: &str) -> bool {
        self.unread.contains(&(kind.to_owned(), name.to_owned()))
    }

    fn check_models(&mut self) {
        for record in self.snapshot.models.values() {
            self.check_model(record);
        }
    }

    fn check_model(&mut self, record: &model::ModelRecord) {
        let mut names = BTreeSet::new();
        for (index, version) in record.versions.iter().enumerate() {
            if !names.insert(&version.name) {
                let message = format!("version {:?} is listed twice", version.name);
                let field = format!("versions[{index}].name");
                self.report("model", &record.name, field, RecordFault::Duplicate, message);
            }
        }
        let default = &record.default_version;
        let fault = match record.version_state(default) {
            Some(VersionState::Active) => None,
            // Without another version the withdrawal of the default has to be possible.
            Some(VersionState::Withdrawn) => record
                .versions
                .iter()
                .any(|version| version.state == VersionState::Active)
                .then_some((RecordFault::Contradiction, "is withdrawn")),
            None => Some((RecordFault::UnknownReference, "is not listed in `versions`")),
        };
        if let Some((fault, what)) = fault {
            let message = format!("version {default:?} {what}");
            self.report("model", &record.name, "default_version", fault, message);
        }
        if record.cold_concurrency > record.warm_concurrency {
            let message = format!(
                "{} is more than warm_concurrency {}",
                record.cold_concurrency, record.warm_concurrency
            );
            let (field, fault) = ("cold_concurrency", RecordFault::Contradiction);
            self.report("model", &record.name, field, fault, message);
        }
    }

    fn check_cascades(&mut self) {
        for record in self.snapshot.cascades.values() {
            if record.steps.is_empty() {
                let message = "cascade has no steps";
                self.report("cascade", &record.name, "steps", RecordFault::OutOfRange, message);
            }
            for (index, step) in record.steps.iter().enumerate() {
                let (kind, name, known) = match step {
                    CascadeStep::Model(name) => {
                        ("model", name, self.snapshot.models.contains_key(name))
                    }
                    CascadeStep::Cascade(name) => {
                        ("cascade", name, self.snapshot.cascades.contains_key(name))
                    }
                };
                if !known && !self.unread(kind, name) {
                    let message = format!("no {kind} {name:?}");
                    let field = format!("steps[{index}].{kind}");
                    let fault = RecordFault::UnknownReference;
                    self.report("cascade", &record.name, field, fault, message);
                }
            }
            if let Some(path) = self.cycle_from(&record.name) {
                let message = format!("cycle: {}", path.join(" -> "));
                self.report("cascade", &record.name, "steps", RecordFault::Contradiction, message);
            }
        }
    }

    /// Shortest path of cascades from a cascade back to itself.
    fn cycle_from<'b>(&'b self, start: &'b str) -> Option<Vec<&'b str>> {
        // Keeps one predecessor of each cascade: whole paths take quadratic space in a long chain.
        let mut predecessors: BTreeMap<&str, &str> = BTreeMap::new();
        let mut queue = VecDeque::from([start]);
        while let Some(name) = queue.pop_front() {
            let record = self.snapshot.cascades.get(name);
            for step in record.map(|record| record.steps.as_slice()).unwrap_or_default() {
                let CascadeStep::Cascade(next) = step else { continue };
                if &**next == start {
                    let back =
                        std::iter::successors(Some(name), |name| predecessors.get(name).copied());
                    let mut path: Vec<&str> = std::iter::once(start).chain(back).collect();
                    path.reverse();
                    return Some(path);
                }
                if let Entry::Vacant(entry) = predecessors.entry(&**next) {
                    entry.insert(name);
                    queue.push_back(next);
                }
            }
        }
        None
    }

    fn check_rollouts(&mut self) {
        let mut by_model: HashMap<&str, &str> = HashMap::new();
        for record in self.snapshot.rollouts.values() {
            self.check_rollout(record);
            if let Some(first) = by_model.insert(&record.model, &record.name) {
                let message = format!("model {:?} is also in rollout {first:?}", record.model);
                self.report("rollout", &record.name, "model", RecordFault::Duplicate, message);
            }
        }
    }

    fn check_rollout(&mut self, record: &rollout::RolloutRecord) {
        let model = self.snapshot.models.get(&record.model);
        let unread = self.unread("model", &record.model);
        let mut report = |field: &str, fault, message: String| {
            self.report("rollout", &record.name, field, fault, message);
        };
        if record.stages.is_empty() {
            report("stages", RecordFault::OutOfRange, "rollout has no stages".to_owned());
        }
        if record.stages.windows(2).any(|pair| pair[0] >= pair[1]) {
            let message = format!("stages must increase, found {:?}", record.stages);
            report("stages", RecordFault::Contradiction, message);
        }
        if record.from == record.to {
            let message = format!("same version {:?} as `from`", record.to);
            report("to", RecordFault::Contradiction, message);
        }
        let Some(model) = model else {
            if !unread {
                let message = format!("no model {:?}", record.model);
                report("model", RecordFault::UnknownReference, message);
            }
            return;
        };
        // A withdrawn version is accepted here: withdrawing one in the middle of its rollout
        // must not depend on editing the rollout first.
        for (field, version) in [("from", &record.from), ("to", &record.to)] {
            if model.version_state(version).is_none() {
                let message = format!("model {:?} has no version {version:?}", record.model);
                report(field, RecordFault::UnknownReference, message);
            }
        }
    }

    fn check_services(&mut self) {
        let all: Vec<&service::ServiceRecord> =
            self.snapshot.services.values().map(|record| &**record).collect();
        for (index, record) in all.iter().enumerate() {
            let prefix = &record.path_prefix;
            for reserved in RESERVED_PREFIXES {
                if overlap(prefix, reserved) {
                    let message = format!("{prefix:?} collides with {reserved:?}");
                    let (field, fault) = ("path_prefix", RecordFault::Contradiction);
                    self.report("service", &record.name, field, fault, message);
                }
            }
            for other in &all[..index] {
                if overlap(prefix, &other.path_prefix) {
                    let message = format!(
                        "{prefix:?} overlaps {:?} of service {:?}",
                        other.path_prefix, other.name
                    );
                    let (field, fault) = ("path_prefix", RecordFault::Duplicate);
                    self.report("service", &record.name, field, fault, message);
                }
            }
        }
    }

    fn check_customers(&mut self) {
        let mut owners: HashMap<&str, &str> = HashMap::new();
        for record in self.snapshot.customers.values() {
            for (index, hash) in record.token_sha256.iter().enumerate() {
                if let Some(owner) = owners.insert(hash, &record.name) {
                    let message = format!("token hash is also used by customer {owner:?}");
                    let field = format!("token_sha256[{index}]");
                    self.report("customer", &record.name, field, RecordFault::Duplicate, message);
                }
            }
            self.check_allowed(record);
            self.check_customer_cascade(record);
        }
    }

    fn check_allowed(&mut self, record: &customer::CustomerRecord) {
        for (index, allowed) in record.allowed.iter().enumerate() {
            let field = format!("allowed[{index}]");
            if record.allowed[..index].iter().any(|earlier| earlier.model == allowed.model) {
                let message = format!("model {:?} is listed twice", allowed.model);
                let field = format!("{field}.model");
                self.report("customer", &record.name, field, RecordFault::Duplicate, message);
            }
            let Some(model) = self.snapshot.models.get(&allowed.model) else {
                if self.unread("model", &allowed.model) {
                    continue;
                }
                let message = format!("no model {:?}", allowed.model);
                let (field, fault) = (format!("{field}.model"), RecordFault::UnknownReference);
                self.report("customer", &record.name, field, fault, message);
                continue;
            };
            for version in allowed.versions.iter().flatten() {
                if model.version_state(version).is_none() {
                    let message = format!("model {:?} has no version {version:?}", allowed.model);
                    let (field, fault) =
                        (format!("{field}.versions"), RecordFault::UnknownReference);
                    self.report("customer", &record.name, field, fault, message);
                }
            }
        }
    }

    fn check_customer_cascade(&mut self, record: &customer::CustomerRecord) {
        let Some(cascade) = &record.cascade else { return };
        if self.unread("cascade", cascade) {
            return;
        }
        if !self.snapshot.cascades.contains_key(cascade) {
            let (fault, message) =
                (RecordFault::UnknownReference, format!("no cascade {cascade:?}"));
            self.report("customer", &record.name, "cascade", fault, message);
            return;
        }
        let models = self.snapshot.cascade_models(cascade);
        let complete = self.unread.is_empty();
        if complete && !models.iter().any(|model| record.allows_model(model)) {
            let message = format!("no model of cascade {cascade:?} is allowed");
            let fault = RecordFault::Contradiction;
            self.report("customer", &record.name, "cascade", fault, message);
        }
    }
}

/// Whether one path covers the other by whole segments.
fn overlap(left: &str, right: &str) -> bool {
    let (short, long) = if left.len() <= right.len() { (left, right) } else { (right, left) };
    long.strip_prefix(short).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

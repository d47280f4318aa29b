//! All records in force at one sequence number, indexed for routing.
//!
//! A snapshot is immutable. Nodes swap a whole snapshot at once, so that one
//! decision never sees two configurations.

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::records::cascade::CascadeStep;
use crate::{ids, records};

/// Kind and name of a record.
pub type RecordKey = (&'static str, Arc<str>);

/// Records in force at one sequence number.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    /// Sequence number of the newest change within.
    pub sequence: ids::ConfigSequence,
    /// Customers by name.
    pub customers: BTreeMap<ids::CustomerName, Arc<records::customer::CustomerRecord>>,
    /// Models by name.
    pub models: BTreeMap<ids::ModelName, Arc<records::model::ModelRecord>>,
    /// Cascades by name.
    pub cascades: BTreeMap<ids::CascadeName, Arc<records::cascade::CascadeRecord>>,
    /// Rollouts by name.
    pub rollouts: BTreeMap<ids::RolloutName, Arc<records::rollout::RolloutRecord>>,
    /// Data centres by name.
    pub data_centres: BTreeMap<ids::DataCentreName, Arc<records::data_centre::DataCentreRecord>>,
    /// Plain services by name.
    pub services: BTreeMap<ids::ServiceName, Arc<records::service::ServiceRecord>>,
}

impl ConfigSnapshot {
    /// Snapshot of a set of records.
    pub fn from_records(
        sequence: ids::ConfigSequence,
        records: impl IntoIterator<Item = records::RoutingRecord>,
    ) -> Self {
        let mut snapshot = Self { sequence, ..Self::default() };
        for record in records {
            snapshot.put(record);
        }
        snapshot
    }

    /// Adds or replaces one record.
    pub fn put(&mut self, record: records::RoutingRecord) {
        use records::RoutingRecord as Record;
        let name = record.name().clone();
        match record {
            Record::Customer(record) => drop(self.customers.insert(name, Arc::new(record))),
            Record::Model(record) => drop(self.models.insert(name, Arc::new(record))),
            Record::Cascade(record) => drop(self.cascades.insert(name, Arc::new(record))),
            Record::Rollout(record) => drop(self.rollouts.insert(name, Arc::new(record))),
            Record::DataCentre(record) => drop(self.data_centres.insert(name, Arc::new(record))),
            Record::Service(record) => drop(self.services.insert(name, Arc::new(record))),
        }
    }

    /// Removes one record.
    pub fn remove(&mut self, kind: &str, name: &str) {
        match kind {
            "customer" => drop(self.customers.remove(name)),
            "model" => drop(self.models.remove(name)),
            "cascade" => drop(self.cascades.remove(name)),
            "rollout" => drop(self.rollouts.remove(name)),
            "data_centre" => drop(self.data_centres.remove(name)),
            "service" => drop(self.services.remove(name)),
            _ => {}
        }
    }

    /// All records, by kind and name.
    pub fn records(&self) -> Vec<records::RoutingRecord> {
        use records::RoutingRecord as Record;
        let mut all = Vec::new();
        all.extend(self.data_centres.values().map(|record| Record::DataCentre((**record).clone())));
        all.extend(self.models.values().map(|record| Record::Model((**record).clone())));
        all.extend(self.cascades.values().map(|record| Record::Cascade((**record).clone())));
        all.extend(self.rollouts.values().map(|record| Record::Rollout((**record).clone())));
        all.extend(self.services.values().map(|record| Record::Service((**record).clone())));
        all.extend(self.customers.values().map(|record| Record::Customer((**record).clone())));
        all
    }

    /// Models of a cascade from cheap to costly, with nested cascades expanded.
    ///
    /// A cycle ends the expansion; `record_check` refuses cycles before they are accepted.
    pub fn cascade_models(&self, name: &str) -> SmallVec<[ids::ModelName; 4]> {
        let mut models = SmallVec::new();
        let mut visited: SmallVec<[&str; 4]> = SmallVec::new();
        // A list of open cascades instead of recursion: a long chain must not exhaust the stack.
        let mut open: SmallVec<[std::slice::Iter<'_, CascadeStep>; 4]> = SmallVec::new();
        open.extend(self.cascades.get_key_value(name).map(|(name, cascade)| {
            visited.push(name);
            cascade.steps.iter()
        }));
        while let Some(steps) = open.last_mut() {
            match steps.next() {
                None => drop(open.pop()),
                Some(CascadeStep::Model(model)) => models.push(model.clone()),
                Some(CascadeStep::Cascade(inner)) => {
                    let found = self.cascades.get_key_value(inner);
                    let found = found.filter(|(name, _)| !visited.contains(&&***name));
                    open.extend(found.map(|(name, cascade)| {
                        visited.push(name);
                        cascade.steps.iter()
                    }));
                }
            }
        }
        models
    }

    /// Whether a data centre is drained; one without a record takes work.
    pub fn drained(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|record| record.state == records::data_centre::DataCentreState::Drained)
    }

    /// Whether a version of a model may take new work.
    pub fn version_active(&self, model: &str, version: &str) -> bool {
        self.models.get(model).and_then(|record| record.version_state(version))
            == Some(records::model::VersionState::Active)
    }

    /// Service whose path prefix matches, the longest prefix first.
    pub fn service_for(&self, path: &str) -> Option<&Arc<records::service::ServiceRecord>> {
        self.services
            .values()
            .filter(|record| path_has_prefix(path, &record.path_prefix))
            .max_by_key(|record| record.path_prefix.len())
    }
}

/// Whether a prefix covers whole segments of a path.
fn path_has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

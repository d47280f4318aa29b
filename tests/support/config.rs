//! Changes and a store over the key-value stand-in.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccareel::config_apply::{ApplyError, ApplyOutcome, ConfigApply};
use yuccareel::config_store::ConfigStore;
use yuccareel::record_reader::LocatedRecord;
use yuccareel::records::RoutingRecord;
use yuccareel::records::data_centre::{DataCentreRecord, DataCentreState};
use yuccareel::standins::kv;

/// Data centre record with a region that tells two writes apart.
pub fn data_centre(name: &str, region: &str) -> LocatedRecord {
    let record = RoutingRecord::DataCentre(DataCentreRecord {
        name: Arc::from(name),
        region: region.to_owned(),
        state: DataCentreState::Active,
        distance_us: BTreeMap::new(),
    });
    LocatedRecord { file: Arc::from("data_centre.toml"), record }
}

pub fn apply(id: &str, puts: Vec<LocatedRecord>) -> ConfigApply {
    ConfigApply {
        apply_id: Arc::from(id),
        author: format!("author of {id}"),
        written_at_ms: 1,
        puts,
        removals: Vec::new(),
        expected_sequence: None,
    }
}

pub fn put(id: &str, name: &str) -> ConfigApply {
    apply(id, vec![data_centre(name, id)])
}

pub fn stores() -> (kv::KvStandin, ConfigStore) {
    let standin = kv::KvStandin::default();
    (standin.clone(), ConfigStore::new(Arc::new(standin)))
}

pub async fn commit(store: &ConfigStore, apply: &ConfigApply) -> Result<ApplyOutcome, ApplyError> {
    store.apply(Arc::default(), apply, &|| Ok(())).await
}

//! Replicas whose engines must load the new version of a rollout for its current stage.

use crate::records::rollout;
use crate::{ids, replica_table, rollout_stage};

/// Replicas that serve the new version in the current stage, in the sequence of the record.
///
/// Their fraction is that of the new sessions, rounded up, so that the first stage has at least one
/// replica. A rollout that was rolled back has none.
pub fn stage_replicas<'a>(
    record: &'a rollout::RolloutRecord,
    state: &rollout_stage::RolloutState,
) -> &'a [ids::ReplicaName] {
    let fraction = state.new_version_fraction(record);
    let count = (fraction * record.replicas.len() as f64).ceil() as usize;
    &record.replicas[..count.min(record.replicas.len())]
}

/// Replicas of the current stage that are listed, are not leaving and do not serve the new version
/// yet.
pub fn replicas_to_load<'a>(
    record: &'a rollout::RolloutRecord,
    state: &rollout_stage::RolloutState,
    table: &'a replica_table::ReplicaTable,
) -> impl Iterator<Item = &'a replica_table::ReplicaRow> {
    let rows = stage_replicas(record, state).iter().filter_map(|name| table.find(name));
    rows.filter(|row| {
        let is_served = matches!(&row.pool, replica_table::ReplicaPool::Version(model, version)
            if *model == record.model && *version == record.to);
        !row.is_leaving && !is_served
    })
}

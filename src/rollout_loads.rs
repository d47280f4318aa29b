//! Engines that load the new version of a rollout, stage by stage.

use crate::records::rollout;
use crate::{ids, replica_table, rollout_stage};

/// Replicas that are to serve the new version in the present stage, in the order of the record.
///
/// Their share is that of the sessions, rounded up, so that the first stage has one replica at
/// least. A rollout that was rolled back orders nothing.
pub fn due_replicas<'a>(
    record: &'a rollout::RolloutRecord,
    state: &rollout_stage::RolloutState,
) -> &'a [ids::ReplicaName] {
    let share = state.share(record);
    let count = (share * record.replicas.len() as f64).ceil() as usize;
    &record.replicas[..count.min(record.replicas.len())]
}

/// Due replicas that are listed, take work and do not serve the new version yet.
pub fn missing_rows<'a>(
    record: &'a rollout::RolloutRecord,
    state: &rollout_stage::RolloutState,
    table: &'a replica_table::ReplicaTable,
) -> impl Iterator<Item = &'a replica_table::ReplicaRow> {
    let rows = due_replicas(record, state).iter().filter_map(|name| table.find(name));
    rows.filter(|row| {
        let serves = matches!(&row.pool, replica_table::ReplicaPool::Version(model, version)
            if *model == record.model && *version == record.to);
        !row.is_leaving && !serves
    })
}

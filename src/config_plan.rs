//! Plans the transaction that commits one change.

use std::sync::Arc;

use crate::config_apply::{ApplyError, ConfigApply};
use crate::config_change::ConfigChange;
use crate::config_keys::{self, ConfigHead};
use crate::config_snapshot::ConfigSnapshot;
use crate::kv_store::{KvCompare, KvOperation, KvTransaction};
use crate::{ids, record_check, records};

/// Changes that are kept in the history.
pub const HISTORY_LENGTH: u64 = 1_000;
/// Operations in one transaction; the service's default limit.
pub const OPERATIONS_MAX: usize = 128;
/// Largest value; the platform's limit of 1 MB.
pub const VALUE_BYTES_MAX: usize = 1_000_000;
/// Keys and values of one transaction; the service refuses requests over 1.5 MiB.
pub const TRANSACTION_BYTES_MAX: usize = 1_500_000;

/// Change with the transaction that commits it.
#[derive(Clone, Debug)]
pub struct ConfigPlan {
    /// Change, reduced to the records that differ from the base.
    pub change: Arc<ConfigChange>,
    /// Transaction; it compares the head.
    pub transaction: KvTransaction,
}

impl ConfigPlan {
    /// Plan on top of a base, or `None` when the base already says the same.
    ///
    /// # Errors
    /// `Findings` when the configuration would be faulty, `TooLarge` over the limits.
    pub fn new(
        base: &ConfigSnapshot,
        head_revision: ids::KvRevision,
        apply: &ConfigApply,
    ) -> Result<Option<Self>, ApplyError> {
        let (_, findings) = record_check::check_change(base, &apply.puts, &apply.removals);
        if !findings.is_empty() {
            return Err(ApplyError::Findings(findings));
        }
        let differs = |record: &records::RoutingRecord| {
            record_check::find_record(base, record.kind(), record.name()).as_ref() != Some(record)
        };
        let puts: Vec<records::RoutingRecord> = apply
            .puts
            .iter()
            .map(|located| &located.record)
            .filter(|record| differs(record))
            .cloned()
            .collect();
        if puts.is_empty() && apply.removals.is_empty() {
            return Ok(None);
        }
        let change = ConfigChange {
            sequence: base.sequence + 1,
            apply_id: apply.apply_id.clone(),
            author: apply.author.clone(),
            written_at_ms: apply.written_at_ms,
            puts,
            removals: apply.removals.clone(),
        };
        let transaction = transaction(&change, head_revision);
        check_limits(&transaction)?;
        Ok(Some(Self { change: Arc::new(change), transaction }))
    }
}

/// Kind and name of every record of a change.
pub fn changed_names(change: &ConfigChange) -> Vec<(String, Arc<str>)> {
    let puts = change.puts.iter().map(|record| (record.kind().to_owned(), record.name().clone()));
    puts.chain(change.removals.iter().cloned()).collect()
}

fn transaction(change: &ConfigChange, head_revision: ids::KvRevision) -> KvTransaction {
    let head = ConfigHead {
        sequence: change.sequence,
        apply_id: change.apply_id.clone(),
        author: change.author.clone(),
        names: changed_names(change),
    };
    let mut operations = Vec::new();
    for record in &change.puts {
        let key = config_keys::record_key(record.kind(), record.name());
        operations.push(KvOperation::Put(key, config_keys::record_bytes(record), 0));
    }
    for (kind, name) in &change.removals {
        operations.push(KvOperation::Delete(config_keys::record_key(kind, name)));
    }
    let head_key = config_keys::HEAD_KEY.to_owned();
    operations.push(KvOperation::Put(head_key.clone(), config_keys::head_bytes(&head), 0));
    let history = config_keys::change_value(change).to_string().into();
    operations.push(KvOperation::Put(config_keys::history_key(change.sequence), history, 0));
    if let Some(oldest) = change.sequence.checked_sub(HISTORY_LENGTH).filter(|oldest| *oldest > 0) {
        operations.push(KvOperation::Delete(config_keys::history_key(oldest)));
    }
    let compares = vec![KvCompare::ModRevision(head_key, head_revision)];
    KvTransaction { compares, operations }
}

fn check_limits(transaction: &KvTransaction) -> Result<(), ApplyError> {
    let sizes = |operation: &KvOperation| match operation {
        KvOperation::Put(key, value, _) => (key.len(), value.len()),
        KvOperation::Delete(key) => (key.len(), 0),
    };
    let mut largest = 0;
    let mut total = 0;
    for (key, value) in transaction.operations.iter().map(sizes) {
        largest = largest.max(value);
        total += key + value;
    }
    for (what, found, limit) in [
        ("number of operations", transaction.operations.len(), OPERATIONS_MAX),
        ("size of the largest value", largest, VALUE_BYTES_MAX),
        ("size of the change", total, TRANSACTION_BYTES_MAX),
    ] {
        if found > limit {
            return Err(ApplyError::TooLarge { what, found, limit });
        }
    }
    Ok(())
}

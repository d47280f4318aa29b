//! Takes an instance into a new era of the store, after the store was restored from an old copy.
//!
//! Beliefs that rest on the former era end before the first record of the new one is applied. One
//! instance then marks the era (see `era_watch`), and what instances know is written again by the
//! tasks that write it anyway.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::era_transition::AbsentRecord;
use super::era_watch::MARK_KEY;
use super::mirror_scope::MirrorScope;
use super::relay_node::RelayNode;
use super::store_codec::StoreKey;
use super::{store_era, store_mirror, suspect_writer};
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{KvCompare, KvError, KvOperation, KvStore as _, KvTransaction};

/// Time between two checks of whether the mark of the era is written.
const MARK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that an instance leaves to those before it to write the mark.
const MAX_MARK_DELAY: Duration = Duration::from_secs(3);
/// Time that it leaves to each of them.
const MARK_RANK_DELAY: Duration = Duration::from_millis(300);

/// Follows the eras of the store until the process ends.
pub async fn run(node: Arc<RelayNode>) {
    let mut eras = node.store.store_eras().subscribe();
    // The sender lives as long as the node.
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        enter(&node, era);
        // Ends also with the next era, which `missing_mark` then asks for.
        write_mark(&node).await;
    }
}

/// Ends the beliefs that rest on an earlier era than this one, unless that has been done.
pub fn enter(node: &RelayNode, era: ids::StoreEra) {
    let now = Instant::now();
    let revisions = MirrorScope::ALL.map(|scope| node.feeds.log(scope).lock().revision());
    let former_revision = revisions.into_iter().max().unwrap_or_default();
    // Held until the tables are changed, so that no record of the new era is applied before.
    let mut transition = node.era_transition.lock();
    if !transition.enter(node.store.store_eras().first(), era, former_revision, now) {
        return;
    }
    let names = node.member_names();
    let delay_of =
        |key: &str| store_era::shared_rewrite_delay(key, &node.settings.name, names.all.iter());
    let lease = node.member_lease.lock().take();
    let lost_lead = node.rollouts.lock().begin_era(now);
    let suspects = node.suspects.lock().begin_era(|part| delay_of(&format!("{part:x}")), now);
    node.fleet.lock().begin_era(now);
    // Entries under leases of the copy end while their owners write them again.
    node.fleet.lock().record_store_return(now);
    node.members.lock().record_store_return(now);
    metrics::gauge!("yuccareel_store_era").set(f64::from(store_era::stated_era(era)));
    metrics::counter!("yuccareel_store_restorations_total").increment(1);
    let fields = slog::o!(
        "era" => store_era::stated_era(era),
        "former_era" => store_era::stated_era(store_era::era_of(former_revision)),
        "former_revision" => store_era::plain_revision(former_revision),
        "lease" => lease, "suspects" => suspects,
    );
    node.emit(LogEvent::StoreEraRaised, fields);
    if let Some(lease) = lease {
        node.emit(LogEvent::LeaseLost, slog::o!("lease" => lease));
    }
    if lost_lead.is_some_and(|name| name == node.settings.name) {
        node.emit(LogEvent::HolderLost, slog::o!("claim" => 0));
    }
}

/// Lists a record that the first read of an era lacks; returns `false` if its absence counts at once.
pub fn defer_removal(node: &RelayNode, scope: MirrorScope, key: &str) -> bool {
    let now = Instant::now();
    if let Some(name) = key.strip_prefix(store_mirror::MEMBER_PREFIX) {
        node.members.lock().suspend(name, now);
        return true;
    }
    if let StoreKey::Replica(name) = node.store_codec.parse_key(key) {
        node.fleet.lock().suspend_entry(&name, now);
        return true;
    }
    let record = AbsentRecord { scope, key: key.to_owned() };
    key != MARK_KEY && node.era_transition.lock().defer_removal(record, now)
}

/// Counts absences as deletions whose writers had time to write again, and reports a finished change
/// of the era.
pub fn finish(node: &RelayNode) {
    let now = Instant::now();
    let due = node.era_transition.lock().take_due(now);
    for AbsentRecord { scope, key } in due {
        let is_written = node.feeds.log(scope).lock().has_entry(&key);
        if !is_written && !suspect_writer::is_rewrite_due(node, &key) {
            store_mirror::apply_removal(node, scope, &key);
        }
    }
    let Some(summary) = node.era_transition.lock().take_summary(now) else { return };
    let revisions = MirrorScope::ALL.map(|scope| node.feeds.log(scope).lock().revision());
    let revision = revisions.into_iter().max().unwrap_or_default();
    let rewritten: Vec<_> =
        summary.rewritten.iter().map(|(kind, count)| format!("{kind}={count}")).collect();
    let fields = slog::o!(
        "era" => store_era::stated_era(summary.era),
        "former_era" => store_era::stated_era(summary.former_era),
        "revision" => store_era::plain_revision(revision),
        "former_revision" => store_era::plain_revision(summary.former_revision),
        "rewritten" => summary.rewritten.values().sum::<u64>(),
        "by_record" => rewritten.join(" "),
    );
    node.emit(LogEvent::StoreEraSettled, fields);
}

/// Writes the mark of the era, unless another instance does it first.
async fn write_mark(node: &RelayNode) {
    let eras = node.store.store_eras();
    let names = node.member_names();
    let own_rank = crate::rendezvous::member_rank(MARK_KEY, &node.settings.name);
    let before = names
        .all
        .iter()
        .filter(|name| crate::rendezvous::member_rank(MARK_KEY, name) > own_rank)
        .count();
    let turn = MARK_RANK_DELAY.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX));
    let write_at = Instant::now() + turn.min(MAX_MARK_DELAY);
    while let Some(revision) = eras.missing_mark() {
        let is_read = node.has_read_era(MirrorScope::Instances);
        if !is_read || Instant::now() < write_at {
            tokio::time::sleep(MARK_CHECK_INTERVAL).await;
            continue;
        }
        if let Err(error) = commit_mark(node, eras.current(), revision).await {
            let fields = slog::o!("call" => "era", "error" => error.to_string());
            node.emit(LogEvent::KvFailed, fields);
        }
        tokio::time::sleep(MARK_CHECK_INTERVAL).await;
    }
}

async fn commit_mark(
    node: &RelayNode,
    era: ids::StoreEra,
    revision: ids::KvRevision,
) -> Result<(), KvError> {
    let value = Bytes::from(era.to_string());
    let transaction = KvTransaction {
        compares: vec![KvCompare::ModRevision(MARK_KEY.to_owned(), revision)],
        operations: vec![KvOperation::Put(MARK_KEY.to_owned(), value.clone(), 0)],
    };
    let outcome = node.store.commit(transaction).await?;
    let eras = node.store.store_eras();
    if outcome.committed {
        eras.set_mark(outcome.revision, &value);
        node.era_transition.lock().count_rewrite("mark", Instant::now());
    }
    for entry in outcome.current.iter().filter(|entry| entry.key == MARK_KEY) {
        eras.set_mark(entry.mod_revision, &entry.value);
    }
    Ok(())
}

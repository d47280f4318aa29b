//! Registration of this instance in the list of members, under a lease of the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::member_list::MemberEntry;
use super::relay_node::{LifecycleStage, RelayNode};
use super::retry_backoff::RetryBackoff;
use super::store_mirror;
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{KvCompare, KvError, KvOperation, KvStore as _, KvTransaction};

/// Time to live of the lease, in seconds. Callers are still sent to an instance that loses power
/// until its lease expires.
const LEASE_TTL_S: i64 = 3;
/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_300);
/// Time for which a written entry is not written again although the mirror does not show it. The
/// reader of the data centre passes it on within this time.
const REWRITE_DELAY: Duration = Duration::from_millis(2_500);
/// Time between two checks of whether the instance has become ready.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Member entry that was written to the store.
struct WrittenEntry {
    lease: ids::LeaseId,
    is_ready: bool,
    written_at: Instant,
}

/// Keeps the member entry until the instance drains, then revokes its lease.
pub async fn run(node: Arc<RelayNode>) {
    let mut life = node.lifecycle();
    let mut retry_backoff = RetryBackoff::default();
    let mut last_write = None;
    loop {
        if let LifecycleStage::Draining(_) = *life.borrow_and_update() {
            break;
        }
        let pause = match keep_registered(&node, &mut last_write).await {
            Ok(()) => {
                retry_backoff.reset();
                RENEWAL_INTERVAL
            }
            Err(error) => {
                node.emit(
                    LogEvent::KvFailed,
                    slog::o!("call" => "member", "error" => error.to_string()),
                );
                retry_backoff.next_delay()
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // Callers reach the instance only once its entry states that it is ready.
            () = wait_until_ready(&node), if !node.is_ready() => {}
            // `node` owns the sender, so this returns only when the stage changes.
            _ = life.changed() => {}
        }
    }
    revoke_lease(&node).await;
}

async fn wait_until_ready(node: &RelayNode) {
    while !node.is_ready() {
        tokio::time::sleep(READINESS_POLL_INTERVAL).await;
    }
}

/// Removes members and replicas whose grace period after an outage of the store has passed.
pub fn remove_expired(node: &RelayNode) {
    let now = Instant::now();
    let members = node.members.lock().remove_expired(now);
    for name in &members {
        node.emit(LogEvent::MemberLeft, slog::o!("member" => name.to_string(), "kept" => false));
    }
    if !members.is_empty() {
        node.refresh_member_names();
    }
    for name in node.fleet.lock().remove_expired(now) {
        let fields = slog::o!("replica" => name.to_string(), "kept" => false);
        node.emit(LogEvent::ReplicaRemoved, fields);
    }
}

/// Renews the lease and writes the member entry if it is missing or states another readiness. Until
/// the instance is ready, it does so only on the first start of all.
///
/// The mirror of the store shows whether the entry exists. The outcome of the write would not do:
/// the write may be lost or applied late under a replaced lease, and the entry may be deleted.
async fn keep_registered(
    node: &RelayNode,
    last_write: &mut Option<WrittenEntry>,
) -> Result<(), KvError> {
    let is_ready = node.is_ready();
    if !is_ready && !node.settings.is_first_start {
        return Ok(());
    }
    let lease = renew_or_grant_lease(node).await?;
    if node.members.lock().is_current(&node.settings.name, lease, is_ready) {
        return Ok(());
    }
    let is_written = |last: &WrittenEntry| {
        (last.lease, last.is_ready) == (lease, is_ready)
            && last.written_at.elapsed() < REWRITE_DELAY
    };
    if last_write.as_ref().is_some_and(is_written) {
        return Ok(());
    }
    let settings = &node.settings;
    let entry = MemberEntry {
        calls: settings.listen.calls,
        tunnel: settings.listen.tunnel,
        data_centre: settings.data_centre.clone(),
        region: settings.region().cloned().unwrap_or_else(|| "".into()),
        feed: Some(settings.listen.feed),
        link_mbps: settings.link_mbps,
        is_ready,
    };
    let value =
        serde_json::to_vec(&entry).map_err(|error| KvError::Unreadable(error.to_string()))?;
    let key = member_key(&settings.name);
    // The store may apply a write late. One that does not state readiness must not replace one that
    // does.
    let compares = if is_ready { Vec::new() } else { vec![KvCompare::ModRevision(key.clone(), 0)] };
    let put = KvOperation::Put(key, Bytes::from(value), lease);
    let outcome = node.store.commit(KvTransaction { compares, operations: vec![put] }).await?;
    if !outcome.committed && !is_ready {
        return Ok(());
    }
    if !outcome.committed {
        return Err(KvError::Refused(
            "lease expired before the member entry was written".to_owned(),
        ));
    }
    node.era_transition.lock().count_rewrite("member", Instant::now());
    *last_write = Some(WrittenEntry { lease, is_ready, written_at: Instant::now() });
    node.emit(
        LogEvent::MemberRegistered,
        slog::o!("lease" => lease, "revision" => outcome.revision),
    );
    Ok(())
}

/// Renews the lease; if it has expired, grants a new one.
async fn renew_or_grant_lease(node: &RelayNode) -> Result<ids::LeaseId, KvError> {
    let held = *node.member_lease.lock();
    if let Some(held) = held {
        let is_renewed = node.store.renew_lease(held).await?;
        // A restoration of the store ends the lease, and its number may be issued again.
        let is_held = *node.member_lease.lock() == Some(held);
        if is_renewed && is_held {
            return Ok(held);
        }
        if is_held {
            *node.member_lease.lock() = None;
            node.emit(LogEvent::LeaseLost, slog::o!("lease" => held));
        }
    }
    let granted = node.store.grant_lease(LEASE_TTL_S).await?;
    *node.member_lease.lock() = Some(granted);
    Ok(granted)
}

async fn revoke_lease(node: &RelayNode) {
    let Some(lease) = node.member_lease.lock().take() else { return };
    // If the store cannot be reached, the lease expires by itself.
    if let Err(error) = node.store.revoke_lease(lease).await {
        node.emit(LogEvent::KvFailed, slog::o!("call" => "leave", "error" => error.to_string()));
    }
}

fn member_key(name: &str) -> String {
    format!("{}{name}", store_mirror::MEMBER_PREFIX)
}

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
use crate::kv_store::{KvError, KvOperation, KvStore as _, KvTransaction};

/// Time to live of the lease, in seconds. Callers are still sent to an instance that loses power
/// until its lease expires.
const LEASE_TTL_S: i64 = 3;
/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks of whether the instance has become ready.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Keeps the member entry until the instance drains, then revokes its lease.
pub async fn run(node: Arc<RelayNode>) {
    let mut life = node.lifecycle();
    let mut retry_backoff = RetryBackoff::default();
    loop {
        if let LifecycleStage::Draining(_) = *life.borrow_and_update() {
            break;
        }
        let pause = match keep_registered(&node).await {
            // Callers reach the instance only once it is registered.
            Ok(()) if !node.is_ready() => READINESS_POLL_INTERVAL,
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
            // `node` owns the sender, so this returns only when the stage changes.
            _ = life.changed() => {}
        }
    }
    revoke_lease(&node).await;
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

/// Renews the lease and writes the member entry if it is missing, once the instance is ready.
///
/// The mirror of the store shows whether the entry exists. The outcome of the write would not do:
/// the write may be lost or applied late under a replaced lease, and the entry may be deleted.
async fn keep_registered(node: &RelayNode) -> Result<(), KvError> {
    if !node.is_ready() {
        return Ok(());
    }
    let lease = renew_or_grant_lease(node).await?;
    if node.members.lock().is_current(&node.settings.name, lease) {
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
    };
    let value =
        serde_json::to_vec(&entry).map_err(|error| KvError::Unreadable(error.to_string()))?;
    let put = KvOperation::Put(member_key(&settings.name), Bytes::from(value), lease);
    let outcome =
        node.store.commit(KvTransaction { compares: Vec::new(), operations: vec![put] }).await?;
    if !outcome.committed {
        return Err(KvError::Refused(
            "lease expired before the member entry was written".to_owned(),
        ));
    }
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
        if node.store.renew_lease(held).await? {
            return Ok(held);
        }
        *node.member_lease.lock() = None;
        node.emit(LogEvent::LeaseLost, slog::o!("lease" => held));
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

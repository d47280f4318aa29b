//! Entry of this instance among the members, under a lease.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::member_list::MemberEntry;
use super::relay_node::{LifecycleStage, RelayNode};
use super::retry_pause::RetryPause;
use super::store_mirror;
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{KvError, KvOperation, KvStore as _, KvTransaction};

/// Life of a lease without renewal, in seconds. An instance that loses power is named to callers
/// for this long.
const LEASE_S: i64 = 3;
/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the entry until the instance leaves, then removes it.
pub async fn run(node: Arc<RelayNode>) {
    let mut life = node.lifecycle();
    let mut retry_pause = RetryPause::default();
    loop {
        if let LifecycleStage::Draining(_) = *life.borrow_and_update() {
            break;
        }
        let pause = match keep(&node).await {
            Ok(()) => {
                retry_pause.reset();
                RENEWAL_INTERVAL
            }
            Err(error) => {
                node.emit(
                    LogEvent::KvFailed,
                    slog::o!("call" => "member", "error" => error.to_string()),
                );
                retry_pause.after_failure()
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // The sender lives as long as the node.
            _ = life.changed() => {}
        }
    }
    leave(&node).await;
}

/// Names of members whose time has passed are dropped as well as those that left.
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

/// Keeps the lease, and the entry under it.
///
/// Whether the entry stands is read from the mirror of the store: a write may be lost, done late
/// under a lease that has been replaced, or the entry taken away.
async fn keep(node: &RelayNode) -> Result<(), KvError> {
    if !node.is_ready() {
        return Ok(());
    }
    let lease = keep_lease(node).await?;
    if node.members.lock().is_current(&node.settings.name, lease) {
        return Ok(());
    }
    let settings = &node.settings;
    let entry = MemberEntry {
        calls: settings.listen.calls,
        tunnel: settings.listen.tunnel,
        data_centre: settings.data_centre.clone(),
        region: settings.region().cloned().unwrap_or_else(|| "".into()),
    };
    let value =
        serde_json::to_vec(&entry).map_err(|error| KvError::Unreadable(error.to_string()))?;
    let put = KvOperation::Put(member_key(&settings.name), Bytes::from(value), lease);
    let outcome =
        node.store.commit(KvTransaction { compares: Vec::new(), operations: vec![put] }).await?;
    if !outcome.committed {
        return Err(KvError::Refused("lease ended before the entry was written".to_owned()));
    }
    node.emit(
        LogEvent::MemberRegistered,
        slog::o!("lease" => lease, "revision" => outcome.revision),
    );
    Ok(())
}

async fn keep_lease(node: &RelayNode) -> Result<ids::LeaseId, KvError> {
    let held = *node.member_lease.lock();
    if let Some(held) = held {
        if node.store.renew_lease(held).await? {
            return Ok(held);
        }
        *node.member_lease.lock() = None;
        node.emit(LogEvent::LeaseLost, slog::o!("lease" => held));
    }
    let granted = node.store.grant_lease(LEASE_S).await?;
    *node.member_lease.lock() = Some(granted);
    Ok(granted)
}

async fn leave(node: &RelayNode) {
    let Some(lease) = node.member_lease.lock().take() else { return };
    // The lease ends by itself if the store cannot be reached.
    if let Err(error) = node.store.revoke_lease(lease).await {
        node.emit(LogEvent::KvFailed, slog::o!("call" => "leave", "error" => error.to_string()));
    }
}

fn member_key(name: &str) -> String {
    format!("{}{name}", store_mirror::MEMBER_PREFIX)
}

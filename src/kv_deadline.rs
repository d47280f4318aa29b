//! Deadline for calls to the key-value service, whatever client serves them.

use std::future::Future;

use crate::{kv_client, kv_store};

/// Waits for a call up to the call timeout. A call that takes longer counts as
/// one without an answer, because a write may still take effect.
pub async fn bounded<T>(
    call: impl Future<Output = Result<T, kv_store::KvError>>,
) -> Result<T, kv_store::KvError> {
    match tokio::time::timeout(kv_client::CALL_TIMEOUT, call).await {
        Ok(outcome) => outcome,
        Err(_) => Err(kv_store::KvError::NoAnswer("deadline exceeded".to_owned())),
    }
}

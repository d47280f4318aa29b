//! HTTP client that replaces its connections after a call without an answer.
//!
//! Connections can go silent for good. A pool would hand out its silent connections one after
//! another, and every call on one of them lasts until its timeout. After the first such call
//! the whole pool is dropped, so that the next call opens a connection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

/// Time without an answer after which a call counts as unanswered.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Time for opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// HTTP client with a pool that can be replaced; clones share it.
#[derive(Clone, Debug)]
pub struct RenewableClient {
    current: Arc<ArcSwap<reqwest::Client>>,
}

impl RenewableClient {
    /// Client that starts with an existing pool.
    pub fn new(http: reqwest::Client) -> Self {
        Self { current: Arc::new(ArcSwap::from_pointee(http)) }
    }

    /// Starts a call; its pool is replaced when the call ends late without `answered`.
    pub fn start_call(&self) -> PendingCall {
        let http = self.current.load_full();
        PendingCall { client: self.clone(), http, started: Instant::now(), answered: false }
    }

    /// Replaces a pool unless that was done already.
    fn renew(&self, silent: &Arc<reqwest::Client>) {
        if !Arc::ptr_eq(&self.current.load(), silent) {
            return;
        }
        let builder = reqwest::Client::builder().connect_timeout(CONNECT_LIMIT);
        if let Ok(http) = builder.build() {
            metrics::counter!("yuccareel_http_pools_renewed_total").increment(1);
            self.current.store(Arc::new(http));
        }
    }
}

/// Call under way; it may also end by being dropped at a deadline of its caller.
pub struct PendingCall {
    client: RenewableClient,
    http: Arc<reqwest::Client>,
    started: Instant,
    answered: bool,
}

impl PendingCall {
    /// Client to send the request with.
    pub fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// Notes that the connection carried an answer or a definite error.
    pub fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.answered && self.started.elapsed() >= SILENT_AFTER {
            self.client.renew(&self.http);
        }
    }
}

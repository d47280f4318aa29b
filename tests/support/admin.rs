//! Administration API on a loopback port, over the key-value stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use salvo::prelude::Router;
use sha2::Digest as _;
use yuccareel::admin_context::AdminContext;
use yuccareel::admin_handler::{self, AdminState};
use yuccareel::admin_types::{AuditReport, InstanceStatus};
use yuccareel::config_change::ConfigChange;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::error_body::RequestRefusal;
use yuccareel::standins::{kv, server};
use yuccareel::{config_store, openapi};

pub const TOKEN: &str = "operator-token";

/// Node that puts changes into effect at once, next to one that may stay behind.
pub struct FakeNode {
    pub snapshot: Arc<ArcSwap<ConfigSnapshot>>,
    pub refusal: Mutex<Option<RequestRefusal>>,
    pub other_follows: Mutex<bool>,
    pub audit: Mutex<AuditReport>,
}

impl AdminContext for FakeNode {
    fn may_accept(&self) -> Result<(), RequestRefusal> {
        self.refusal.lock().clone().map_or(Ok(()), Err)
    }

    fn status(&self) -> BoxFuture<'_, Vec<InstanceStatus>> {
        let sequence = self.snapshot.load().sequence;
        let other = if *self.other_follows.lock() { sequence } else { 0 };
        let row = |name: &str, sequence| InstanceStatus {
            name: Arc::from(name),
            data_centre: Arc::from("evesham"),
            sequence,
            age_ms: 5,
        };
        let rows = vec![row("node-a", sequence), row("node-b", other)];
        async { rows }.boxed()
    }

    fn committed(&self, change: Arc<ConfigChange>) {
        let mut snapshot = ConfigSnapshot::clone(&self.snapshot.load());
        config_store::add_change(&mut snapshot, ConfigChange::clone(&change));
        self.snapshot.store(Arc::new(snapshot));
    }

    fn audit(&self) -> BoxFuture<'_, Result<AuditReport, RequestRefusal>> {
        async { Ok(self.audit.lock().clone()) }.boxed()
    }
}

/// Served API with its parts.
pub struct AdminServer {
    pub address: SocketAddr,
    pub kv: kv::KvStandin,
    pub node: Arc<FakeNode>,
}

pub async fn serve() -> AdminServer {
    let kv = kv::KvStandin::default();
    let snapshot: Arc<ArcSwap<ConfigSnapshot>> = Arc::default();
    let node = Arc::new(FakeNode {
        snapshot: snapshot.clone(),
        refusal: Mutex::default(),
        other_follows: Mutex::new(true),
        audit: Mutex::default(),
    });
    let state = Arc::new(AdminState {
        store: Arc::new(kv.clone()),
        snapshot,
        context: node.clone(),
        operator_token_sha256: sha2::Sha256::digest(TOKEN.as_bytes()).into(),
    });
    let router = Router::new().push(admin_handler::router(state)).push(openapi::router());
    let (address, _task) = server::serve(router).await;
    AdminServer { address, kv, node }
}

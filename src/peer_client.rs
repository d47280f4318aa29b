//! Client of the calls between nodes.
//!
//! The RPC library is bound to one thread, so the client owns a thread with a
//! runtime of its own, to which calls are sent from anywhere.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};

use crate::peer_capnp::peer;
use crate::{
    bill_ledger, peer_handshake, peer_message, peer_pool, peer_wire, quota_message, session_table,
};

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// There is no connection; nothing was sent.
    #[error("peer unreachable: {0}")]
    Unreachable(String),
    /// The answer did not come in time; the call may have run.
    #[error("peer did not answer in time")]
    NoAnswer,
    /// The connection was lost during the call, which may have run.
    #[error("connection to peer lost: {0}")]
    Lost(String),
    /// The peer refused the call or failed in it.
    #[error("peer refused the call: {0}")]
    Refused(String),
    /// The request or the answer cannot be converted.
    #[error("unreadable message: {0}")]
    Unreadable(String),
}

impl PeerError {
    /// Whether the call may have run.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Unreachable(_))
    }
}

type PeerJob = Box<dyn FnOnce(Rc<peer_pool::PeerPool>) -> LocalBoxFuture<'static, ()> + Send>;

/// Client of all peers; clones share its connections. Its thread ends with the last clone.
#[derive(Clone, Debug)]
pub struct PeerClient {
    jobs: mpsc::UnboundedSender<PeerJob>,
}

impl PeerClient {
    /// Starts a client without connections.
    ///
    /// # Errors
    /// When the thread cannot be set up.
    pub fn start(secret: peer_handshake::SharedSecret) -> io::Result<Self> {
        let client_runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let (jobs, received) = mpsc::unbounded_channel();
        thread::Builder::new().name("peer-client".to_owned()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&client_runtime, run_jobs(received, secret));
        })?;
        Ok(Self { jobs })
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    /// See [`PeerError`]; `limit` bounds the whole call.
    pub async fn heartbeat(
        &self,
        peer: SocketAddr,
        limit: Duration,
        heartbeat: peer_message::Heartbeat,
    ) -> Result<peer_message::HeartbeatReply, PeerError> {
        self.call(peer, limit, move |client| {
            async move {
                let mut request = client.heartbeat_request();
                peer_wire::write_heartbeat(&heartbeat, request.get().init_heartbeat());
                let response = request.send().promise.await?;
                peer_wire::read_reply(response.get()?.get_reply()?)
            }
            .boxed_local()
        })
        .await
    }

    async fn call<A: Send + 'static>(
        &self,
        peer: SocketAddr,
        limit: Duration,
        call: impl FnOnce(peer::Client) -> LocalBoxFuture<'static, capnp::Result<A>> + Send + 'static,
    ) -> Result<A, PeerError> {
        let (answers, answered) = oneshot::channel();
        let job: PeerJob = Box::new(move |pool| {
            async move { pool.call(peer, limit, call, answers).await }.boxed_local()
        });
        let stopped = || PeerError::Unreachable("client stopped".to_owned());
        self.jobs.send(job).map_err(|_| stopped())?;
        answered.await.unwrap_or(Err(PeerError::NoAnswer))
    }
}

/// Runs calls until all clones of the client are gone.
async fn run_jobs(
    mut received: mpsc::UnboundedReceiver<PeerJob>,
    secret: peer_handshake::SharedSecret,
) {
    let pool = Rc::new(peer_pool::PeerPool::new(secret));
    let mut sweeps = tokio::time::interval(peer_pool::SWEEP_INTERVAL);
    loop {
        tokio::select! {
            job = received.recv() => match job {
                Some(job) => drop(tokio::task::spawn_local(job(Rc::clone(&pool)))),
                None => return,
            },
            _ = sweeps.tick() => pool.close_idle(),
        }
    }
}

fn write_json<Q: Serialize>(request: &Q) -> Result<Vec<u8>, PeerError> {
    serde_json::to_vec(request).map_err(|error| PeerError::Unreadable(error.to_string()))
}

fn read_json<A: DeserializeOwned>(answer: &[u8]) -> Result<A, PeerError> {
    serde_json::from_slice(answer).map_err(|error| PeerError::Unreadable(error.to_string()))
}

/// Calls whose request and answer travel as JSON.
macro_rules! json_calls {
    ($($(#[$doc:meta])* $method:ident, $start:ident: $request:ty => $answer:ty;)*) => {
        impl PeerClient {$(
            $(#[$doc])*
            ///
            /// # Errors
            /// See [`PeerError`]; `limit` bounds the whole call.
            pub async fn $method(
                &self,
                peer: SocketAddr,
                limit: Duration,
                request: &$request,
            ) -> Result<$answer, PeerError> {
                let body = write_json(request)?;
                let call = move |client: peer::Client| {
                    async move {
                        let mut request = client.$start();
                        request.get().set_body(&body);
                        let response = request.send().promise.await?;
                        Ok(response.get()?.get_body()?.to_vec())
                    }
                    .boxed_local()
                };
                read_json(&self.call(peer, limit, call).await?)
            }
        )*}
    };
}

json_calls! {
    /// Pushes new changes and changed instances.
    push_change, push_change_request: peer_message::PushRequest => peer_message::PushReply;
    /// Fetches what this node misses.
    fetch_changes, fetch_changes_request:
        peer_message::FetchRequest => peer_message::FetchReply;
    /// Asks a home for shares of resources.
    request_quota, request_quota_request:
        quota_message::ShareRequest => quota_message::ShareReply;
    /// Hands outstanding shares over to the next home, or asks the former one for them.
    hand_over_quota, hand_over_quota_request:
        peer_message::QuotaHandover => Vec<quota_message::ResourceHandover>;
    /// Reports a replica that turned cold to its home.
    report_cold, report_cold_request: peer_message::ColdReport => ();
    /// Keeps a pin at a session home; returns the pin in effect there.
    pin_session, pin_session_request: peer_message::PinRequest => session_table::SessionPin;
    /// Looks up a pin at a session home.
    look_up_session, look_up_session_request:
        session_table::SessionModel => Option<session_table::SessionPin>;
    /// Asks the owner of a shard for a claim.
    claim, claim_request: peer_message::ClaimRequest => peer_message::ClaimReply;
    /// Reports the outcome of a claimed call.
    finish_claim, finish_claim_request: peer_message::FinishRequest => ();
    /// Copies bills to a peer.
    copy_bills, copy_bills_request: bill_ledger::BillCopy => ();
    /// Sends what this node learned.
    send_evidence, send_evidence_request:
        peer_message::LearningReport => peer_message::LearningReply;
}

//! Connections to peers, one for each, on the thread of the client.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::future::LocalBoxFuture;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, oneshot};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

use crate::peer_capnp::peer;
use crate::peer_client::PeerError;
use crate::peer_handshake;

/// Time between sweeps for idle connections.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Time without a call after which a connection is closed. Each node talks to
/// random peers, so at scale most connections would stay open unused.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time without any answer after which a connection counts as silent. Calls with
/// a shorter limit fail earlier, which says nothing about the connection.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Time for opening a connection, before the handshake.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Connections by peer.
#[derive(Debug)]
pub struct PeerPool {
    secret: peer_handshake::SharedSecret,
    slots: RefCell<HashMap<SocketAddr, Rc<PeerSlot>>>,
}

/// Connection of one peer; the lock is held while it is opened.
type PeerSlot = Mutex<Option<Rc<PeerConnection>>>;

/// Open connection.
struct PeerConnection {
    client: peer::Client,
    system: JoinHandle<capnp::Result<()>>,
    last_call: Cell<Instant>,
    last_answer: Cell<Option<Instant>>,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.system.abort();
    }
}

impl std::fmt::Debug for PeerConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("PeerConnection").finish_non_exhaustive()
    }
}

impl PeerPool {
    /// Pool without connections.
    pub fn new(secret: peer_handshake::SharedSecret) -> Self {
        Self { secret, slots: RefCell::default() }
    }

    /// Makes a call and sends its outcome within the limit.
    ///
    /// A connection on which no call was answered since is dropped; calls on it
    /// that are under way run on until their own limit.
    pub async fn call<A>(
        self: Rc<Self>,
        peer: SocketAddr,
        limit: Duration,
        call: impl FnOnce(peer::Client) -> LocalBoxFuture<'static, capnp::Result<A>>,
        answers: oneshot::Sender<Result<A, PeerError>>,
    ) {
        let started = Instant::now();
        // The task goes on when the limit has passed, as a later call needs the connection.
        let pool = Rc::clone(&self);
        let opening = tokio::task::spawn_local(async move { pool.connection(peer).await });
        let opened = tokio::time::timeout_at(started + limit, opening).await;
        let connection = match opened {
            Ok(Ok(Ok(connection))) => connection,
            Ok(Ok(Err(error))) => return drop(answers.send(Err(error))),
            Ok(Err(_)) | Err(_) => {
                let error = PeerError::Unreachable("no connection in time".to_owned());
                return drop(answers.send(Err(error)));
            }
        };
        let sent_at = Instant::now();
        connection.last_call.set(sent_at);
        let mut answer = call(connection.client.clone());
        match tokio::time::timeout_at(started + limit, &mut answer).await {
            Ok(outcome) => drop(answers.send(self.conclude(peer, &connection, outcome).await)),
            Err(_) => {
                drop(answers.send(Err(PeerError::NoAnswer)));
                self.await_silence(peer, &connection, answer, sent_at).await;
            }
        }
    }

    /// Closes connections that were not used lately.
    pub fn close_idle(&self) {
        self.slots.borrow_mut().retain(|_, slot| match slot.try_lock() {
            Ok(connection) => connection.as_ref().is_some_and(|connection| {
                !connection.system.is_finished()
                    && connection.last_call.get().elapsed() < IDLE_LIMIT
            }),
            Err(_) => true,
        });
    }

    async fn conclude<A>(
        &self,
        peer: SocketAddr,
        connection: &Rc<PeerConnection>,
        outcome: capnp::Result<A>,
    ) -> Result<A, PeerError> {
        match outcome {
            Err(error) if error.kind == capnp::ErrorKind::Disconnected => {
                self.discard(peer, connection).await;
                Err(PeerError::Lost(error.extra))
            }
            outcome => {
                connection.last_answer.set(Some(Instant::now()));
                outcome.map_err(|error| PeerError::Refused(error.extra))
            }
        }
    }

    /// Waits on for a late answer; discards the connection if there was none at all.
    async fn await_silence<A>(
        &self,
        peer: SocketAddr,
        connection: &Rc<PeerConnection>,
        answer: LocalBoxFuture<'static, capnp::Result<A>>,
        sent_at: Instant,
    ) {
        if let Ok(late) = tokio::time::timeout_at(sent_at + SILENT_AFTER, answer).await {
            // Only the state of the connection matters; the caller has gone on.
            let _ = self.conclude(peer, connection, late).await;
        } else if connection.last_answer.get() < Some(sent_at) {
            self.discard(peer, connection).await;
        }
    }

    /// Open connection to a peer; opens one if there is none.
    async fn connection(&self, peer: SocketAddr) -> Result<Rc<PeerConnection>, PeerError> {
        let slot = Rc::clone(self.slots.borrow_mut().entry(peer).or_default());
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|held| !held.system.is_finished()) {
            return Ok(Rc::clone(connection));
        }
        let connection = Rc::new(open(peer, &self.secret).await?);
        *held = Some(Rc::clone(&connection));
        Ok(connection)
    }

    /// Removes a connection unless another one has taken its place.
    async fn discard(&self, peer: SocketAddr, connection: &Rc<PeerConnection>) {
        let slot = self.slots.borrow().get(&peer).map(Rc::clone);
        let Some(slot) = slot else { return };
        let mut held = slot.lock().await;
        if held.as_ref().is_some_and(|held| Rc::ptr_eq(held, connection)) {
            *held = None;
        }
    }
}

async fn open(
    peer: SocketAddr,
    secret: &peer_handshake::SharedSecret,
) -> Result<PeerConnection, PeerError> {
    let unreachable = |error: &dyn std::fmt::Display| PeerError::Unreachable(error.to_string());
    let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(peer)).await;
    let mut stream =
        connecting.map_err(|error| unreachable(&error))?.map_err(|error| unreachable(&error))?;
    stream.set_nodelay(true).map_err(|error| unreachable(&error))?;
    peer_handshake::connect(&mut stream, secret).await.map_err(|error| unreachable(&error))?;
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        rpc_twoparty_capnp::Side::Client,
        Default::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    Ok(PeerConnection {
        client,
        system: tokio::task::spawn_local(system),
        last_call: Cell::new(Instant::now()),
        last_answer: Cell::new(None),
    })
}

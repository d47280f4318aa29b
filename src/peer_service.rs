//! Server of the calls between nodes.
//!
//! The RPC library is bound to one thread, so the service owns a thread with a
//! runtime of its own. That thread only reads and writes messages; the handler's
//! answers run on the runtime on which the service was started.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};
use tokio_util::sync::CancellationToken;

use crate::peer_capnp::peer;
use crate::{peer_handler, peer_handshake, peer_wire};

/// Time without a call after which a connection is closed. Longer than the
/// client's limit, so that a client never calls on a connection just closed.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Connections in their handshake at one time; strangers can hold no more.
const PENDING_HANDSHAKES: usize = 256;
/// Pause after a failed accept, which is usually a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Running service; it stops when it is dropped.
#[derive(Debug)]
pub struct PeerService {
    address: SocketAddr,
    stopping: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl PeerService {
    /// Serves a handler on a listener.
    ///
    /// # Errors
    /// When the listener or the thread cannot be set up.
    ///
    /// # Panics
    /// Outside of a tokio runtime, which drives the handler.
    pub fn start(
        listener: TcpListener,
        secret: peer_handshake::SharedSecret,
        handler: Arc<dyn peer_handler::PeerHandler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let service_runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let stopping = CancellationToken::new();
        let accepting = AcceptLoop {
            secret,
            handler,
            handler_runtime: runtime::Handle::current(),
            handshakes: Arc::new(Semaphore::new(PENDING_HANDSHAKES)),
        };
        let stopped = stopping.clone();
        let thread = thread::Builder::new().name("peer-service".to_owned()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&service_runtime, async move {
                tokio::select! {
                    () = stopped.cancelled() => {}
                    () = Rc::new(accepting).run(listener) => {}
                }
            });
        })?;
        Ok(Self { address, stopping, thread: Some(thread) })
    }

    /// Address on which peers are accepted.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerService {
    fn drop(&mut self) {
        self.stopping.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported when it happened.
            let _ = thread.join();
        }
    }
}

/// Accepts connections and serves each in a task.
struct AcceptLoop {
    secret: peer_handshake::SharedSecret,
    handler: Arc<dyn peer_handler::PeerHandler>,
    handler_runtime: runtime::Handle,
    handshakes: Arc<Semaphore>,
}

impl AcceptLoop {
    async fn run(self: Rc<Self>, listener: TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        loop {
            let Ok(permit) = Arc::clone(&self.handshakes).acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let accepting = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        if let Some(stream) = accepting.authenticate(stream).await {
                            drop(permit);
                            accepting.serve(stream).await;
                        }
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn authenticate(&self, mut stream: TcpStream) -> Option<TcpStream> {
        stream.set_nodelay(true).ok()?;
        match peer_handshake::accept(&mut stream, &self.secret).await {
            Ok(()) => Some(stream),
            Err(error) => {
                let reason = error.reason();
                metrics::counter!("yuccareel_peer_handshakes_failed", "reason" => reason)
                    .increment(1);
                None
            }
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let activity = Rc::new(CallActivity::default());
        let dispatch = CallDispatch {
            handler: Arc::clone(&self.handler),
            handler_runtime: self.handler_runtime.clone(),
            activity: Rc::clone(&activity),
        };
        let client: peer::Client = capnp_rpc::new_client(dispatch);
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            rpc_twoparty_capnp::Side::Server,
            Default::default(),
        );
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        tokio::select! {
            // The peer closed the connection or broke the protocol; either ends it.
            _ = system => {}
            () = activity.idle() => {}
        }
    }
}

/// Calls of one connection.
struct CallActivity {
    running: Cell<usize>,
    last_call: Cell<Instant>,
}

impl Default for CallActivity {
    fn default() -> Self {
        Self { running: Cell::new(0), last_call: Cell::new(Instant::now()) }
    }
}

impl CallActivity {
    /// Waits until there was no call for the idle limit.
    async fn idle(&self) {
        loop {
            let until = self.last_call.get() + IDLE_LIMIT;
            if self.running.get() == 0 && until <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(until.max(Instant::now() + ACCEPT_PAUSE)).await;
        }
    }
}

/// Counts one call while it runs.
struct RunningCall(Rc<CallActivity>);

impl RunningCall {
    fn new(activity: &Rc<CallActivity>) -> Self {
        activity.running.set(activity.running.get() + 1);
        Self(Rc::clone(activity))
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.last_call.set(Instant::now());
    }
}

/// Passes the calls of one connection to the handler.
struct CallDispatch {
    handler: Arc<dyn peer_handler::PeerHandler>,
    handler_runtime: runtime::Handle,
    activity: Rc<CallActivity>,
}

impl CallDispatch {
    /// Runs an answer on the handler's runtime; it is completed even when the
    /// connection is lost meanwhile.
    async fn run<A: Send + 'static>(&self, answer: peer_handler::Answer<A>) -> capnp::Result<A> {
        let _running = RunningCall::new(&self.activity);
        match self.handler_runtime.spawn(answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(refusal)) => Err(capnp::Error::failed(refusal.0)),
            Err(error) => Err(capnp::Error::failed(format!("handler failed: {error}"))),
        }
    }
}

fn read_json<Q: DeserializeOwned>(body: capnp::Result<&[u8]>) -> capnp::Result<Q> {
    serde_json::from_slice(body?)
        .map_err(|error| capnp::Error::failed(format!("unreadable request: {error}")))
}

fn write_json<A: Serialize>(answer: &A) -> capnp::Result<Vec<u8>> {
    serde_json::to_vec(answer)
        .map_err(|error| capnp::Error::failed(format!("unwritable answer: {error}")))
}

/// Methods whose request and answer travel as JSON.
macro_rules! json_methods {
    ($($method:ident($params:ident) -> $results:ident;)*) => {$(
        async fn $method(
            self: Rc<Self>,
            params: peer::$params,
            mut results: peer::$results,
        ) -> capnp::Result<()> {
            let request = read_json(params.get()?.get_body())?;
            let answer = self.run(self.handler.$method(request)).await?;
            results.get().set_body(&write_json(&answer)?);
            Ok(())
        }
    )*};
}

impl peer::Server for CallDispatch {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> capnp::Result<()> {
        let heartbeat = peer_wire::read_heartbeat(params.get()?.get_heartbeat()?)?;
        let reply = self.run(self.handler.heartbeat(heartbeat)).await?;
        peer_wire::write_reply(&reply, results.get().init_reply());
        Ok(())
    }

    json_methods! {
        push_change(PushChangeParams) -> PushChangeResults;
        fetch_changes(FetchChangesParams) -> FetchChangesResults;
        request_quota(RequestQuotaParams) -> RequestQuotaResults;
        hand_over_quota(HandOverQuotaParams) -> HandOverQuotaResults;
        report_cold(ReportColdParams) -> ReportColdResults;
        pin_session(PinSessionParams) -> PinSessionResults;
        look_up_session(LookUpSessionParams) -> LookUpSessionResults;
        claim(ClaimParams) -> ClaimResults;
        finish_claim(FinishClaimParams) -> FinishClaimResults;
        copy_bills(CopyBillsParams) -> CopyBillsResults;
        send_evidence(SendEvidenceParams) -> SendEvidenceResults;
    }
}

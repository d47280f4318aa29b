//! Start and end of a relay instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::signal::unix::{self, SignalKind};
use tokio::time::Instant;

use super::entry_server::{self, EntryEndpoints};
use super::relay_node::RelayNode;
use super::rollout_duty::RolloutDuty;
use super::store_mirror::{MirrorScope, StoreMirror};
use super::{accept_loop, caller_server, member_registry, store_tunnel};
use crate::event_catalogue::LogEvent;
use crate::process_output;

/// Time between two rounds of upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Least time from the order to stop to the exit. Callers keep an answer of the directory for
/// some seconds and open connections meanwhile.
const LEAST_DRAIN_TIME: Duration = Duration::from_millis(4_000);
/// Time between two looks at what is in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Error of the start.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// An address cannot be bound.
    #[error("{address} cannot be bound: {error}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        error: io::Error,
    },
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signal(io::Error),
}

/// Runs an instance until it was asked to stop and has done so.
///
/// # Errors
/// When an address cannot be bound or signals cannot be received.
pub async fn run(
    node: Arc<RelayNode>,
    metrics: PrometheusHandle,
    reload: impl Fn(&RelayNode),
) -> Result<(), RelayError> {
    let listen = node.settings.listen;
    let signal = |kind| unix::signal(kind).map_err(RelayError::Signal);
    let (mut stop, mut hang_up) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let mut interrupt = signal(SignalKind::interrupt())?;
    let callers = bind(listen.calls)?;
    for address in distinct([listen.readiness, listen.directory]) {
        tokio::spawn(entry_server::run(node.clone(), bind(address)?, EntryEndpoints::Discovery));
    }
    tokio::spawn(store_tunnel::run(node.clone(), bind(listen.tunnel)?));
    match bind(listen.metrics) {
        Ok(listener) => {
            let endpoints = EntryEndpoints::Metrics(metrics.clone());
            tokio::spawn(entry_server::run(node.clone(), listener, endpoints));
        }
        // Requests go on without metrics.
        Err(error) => node.emit(LogEvent::ListenFailed, slog::o!("error" => error.to_string())),
    }
    for scope in [MirrorScope::Operators, MirrorScope::Replicas, MirrorScope::Own] {
        tokio::spawn(StoreMirror::new(node.clone(), scope).run());
    }
    let registry = tokio::spawn(member_registry::run(node.clone()));
    tokio::spawn(RolloutDuty::new(node.clone()).run());
    let paths = node.store.clone();
    tokio::spawn(async move { paths.run_trials().await });
    tokio::spawn(process_output::run_metrics_upkeep(metrics));
    tokio::spawn(upkeep(node.clone()));
    tokio::spawn(caller_server::run(node.clone(), callers));
    node.emit(LogEvent::InstanceReady, slog::o!("calls" => listen.calls.to_string()));
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(&node),
        }
    }
    drain(&node).await;
    // The entry may be out of reach; its lease then ends by itself.
    let _ = tokio::time::timeout(DRAIN_INTERVAL, registry).await;
    Ok(())
}

async fn drain(node: &RelayNode) {
    let started = Instant::now();
    node.emit(LogEvent::ShutdownStarted, slog::o!("in_flight" => in_flight(node)));
    node.start_drain();
    let limit = node.drain_timeout();
    let least = LEAST_DRAIN_TIME.min(limit);
    while started.elapsed() < limit && (started.elapsed() < least || in_flight(node) > 0) {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    let left = in_flight(node);
    let event = if left > 0 { LogEvent::ShutdownForced } else { LogEvent::ShutdownFinished };
    node.emit(event, slog::o!("in_flight" => left));
}

fn in_flight(node: &RelayNode) -> usize {
    node.calls_in_flight.load(Ordering::Relaxed)
}

async fn upkeep(node: Arc<RelayNode>) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        member_registry::drop_lapsed(&node);
        node.connection_pool.lock().prune(Instant::now());
        let tunnels: Vec<_> = {
            let members = node.members.lock();
            let others = members.iter().filter(|(name, _)| **name != node.settings.name);
            others.map(|(_, entry)| entry.tunnel).collect()
        };
        node.store.set_tunnels(tunnels);
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, RelayError> {
    accept_loop::bind(address).map_err(|error| RelayError::Listen { address, error })
}

fn distinct(addresses: [SocketAddr; 2]) -> Vec<SocketAddr> {
    let [first, second] = addresses;
    if first == second { vec![first] } else { vec![first, second] }
}

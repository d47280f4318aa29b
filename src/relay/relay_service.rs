//! Start, maintenance and shutdown of a relay instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::signal::unix::{self, SignalKind};
use tokio::time::Instant;

use super::discovery_server::{self, ServedEndpoints};
use super::memory_holder::MemoryHolder;
use super::mirror_scope::MirrorScope;
use super::relay_node::RelayNode;
use super::rollout_controller::RolloutController;
use super::shared_feed::feed_server;
use super::store_mirror::StoreMirror;
use super::{
    accept_loop, caller_server, era_recovery, member_registry, store_tunnel, suspect_writer,
};
use crate::event_catalogue::LogEvent;
use crate::process_output;

const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time from the order to stop to the exit. Callers cache a response of the directory for
/// some seconds and open new connections until then.
const MIN_DRAIN_DURATION: Duration = Duration::from_millis(4_000);
/// Time between two checks for calls in flight during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error that prevents the start of an instance.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("cannot install a signal handler: {0}")]
    Signal(io::Error),
}

/// Runs an instance until a signal tells it to stop, and then drains it. Calls `reload` on SIGHUP.
///
/// # Errors
/// When an address cannot be bound or a signal handler cannot be installed.
pub async fn run(
    node: Arc<RelayNode>,
    metrics: PrometheusHandle,
    reload: impl Fn(&RelayNode),
) -> Result<(), RelayError> {
    let listen = node.settings.listen;
    let signal = |kind| unix::signal(kind).map_err(RelayError::Signal);
    let (mut terminate, mut hang_up) =
        (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let mut interrupt = signal(SignalKind::interrupt())?;
    let callers = bind(listen.calls)?;
    for address in distinct_addresses([listen.readiness, listen.directory]) {
        tokio::spawn(discovery_server::run(
            node.clone(),
            bind(address)?,
            ServedEndpoints::Discovery,
        ));
    }
    tokio::spawn(store_tunnel::run(node.clone(), bind(listen.tunnel)?));
    tokio::spawn(feed_server::run(node.clone(), bind(listen.feed)?));
    match bind(listen.metrics) {
        Ok(listener) => {
            let endpoints = ServedEndpoints::Metrics(metrics.clone());
            tokio::spawn(discovery_server::run(node.clone(), listener, endpoints));
        }
        // Calls can be answered without metrics.
        Err(error) => node.emit(LogEvent::ListenFailed, slog::o!("error" => error.to_string())),
    }
    for scope in MirrorScope::ALL {
        tokio::spawn(StoreMirror::new(node.clone(), scope).run());
    }
    let registry = tokio::spawn(member_registry::run(node.clone()));
    tokio::spawn(RolloutController::new(node.clone()).run());
    tokio::spawn(suspect_writer::run(node.clone()));
    tokio::spawn(era_recovery::run(node.clone()));
    let store = node.store.clone();
    tokio::spawn(async move { store.run_direct_probes().await });
    tokio::spawn(process_output::run_metrics_upkeep(metrics));
    tokio::spawn(run_maintenance(node.clone()));
    tokio::spawn(caller_server::run(node.clone(), callers));
    node.emit(LogEvent::InstanceReady, slog::o!("calls" => listen.calls.to_string()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(&node),
        }
    }
    drain(&node).await;
    // The store may be unreachable. The member entry then goes when its lease expires.
    let _ = tokio::time::timeout(DRAIN_POLL_INTERVAL, registry).await;
    Ok(())
}

/// Waits for the calls in flight, within the bounds for a drain.
async fn drain(node: &RelayNode) {
    let started = Instant::now();
    node.emit(LogEvent::ShutdownStarted, slog::o!("in_flight" => calls_in_flight(node)));
    node.start_drain();
    let timeout = node.drain_timeout();
    let min_duration = MIN_DRAIN_DURATION.min(timeout);
    while started.elapsed() < timeout
        && (started.elapsed() < min_duration || calls_in_flight(node) > 0)
    {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let remaining = calls_in_flight(node);
    let event = if remaining > 0 { LogEvent::ShutdownForced } else { LogEvent::ShutdownFinished };
    node.emit(event, slog::o!("in_flight" => remaining));
}

fn calls_in_flight(node: &RelayNode) -> usize {
    node.calls_in_flight.load(Ordering::Relaxed)
}

/// Removes expired members and old connections, publishes the memory in use, and keeps the store's list of tunnels current.
async fn run_maintenance(node: Arc<RelayNode>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        member_registry::remove_expired(&node);
        era_recovery::finish(&node);
        node.connection_pool.lock().prune(Instant::now());
        for holder in MemoryHolder::ALL {
            let held = metrics::gauge!("yuccareel_memory_held_bytes", "holder" => holder.label());
            held.set(node.memory.used(holder) as f64);
        }
        let tunnels: Vec<_> = {
            let members = node.members.lock();
            let others = members.iter().filter(|(name, _)| **name != node.settings.name);
            others.map(|(_, entry)| entry.tunnel).collect()
        };
        node.store.set_peer_tunnels(tunnels);
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, RelayError> {
    accept_loop::bind(address).map_err(|error| RelayError::Listen { address, error })
}

fn distinct_addresses(addresses: [SocketAddr; 2]) -> Vec<SocketAddr> {
    let [first, second] = addresses;
    if first == second { vec![first] } else { vec![first, second] }
}

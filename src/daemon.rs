//! The daemon: builds a node from its settings, serves it, and ends it on a signal.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use salvo::fuse::FuseConfig;
use salvo::prelude::{Router, Server};
use tokio::signal::unix;

use crate::event_catalogue::{self, LogEvent};
use crate::{
    admin_handler, engine_client, http_listener, http_server, instance_list, kv_client, node,
    node_admin, openapi, peer_handshake, process_output, rating_client, settings,
    weight_store_client,
};

/// Time between two looks at whether the instance is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// Time for the server to close idle connections once no request is left.
const SERVER_STOP_TIME: Duration = Duration::from_secs(1);

/// Error of the start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address cannot be bound.
    #[error("{address} cannot be bound: {error}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        error: std::io::Error,
    },
    /// The node cannot be set up.
    #[error(transparent)]
    Node(#[from] node::NodeError),
    /// HTTP library cannot be set up.
    #[error("HTTP client: {0}")]
    Http(#[from] reqwest::Error),
    /// Secret between instances is too short.
    #[error("secret between instances is too short")]
    SecretShort,
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signal(std::io::Error),
}

/// Node with its HTTP server.
pub struct ServedNode {
    /// Running node.
    pub running: node::RunningNode,
    /// Address for callers.
    pub address: SocketAddr,
    server: salvo::server::ServerHandle,
    serving: tokio::task::JoinHandle<()>,
}

impl ServedNode {
    /// Starts a node and its HTTP server.
    ///
    /// # Errors
    /// When an address cannot be bound or the node cannot be set up.
    pub async fn start(
        settings: &settings::Settings,
        logger: slog::Logger,
        metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
    ) -> Result<Self, DaemonError> {
        let listen_error = |address| move |error| DaemonError::Listen { address, error };
        let peer_listener =
            TcpListener::bind(settings.peer_listen).map_err(listen_error(settings.peer_listen))?;
        let peer_port =
            peer_listener.local_addr().map_err(listen_error(settings.peer_listen))?.port();
        let (acceptor, address) =
            http_listener::bind(settings.listen).map_err(listen_error(settings.listen))?;
        let options = node_options(settings, logger, address.port(), peer_port)?;
        let node = node::Node::new(options)?;
        let router = router(&node, settings, metrics);
        // The library's default of 30 s takes precedence over a limit set at the HTTP/1 builder.
        let fuse = FuseConfig::default().with_http1_header_timeout(settings.limits.header_timeout);
        let mut server = Server::new(acceptor).fuse_config(fuse);
        server.http1_mut().max_buf_size(settings.limits.header_bytes.max(8 << 10));
        let handle = server.handle();
        let serving = tokio::spawn(server.serve(router));
        let running = node.start(peer_listener)?;
        Ok(Self { running, address, server: handle, serving })
    }

    /// Leaves, finishes all requests, and ends.
    ///
    /// The HTTP server ends before the last bills are flushed, because a request that is cut at
    /// the shutdown limit is billed when its connection is dropped.
    pub async fn shut_down(self) {
        self.running.drain().await;
        self.server.stop_graceful(SERVER_STOP_TIME);
        // The server task only ends; its result says nothing.
        let _ = self.serving.await;
        self.running.finish().await;
    }

    /// Ends at once, as a kill would.
    pub fn kill(self) {
        self.serving.abort();
        self.server.stop_forceful();
        self.running.kill();
    }
}

fn node_options(
    settings: &settings::Settings,
    logger: slog::Logger,
    port: u16,
    peer_port: u16,
) -> Result<node::NodeOptions, DaemonError> {
    let http = reqwest::Client::builder().connect_timeout(engine_client::HEAD_TIMEOUT).build()?;
    let rating = settings.rating_url.as_ref().map(|url| {
        Arc::new(rating_client::HttpRatingService::new(http.clone(), url))
            as Arc<dyn rating_client::RatingService>
    });
    let peer_secret = peer_handshake::SharedSecret::new(settings.peer_secret.bytes())
        .ok_or(DaemonError::SecretShort)?;
    Ok(node::NodeOptions {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        advertise: with_port(settings.advertise, port),
        peer_advertise: with_port(settings.peer_advertise, peer_port),
        body_limit: settings.limits.body_bytes,
        body_timeout: settings.limits.body_timeout,
        request_timeout: settings.limits.request_timeout,
        leave_time: node::LEAVE_TIME.min(settings.limits.shutdown_timeout),
        shutdown_timeout: settings.limits.shutdown_timeout,
        peer_secret,
        store: Arc::new(kv_client::HttpKvStore::new(http.clone(), &settings.kv_url)),
        list: instance_list::ListClient::new(http.clone(), &settings.instance_list_url),
        weights: settings
            .weight_store_url
            .as_ref()
            .map(|url| weight_store_client::WeightStoreClient::new(http, url)),
        rating,
        logger,
    })
}

/// Replaces port 0 by the port that was bound.
fn with_port(address: SocketAddr, bound: u16) -> SocketAddr {
    let port = if address.port() == 0 { bound } else { address.port() };
    SocketAddr::new(address.ip(), port)
}

fn router(
    node: &Arc<node::Node>,
    settings: &settings::Settings,
    metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
) -> Router {
    let admin = Arc::new(admin_handler::AdminState {
        store: Arc::clone(&node.options.store),
        snapshot: Arc::clone(&node.snapshot),
        context: Arc::new(node_admin::NodeAdmin::new(Arc::clone(node))),
        operator_token_sha256: settings.operator_token_sha256,
    });
    Router::new()
        .push(admin_handler::router(admin))
        .push(openapi::router())
        .push(http_server::metrics_router(metrics))
        .push(http_server::router(node))
}

/// Runs an instance until a signal ends it.
///
/// # Errors
/// When the instance cannot be started.
pub async fn run(
    settings: settings::Settings,
    logger: slog::Logger,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) -> Result<(), DaemonError> {
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(DaemonError::Signal)?;
    let served = ServedNode::start(&settings, logger.clone(), Some(metrics.clone())).await?;
    let upkeep = tokio::spawn(process_output::run_metrics_upkeep(metrics));
    event_catalogue::emit(
        &logger,
        LogEvent::InstanceStarted,
        slog::o!(
            "listen" => served.address.to_string(),
            "peer_listen" => served.running.peer_address().to_string()
        ),
    );
    let node = Arc::clone(&served.running.node);
    let ready_logger = logger.clone();
    let ready = tokio::spawn(async move {
        while !node.ready() {
            tokio::time::sleep(READY_POLL).await;
        }
        event_catalogue::emit(&ready_logger, LogEvent::InstanceReady, slog::o!());
    });
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result.map_err(DaemonError::Signal)?,
    }
    ready.abort();
    upkeep.abort();
    served.shut_down().await;
    event_catalogue::emit(&logger, LogEvent::ShutdownFinished, slog::o!());
    Ok(())
}

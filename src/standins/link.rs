//! TCP links whose open connections can go silent while new ones work.
//!
//! Something between two ends that lost track of a connection drops its bytes for good, and
//! neither end sees it close. The link keeps both sockets of such a connection open and
//! forwards nothing more.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Link to one target.
pub struct LinkStandin {
    /// Address that callers connect to.
    pub address: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    accepted: Arc<AtomicUsize>,
    silenced: watch::Sender<()>,
    task: JoinHandle<()>,
}

impl LinkStandin {
    /// Link without a target; it closes connections until it has one.
    ///
    /// # Panics
    /// When loopback has no free port.
    pub async fn bind() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let target = Arc::new(OnceLock::new());
        let accepted = Arc::new(AtomicUsize::new(0));
        let (silenced, _) = watch::channel(());
        let (to, count) = (Arc::clone(&target), Arc::clone(&accepted));
        let task = tokio::spawn(accept(listener, to, count, silenced.clone()));
        Self { address, target, accepted, silenced, task }
    }

    /// Sets the target, once.
    pub fn connect_to(&self, target: SocketAddr) {
        // A second target would be a different link.
        let _ = self.target.set(target);
    }

    /// Connections that callers opened so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Silences the connections that are open now.
    pub fn silence_open(&self) {
        self.silenced.send_replace(());
    }
}

impl Drop for LinkStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<OnceLock<SocketAddr>>,
    accepted: Arc<AtomicUsize>,
    silenced: watch::Sender<()>,
) {
    let mut connections = JoinSet::new();
    while let Ok((caller, _)) = listener.accept().await {
        accepted.fetch_add(1, Ordering::SeqCst);
        while connections.try_join_next().is_some() {}
        if let Some(&target) = target.get() {
            connections.spawn(forward(caller, target, silenced.subscribe()));
        }
    }
}

async fn forward(mut caller: TcpStream, target: SocketAddr, mut silenced: watch::Receiver<()>) {
    let Ok(mut called) = TcpStream::connect(target).await else { return };
    // Small frames are not delayed by the link.
    let _ = (caller.set_nodelay(true), called.set_nodelay(true));
    let silent = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut caller, &mut called) => false,
        changed = silenced.changed() => changed.is_ok(),
    };
    if silent {
        std::future::pending::<()>().await;
    }
}

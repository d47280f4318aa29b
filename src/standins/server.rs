//! Loopback HTTP server for a stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use salvo::conn::Acceptor as _;
use salvo::prelude::{Listener as _, Router, Server, TcpListener};

/// Serves a router on a free loopback port until the task is dropped.
pub async fn serve(router: Router) -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let acceptor = TcpListener::new((Ipv4Addr::LOCALHOST, 0)).bind().await;
    let bound = acceptor.holdings()[0].local_addr.clone();
    let address = bound.into_std().unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let task = tokio::spawn(Server::new(acceptor).serve(router));
    (address, task)
}

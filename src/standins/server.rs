//! Loopback HTTP server for a stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use salvo::prelude::{Request, Response, Router, Server};

use crate::http_listener;

/// Serves a router on a free loopback port until the task is dropped.
///
/// # Panics
/// When loopback has no free port.
pub async fn serve(router: Router) -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (acceptor, address) = http_listener::bind(loopback).expect("loopback has a free port");
    let task = tokio::spawn(Server::new(acceptor).serve(router));
    (address, task)
}

/// Names the request in its answer, if it has an identifier.
pub fn repeat_request_id(request: &Request, response: &mut Response) {
    if let Some(id) = request.headers().get("x-request-id") {
        response.headers_mut().insert("x-request-id", id.clone());
    }
}

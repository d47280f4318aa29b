//! Whole platform on loopback: key-value service, instance list, engines and
//! plain services.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use salvo::prelude::Router;
use tokio::task::JoinHandle;

use crate::standins::{engine, kv, kv_http, link, list, server, service};
use crate::{ids, instance_list};

/// Engine with the place where it runs.
#[derive(Clone)]
pub struct PlacedEngine {
    /// Engine.
    pub engine: engine::EngineStandin,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
}

/// Plain service replica with the place where it runs.
#[derive(Clone)]
pub struct PlacedService {
    /// Replica; replicas of one service share their count of runs.
    pub service: service::ServiceStandin,
    /// Replica name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
}

/// Platform stand-ins of one test or example.
pub struct PlatformStandin {
    /// Peer secret of the instances on this platform. Platforms side by side take over each
    /// other's freed ports; with one secret for all, instances took foreign configuration.
    pub peer_secret: [u8; 16],
    /// Key-value service.
    pub kv: kv::KvStandin,
    /// Address of the key-value service.
    pub kv_address: SocketAddr,
    /// Instance list.
    pub list: list::ListStandin,
    /// Address of the instance list.
    pub list_address: SocketAddr,
    /// Engines.
    pub engines: Vec<PlacedEngine>,
    /// Plain services.
    pub services: Vec<PlacedService>,
    links: Option<Vec<link::LinkStandin>>,
    tasks: Vec<JoinHandle<()>>,
}

impl PlatformStandin {
    /// Platform without backend servers, reached directly.
    pub async fn start() -> Self {
        Self::serving(None).await
    }

    /// Platform without backend servers, reached through links that can go silent.
    pub async fn start_linked() -> Self {
        Self::serving(Some(Vec::new())).await
    }

    async fn serving(links: Option<Vec<link::LinkStandin>>) -> Self {
        let (kv, list) = (kv::KvStandin::default(), list::ListStandin::default());
        let mut platform = Self {
            peer_secret: rand::random(),
            kv_address: loopback(),
            list_address: loopback(),
            engines: Vec::new(),
            services: Vec::new(),
            links,
            tasks: Vec::new(),
            kv: kv.clone(),
            list: list.clone(),
        };
        platform.kv_address = platform.serve(kv_http::router(kv)).await;
        platform.list_address = platform.serve(list.router()).await;
        platform
    }

    /// Serves a router; returns the address at which instances reach it.
    async fn serve(&mut self, router: Router) -> SocketAddr {
        let (address, task) = server::serve(router).await;
        self.tasks.push(task);
        let Some(links) = &mut self.links else { return address };
        let link = link::LinkStandin::bind().await;
        link.connect_to(address);
        let address = link.address;
        links.push(link);
        address
    }

    /// Silences the open connections of all links for good; new ones work.
    pub fn silence_connections(&self) {
        self.links.iter().flatten().for_each(link::LinkStandin::silence_open);
    }

    /// Starts an engine and lists it.
    pub async fn add_engine(
        &mut self,
        data_centre: &str,
        options: engine::EngineOptions,
        warm: bool,
        checks_fencing: bool,
    ) -> engine::EngineStandin {
        let engine = engine::EngineStandin::new(options, warm);
        engine.checks_fencing.store(checks_fencing, std::sync::atomic::Ordering::SeqCst);
        let address = self.serve(engine.router()).await;
        self.list_instance(
            &engine.options.name,
            address,
            data_centre,
            instance_list::InstanceRole::Engine {
                model: engine.options.model.as_str().into(),
                version: engine.options.version.as_str().into(),
                checks_fencing,
            },
        );
        let data_centre = data_centre.into();
        self.engines.push(PlacedEngine { engine: engine.clone(), address, data_centre });
        engine
    }

    /// Starts a replica of a plain service and lists it.
    pub async fn add_service(
        &mut self,
        data_centre: &str,
        service_name: &str,
        name: &str,
        service: service::ServiceStandin,
    ) {
        let address = self.serve(service.router()).await;
        let role = instance_list::InstanceRole::Service { service: service_name.into() };
        self.list_instance(name, address, data_centre, role);
        let (name, data_centre) = (name.to_owned(), data_centre.into());
        self.services.push(PlacedService { service, name, address, data_centre });
    }

    /// Lists an entry instance.
    pub fn list_entry(
        &self,
        name: &str,
        address: SocketAddr,
        peer_address: SocketAddr,
        data_centre: &str,
    ) {
        let mut instances = self.list.instances.lock();
        instances.retain(|instance| &*instance.name != name);
        instances.push(instance_list::ListedInstance {
            name: name.into(),
            address,
            peer_address: Some(peer_address),
            data_centre: data_centre.into(),
            role: instance_list::InstanceRole::Entry,
            state: instance_list::InstanceState::Live,
        });
    }

    fn list_instance(
        &self,
        name: &str,
        address: SocketAddr,
        data_centre: &str,
        role: instance_list::InstanceRole,
    ) {
        self.list.instances.lock().push(instance_list::ListedInstance {
            name: name.into(),
            address,
            peer_address: None,
            data_centre: data_centre.into(),
            role,
            state: instance_list::InstanceState::Live,
        });
    }

    /// Requests that all engines admitted.
    pub fn admitted(&self) -> usize {
        self.engines.iter().map(|placed| placed.engine.received.lock().len()).sum()
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Loopback address on a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

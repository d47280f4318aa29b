//! Client of the platform's instance list.
//!
//! The list lags: an instance may be gone or new for a while before it says so.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ids, renewable_client};

/// Time for one read of the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Unique name.
    pub name: ids::ReplicaName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for calls between nodes; only on entry instances.
    pub peer_address: Option<SocketAddr>,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
    /// What runs there.
    pub role: InstanceRole,
    /// Live or leaving.
    pub state: InstanceState,
}

/// What runs on an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum InstanceRole {
    /// Node of yuccareel.
    Entry,
    /// Model engine with one model and version loaded.
    Engine {
        /// Model that is loaded.
        model: ids::ModelName,
        /// Version that is loaded.
        version: ids::VersionName,
        /// Whether the engine refuses orders with an old fencing token.
        checks_fencing: bool,
    },
    /// Plain service.
    Service {
        /// Service record that it serves.
        service: ids::ServiceName,
    },
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Takes new work.
    Live,
    /// Finishes its work and takes no more.
    Leaving,
}

/// Error of a read of the instance list.
#[derive(Debug, thiserror::Error)]
#[error("instance list: {0}")]
pub struct ListError(#[from] reqwest::Error);

/// Client of the instance list.
#[derive(Clone, Debug)]
pub struct ListClient {
    http: renewable_client::RenewableClient,
    base_url: String,
}

impl ListClient {
    /// Client for a base URL.
    pub fn new(http: reqwest::Client, base_url: impl Into<String>) -> Self {
        let http = renewable_client::RenewableClient::new(http);
        Self { http, base_url: base_url.into() }
    }

    /// Reads the whole list.
    ///
    /// # Errors
    /// When the service cannot be reached, is slower than 2 s or answers with anything but a list.
    pub async fn read(&self) -> Result<Vec<ListedInstance>, ListError> {
        let url = format!("{}/instances", self.base_url);
        let call = self.http.start_call();
        let reply = call.http().get(url).timeout(LIST_TIMEOUT).send().await?;
        let entries = reply.error_for_status()?.json().await?;
        call.answered();
        Ok(entries)
    }
}

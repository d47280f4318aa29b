//! Entries of a configuration in the order in which the operator wrote them.
//!
//! `RelayConfig` is indexed for routing and no longer shows an entry that another one replaces,
//! such as a service of the same name. Checks therefore read the entries.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use super::relay_config::{CallerLimits, CustomerRow, RelayConfig, RouteRow, ServiceRow};

/// Customer with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerEntry {
    pub row: CustomerRow,
    pub keys: Vec<Bytes>,
}

/// Entries of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigEntries {
    /// Version; a newer configuration has a higher one.
    pub version: u64,
    pub routes: Vec<RouteRow>,
    pub services: Vec<ServiceRow>,
    /// Customers; `None` if no call needs a key.
    pub customers: Option<Vec<CustomerEntry>>,
    pub limits: CallerLimits,
}

impl From<ConfigEntries> for RelayConfig {
    /// Of entries with the same name or key, the last one is kept.
    fn from(entries: ConfigEntries) -> Self {
        let mut config = Self {
            version: entries.version,
            customers: entries.customers.map(customers_by_key),
            limits: entries.limits,
            ..Self::default()
        };
        for route in entries.routes {
            config.insert_route(route);
        }
        for service in entries.services {
            config.services.insert(service.name.clone(), service);
        }
        config
    }
}

fn customers_by_key(entries: Vec<CustomerEntry>) -> HashMap<Bytes, Arc<CustomerRow>> {
    let mut customers = HashMap::new();
    for entry in entries {
        let row = Arc::new(entry.row);
        for key in entry.keys {
            customers.insert(key, row.clone());
        }
    }
    customers
}

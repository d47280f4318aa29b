//! Plain service record.

use serde::{Deserialize, Serialize};

use crate::ids;

/// Plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Unique name.
    pub name: ids::ServiceName,
    /// Path prefix that selects the service, with a leading slash.
    pub path_prefix: String,
    /// Statements per route; the first match decides.
    pub routes: Vec<ServiceRoute>,
    /// Time for one call, in milliseconds.
    pub timeout_ms: u64,
}

/// Statement on the calls of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// HTTP method in capitals, or `*`.
    pub method: String,
    /// Path prefix below the service's prefix.
    pub path: String,
    /// Whether the call may be repeated.
    pub repeatable: bool,
}

impl ServiceRecord {
    /// Whether a call may be repeated.
    ///
    /// Without a statement only the methods that HTTP defines as safe are repeatable.
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        let rest = path.strip_prefix(self.path_prefix.as_str()).unwrap_or(path);
        self.routes
            .iter()
            .find(|route| {
                (route.method == "*" || route.method == method) && rest.starts_with(&route.path)
            })
            .map_or(matches!(method, "GET" | "HEAD" | "OPTIONS"), |route| route.repeatable)
    }
}

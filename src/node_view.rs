//! Members and freshness as the request path reads them.

use crate::{endpoint_answer, freshness, ids};

/// Members and freshness as of the last tick.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeView {
    /// Digest of the member states from which the view was derived.
    pub digest: u64,
    /// Whether this node may start work.
    pub freshness: freshness::Freshness,
    /// Live nodes in the order of their names, this one included.
    pub members: Vec<ids::InstanceName>,
    /// Nodes that are leaving; they finish their requests.
    pub leaving: Vec<ids::InstanceName>,
    /// Processes that may still run requests.
    pub processes: Vec<ids::InstanceName>,
    /// Nodes as callers see them.
    pub endpoints: Vec<endpoint_answer::EndpointMember>,
}

impl Default for NodeView {
    fn default() -> Self {
        Self {
            digest: 0,
            freshness: freshness::Freshness::Isolated,
            members: Vec::new(),
            leaving: Vec::new(),
            processes: Vec::new(),
            endpoints: Vec::new(),
        }
    }
}

//! What the administration API needs from the node that serves it.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::admin_types::{AuditReport, InstanceStatus};
use crate::config_change::ConfigChange;
use crate::error_body::RequestRefusal;

/// Node behind the administration API.
pub trait AdminContext: Send + Sync {
    /// Whether this node may accept changes now, or the refusal to answer with.
    ///
    /// A node accepts changes only while it is confirmed and reaches more than
    /// half of the members.
    fn may_accept(&self) -> Result<(), RequestRefusal>;

    /// Configuration state of every known instance, this one included.
    fn status(&self) -> BoxFuture<'_, Vec<InstanceStatus>>;

    /// Takes a committed change, to put it into effect here and to push it to peers.
    fn committed(&self, change: Arc<ConfigChange>);

    /// Checks the bill batches.
    fn audit(&self) -> BoxFuture<'_, Result<AuditReport, RequestRefusal>>;
}

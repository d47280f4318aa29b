//! Claim of a call on the single trial of a quarantined prompt part.
//!
//! A call may end at any time, as its caller disconnects or its time is over. The claim is given back
//! when it is dropped, unless the call was sent to a replica.

use std::fmt;
use std::sync::Arc;

use tokio::runtime::Handle;

use super::relay_node::RelayNode;
use super::suspect_writer;
use crate::ids;

/// Claim that the store holds for this instance.
pub struct TrialClaim {
    node: Arc<RelayNode>,
    part: ids::PromptPartId,
    /// Revision of the claim in the store.
    revision: ids::KvRevision,
    is_sent: bool,
}

impl TrialClaim {
    /// Claim that was written at `revision`.
    pub(super) fn new(
        node: Arc<RelayNode>,
        part: ids::PromptPartId,
        revision: ids::KvRevision,
    ) -> Self {
        Self { node, part, revision, is_sent: false }
    }

    /// Records that the call is sent to a replica, which uses up the trial.
    pub(super) fn set_sent(&mut self) {
        self.is_sent = true;
    }
}

impl Drop for TrialClaim {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let Ok(runtime) = Handle::try_current() else { return };
        let (node, part, revision) = (self.node.clone(), self.part, self.revision);
        runtime.spawn(async move { suspect_writer::release_trial(&node, part, revision).await });
    }
}

impl fmt::Debug for TrialClaim {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("TrialClaim");
        debug.field("part", &self.part).field("revision", &self.revision);
        debug.field("is_sent", &self.is_sent).finish_non_exhaustive()
    }
}

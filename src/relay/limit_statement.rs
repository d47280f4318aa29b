//! What answers of a replica say of the requests that it takes from all instances together.

use tokio::time::Instant;

use super::limit_share::LimitShare;
use super::replica_choice::ChoiceContext;
use super::replica_limit::ReplicaLimit;
use crate::ids;

/// Change of the limit of a replica, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The replica states a limit, in requests per second.
    Begins(f64),
    /// The replica no longer states one.
    Ends,
}

/// What one answer of a replica says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LimitStatement {
    /// Requests per second; `None` if the answer states no limit.
    pub(super) rate_per_s: Option<f64>,
    /// Time at which the answered request was sent.
    pub(super) sent_at: Instant,
}

impl LimitStatement {
    /// Applies the statement to the limit of the process that gave it; returns what it changed.
    pub(super) fn apply(
        self,
        limit: &mut Option<Box<ReplicaLimit>>,
        replica: &ids::ReplicaName,
        context: &ChoiceContext<'_>,
    ) -> Option<LimitChange> {
        let now = context.now;
        match (&mut *limit, self.rate_per_s) {
            (Some(limit), Some(rate)) => {
                limit.restate(now);
                if limit.rate_per_s() != rate {
                    limit.change_share(rate, LimitShare::new(rate, replica, context), now);
                }
                None
            }
            (Some(former), None) if former.ends_with_answer_to(self.sent_at) => {
                *limit = None;
                Some(LimitChange::Ends)
            }
            (None, Some(rate)) => {
                let share = LimitShare::new(rate, replica, context);
                *limit = Some(Box::new(ReplicaLimit::new(rate, share, now)));
                Some(LimitChange::Begins(rate))
            }
            (_, None) => None,
        }
    }
}

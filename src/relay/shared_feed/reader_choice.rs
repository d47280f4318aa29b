//! Choice of the instance from which another one takes the records of a scope.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::relay::member_list::MemberEntry;
use crate::relay::mirror_scope::MirrorScope;
use crate::{ids, rendezvous};

/// Members of a data centre from which reading is shared. With fewer, the short polls of a reader
/// cost more calls than the long polls of all.
pub const MIN_SHARED_MEMBERS: usize = 5;
/// Time for which a reader that gave no usable answer is not asked again.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(4);

/// Source of the records of a scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The store. `has_readers` is set if other instances are expected to read from this one.
    Store { has_readers: bool },
    /// Another instance of the data centre, at this address.
    Reader(ids::InstanceName, SocketAddr),
}

/// Choice of the reader for one scope, with the readers that failed lately.
#[derive(Debug, Default)]
pub struct ReaderChoice {
    avoided_until: HashMap<ids::InstanceName, Instant>,
}

impl ReaderChoice {
    /// Source of the records of `scope` for instance `own_name` in `data_centre`.
    ///
    /// The candidates are ranked by the speed of their links and then by rendezvous hashing, so that
    /// instances with the same members choose the same one.
    pub fn source<'a>(
        &self,
        members: impl Iterator<Item = (&'a ids::InstanceName, &'a MemberEntry)>,
        own_name: &str,
        data_centre: &str,
        scope: MirrorScope,
        now: Instant,
    ) -> RecordSource {
        let local: Vec<_> =
            members.filter(|(_, entry)| *entry.data_centre == *data_centre).collect();
        if local.len() < MIN_SHARED_MEMBERS {
            return RecordSource::Store { has_readers: false };
        }
        let candidates = local.into_iter().filter_map(|(name, entry)| {
            let is_usable = **name == *own_name || !self.is_avoided(name, now);
            entry.feed.filter(|_| is_usable).map(|feed| (name, entry.link_mbps, feed))
        });
        let first = candidates.max_by_key(|(name, link_mbps, _)| {
            (*link_mbps, rendezvous::member_rank(scope.label(), name))
        });
        match first {
            Some((name, _, feed)) if **name != *own_name => {
                RecordSource::Reader(name.clone(), feed)
            }
            Some(_) => RecordSource::Store { has_readers: true },
            None => RecordSource::Store { has_readers: false },
        }
    }

    /// Records that a reader gave no usable answer.
    pub fn record_failure(&mut self, reader: ids::InstanceName, now: Instant) {
        self.avoided_until.retain(|_, until| now < *until);
        self.avoided_until.insert(reader, now + AVOIDANCE_PERIOD);
    }

    fn is_avoided(&self, name: &str, now: Instant) -> bool {
        self.avoided_until.get(name).is_some_and(|until| now < *until)
    }
}

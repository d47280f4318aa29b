//! Holders of the memory that the process lends to its peers.

/// Part of the process that holds bytes of peers. Each has its share of the memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryHolder {
    /// Bodies of requests above [`SHORT_BODY_BYTES`], while they are read and while their call runs.
    LongBodies,
    /// Bodies of requests up to [`SHORT_BODY_BYTES`], which long ones cannot displace.
    ShortBodies,
    /// Bodies of answers, while they are read and until their caller has received them.
    Answers,
    /// Tunnel, feed, directory, readiness and metrics ports.
    Ports,
}

/// Size up to which the body of a request is short. Most bodies are, and fit into two reads.
pub const SHORT_BODY_BYTES: usize = 16 * 1_024;

impl MemoryHolder {
    pub const ALL: [Self; 4] = [Self::LongBodies, Self::ShortBodies, Self::Answers, Self::Ports];

    /// Label of the holder in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::LongBodies => "long_bodies",
            Self::ShortBodies => "short_bodies",
            Self::Answers => "answers",
            Self::Ports => "ports",
        }
    }

    /// Share of the memory limit in sixteenths. The five that are left are for the process itself:
    /// its code, the records of the store and the state of its connections.
    pub(super) fn share_sixteenths(self) -> u64 {
        match self {
            Self::LongBodies => 5,
            Self::ShortBodies => 2,
            Self::Answers => 3,
            Self::Ports => 1,
        }
    }
}

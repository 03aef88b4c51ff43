use {
    crate::cluster::{DaemonEntry, DaemonStatus},
    bincode::{Decode, Encode},
};

/// What a daemon reports to a hub of its failure domain.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Report {
    /// The daemon.
    pub daemon: DaemonEntry,
    /// Which life of it.
    pub incarnation: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    /// After how long it will report again at the latest, in milliseconds.
    pub interval_ms: u32,
    /// Whether it lets its requests in through this hub.
    pub is_dependent: bool,
    /// Whether it wants the hub's digest.
    pub wants_digest: bool,
    /// Whether it wants to be told of quotas and other daemons, too.
    pub wants_all: bool,
    /// Its state.
    pub status: DaemonStatus,
    /// What happened lately, numbered in order: told twice, taken in once.
    pub events: Vec<(u64, MemberEvent)>,
    /// What it let in by itself, by client account; the same until the hub has
    /// heard `standalone_batch`.
    pub admitted_standalone: Vec<(String, f64)>,
    /// The number of `admitted_standalone`; 0 for none.
    pub standalone_batch: u64,
}

/// What happened to a request of a daemon: hubs learn from it how upstreams
/// fare and how fast engines are.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum MemberEvent {
    /// A request ended at an upstream.
    Ended {
        /// The upstream.
        upstream: String,
        /// Whether it failed there.
        failed: bool,
    },
    /// An upstream could not be reached.
    Unreachable {
        /// The upstream.
        upstream: String,
    },
    /// An answer that nothing waited before began.
    FirstEvent {
        /// The service.
        service: String,
        /// The prompt tokens that had to be read.
        unread_tokens: u32,
        /// How long it took, in milliseconds.
        after_ms: f32,
    },
    /// Another upstream has the address of one.
    Misdirected {
        /// The upstream.
        upstream: String,
    },
    /// A request ended whole.
    Completed {
        /// The service.
        service: String,
        /// How long it was there, in milliseconds.
        ms: f32,
    },
}

use {
    crate::cluster::{DaemonEntry, DaemonStatus},
    bincode::{Decode, Encode},
};

/// A daemon's report to a hub of its failure domain.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Report {
    /// The daemon that reports.
    pub daemon: DaemonEntry,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// Increases with each report of an incarnation.
    pub sequence: u64,
    /// The longest time until its next report, in milliseconds.
    pub interval_ms: u32,
    /// True if the daemon sends its admission queries to this hub.
    pub is_dependent: bool,
    /// True if the daemon requests the hub's digest.
    pub wants_digest: bool,
    /// True if the digest shall name other daemons, and crashes, limits and quotas shall be sent
    /// along.
    pub wants_all: bool,
    /// The daemon's state.
    pub status: DaemonStatus,
    /// Recent events, numbered in order. Each is sent more than once, and the hub applies it
    /// once.
    pub events: Vec<(u64, MemberEvent)>,
    /// The units that the daemon admitted without a hub, by client account. The same batch is
    /// sent more than once, and the hub applies it once by the number in `standalone_batch`.
    pub admitted_standalone: Vec<(String, f64)>,
    /// The number of the batch in `admitted_standalone`; 0 if there is none.
    pub standalone_batch: u64,
}

/// An event of a daemon's request. Hubs learn from events which upstreams fail and how fast
/// engines are.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum MemberEvent {
    /// A request ended at an upstream.
    Ended {
        /// The upstream's id.
        upstream: String,
        /// True if it failed there.
        failed: bool,
    },
    /// An upstream could not be reached.
    Unreachable {
        /// The upstream's id.
        upstream: String,
    },
    /// An answer began, with no other request waiting before it at the upstream.
    FirstEvent {
        /// The service's name.
        service: String,
        /// The prompt tokens that the upstream had to process.
        unread_tokens: u32,
        /// The time to the first event of the answer, in milliseconds.
        after_ms: f32,
    },
    /// The address of an upstream belongs to another one.
    Misdirected {
        /// The upstream's id.
        upstream: String,
    },
    /// A request completed.
    Completed {
        /// The service's name.
        service: String,
        /// The time from its start to its end at the upstream, in milliseconds.
        ms: f32,
    },
}

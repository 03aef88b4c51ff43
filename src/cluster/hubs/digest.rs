use {
    crate::{
        cluster::{DaemonEntry, DaemonStatus},
        policy::PrefillSpeed,
        rollouts::Rollout,
    },
    bincode::{Decode, Encode},
    std::net::SocketAddr,
};

/// The most other daemons that a digest names, so that it fits into one datagram.
pub const MAX_DIGEST_DAEMONS: usize = 16;

/// A daemon that holds the duties, or that is ready to take them over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DutyDaemon {
    /// The address at which it receives datagrams of other daemons.
    pub address: SocketAddr,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// True if the daemon reports itself as the holder. Otherwise it watches the holder, and
    /// receives the same messages so that it can take over.
    pub holds: bool,
}

/// The state that a hub announces: several times a second to the other hubs, and less often to
/// the daemons of its failure domain that report to it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Digest {
    /// The hub that sends the digest.
    pub daemon: DaemonEntry,
    /// The hub's incarnation.
    pub incarnation: u64,
    /// Increases with each digest of an incarnation.
    pub sequence: u64,
    /// How long it has been a hub, in milliseconds.
    pub age_ms: u64,
    /// The time until the receiver gets the next digest, in milliseconds.
    pub interval_ms: u32,
    /// The number of daemons that send their admission queries to it, itself included.
    pub dependents: u32,
    /// The number of daemons that it knows of.
    pub daemons: u32,
    /// The daemon's state. A daemon that stops being a hub announces this, too.
    pub status: DaemonStatus,
    /// Daemons that hold the duties or are ready to take them over, as they report it.
    pub duty_daemons: Vec<DutyDaemon>,
    /// The work offered to it, per second and service.
    pub demand: Vec<(String, f32)>,
    /// By service, the time in which its engines process a prompt token, in milliseconds, and the
    /// number of comparisons behind this estimate.
    pub reading: Vec<(String, f32, u32)>,
    /// The newest rollout of each service.
    pub rollouts: Vec<Rollout>,
    /// Other daemons that it receives messages from.
    pub known: Vec<DaemonEntry>,
}

impl Digest {
    /// Creates a digest that holds nothing but its sender.
    pub fn new(daemon: DaemonEntry, incarnation: u64, sequence: u64) -> Self {
        Self {
            daemon,
            incarnation,
            sequence,
            age_ms: 0,
            interval_ms: 0,
            dependents: 1,
            daemons: 1,
            status: DaemonStatus {
                is_hub: true,
                ..DaemonStatus::default()
            },
            duty_daemons: Vec::new(),
            demand: Vec::new(),
            reading: Vec::new(),
            rollouts: Vec::new(),
            known: Vec::new(),
        }
    }

    /// Returns the prefill speed of a service's engines, or none if the digest has no valid
    /// value.
    pub fn prefill_speed(&self, service: &str) -> Option<PrefillSpeed> {
        let entry = self.reading.iter().find(|(name, ..)| name == service);
        let speed = entry.map(|(_, ms_per_token, comparisons)| PrefillSpeed {
            ms_per_token: f64::from(*ms_per_token),
            comparisons: *comparisons,
        });
        speed.filter(|s| s.ms_per_token > 0.0 && s.ms_per_token.is_finite())
    }
}

use {
    crate::{
        cluster::{DaemonEntry, DaemonStatus},
        policy::ReadingSpeed,
        rollouts::Rollout,
    },
    bincode::{Decode, Encode},
    std::net::SocketAddr,
};

/// How many other daemons a digest names: with them it stays below the size of
/// one datagram.
pub const MAX_DIGEST_DAEMONS: usize = 16;

/// A daemon that holds the duties, or that is ready to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DutyDaemon {
    /// Where it listens for other daemons.
    pub address: SocketAddr,
    /// Which life of it.
    pub incarnation: u64,
    /// Whether it says that it holds them; else it watches the holder, and wants
    /// to know the same.
    pub holds: bool,
}

/// What a hub tells of itself: the other hubs some times a second, and those of
/// its failure domain that report to it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Digest {
    /// The daemon.
    pub daemon: DaemonEntry,
    /// Which life of it.
    pub incarnation: u64,
    /// Rises with each digest of a life.
    pub sequence: u64,
    /// For how long it has run, in milliseconds.
    pub age_ms: u64,
    /// After how long it will tell the next one, in milliseconds.
    pub interval_ms: u32,
    /// How many daemons let requests in through it, itself among them.
    pub dependents: u32,
    /// How many daemons there are, as far as it knows.
    pub daemons: u32,
    /// Its state; that it no longer is a hub is told once.
    pub status: DaemonStatus,
    /// Daemons that hold the duties or are ready to, by what they say.
    pub duty_daemons: Vec<DutyDaemon>,
    /// By service, the work that it was offered, a second.
    pub demand: Vec<(String, f32)>,
    /// By service, how long its engines take to read a prompt token, in
    /// milliseconds, and on how many comparisons that rests.
    pub reading: Vec<(String, f32, u32)>,
    /// The newest roll-out of each service.
    pub rollouts: Vec<Rollout>,
    /// Other daemons that it hears.
    pub known: Vec<DaemonEntry>,
}

impl Digest {
    /// Starts a digest that tells nothing but who sends it.
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

    /// Returns what it tells of how fast a service's engines read.
    pub fn reading_speed(&self, service: &str) -> Option<ReadingSpeed> {
        let told = self.reading.iter().find(|(name, ..)| name == service);
        let speed = told.map(|(_, ms_per_token, comparisons)| ReadingSpeed {
            ms_per_token: f64::from(*ms_per_token),
            comparisons: *comparisons,
        });
        speed.filter(|s| s.ms_per_token > 0.0 && s.ms_per_token.is_finite())
    }
}

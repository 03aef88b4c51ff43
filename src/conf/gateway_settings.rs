use {
    super::{ConfError, Mechanisms, not_negative, positive},
    crate::{
        contracts::line_of,
        names::{BoxId, FailureDomain},
        policy::{FleetPolicy, QuarantineBounds, QuotaBounds},
    },
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// The part of a box's memory that may be used to buffer data for clients and upstreams that read
/// slowly. Most of the rest is for the daemon's state, its connections and the allocator's overhead.
const BUFFERED_SHARE: f64 = 0.125;

/// Window of the retry budgets on a platform whose settings name none, in seconds.
const PLATFORM_RETRY_WINDOW_S: f64 = 10.0;

/// Settings of a daemon that routes by host and path (`saddlepulley gateway`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Identity of this box.
    pub node: NodeSettings,
    /// Addresses that the daemon listens on.
    pub listen: GatewayListen,
    /// Source of the configuration and of the list of upstreams.
    pub source: SourceSettings,
    /// How other daemons are found.
    #[serde(default)]
    pub peers: GatewayPeers,
    /// Bounds that hold for all daemons together.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// Duties, which one daemon at a time performs for all.
    #[serde(default)]
    pub duties: DutySettings,
    /// Policy by which fleets are planned.
    #[serde(default)]
    pub fleet: FleetPolicy,
    /// Estimates that are used until answers have been observed.
    #[serde(default)]
    pub first_guess: InitialEstimates,
    /// Switches for single mechanisms.
    #[serde(default)]
    pub mechanisms: Mechanisms,
}

/// Identity of a box, and the failure domains.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the box.
    pub name: BoxId,
    /// Failure domain of the box; `zone` in files for earlier builds.
    #[serde(alias = "zone")]
    pub domain: FailureDomain,
    /// Processor cores that the box has; may be a fraction. Where boxes differ, the larger ones
    /// of a failure domain place requests for the others.
    #[serde(default = "one_core", deserialize_with = "positive")]
    pub capacity: f64,
    /// Memory that the box has for the daemon, in megabytes; 0 if it is not known.
    #[serde(default, deserialize_with = "not_negative")]
    pub memory_mb: f64,
    /// All failure domains, with their regions; `zones` in files for earlier builds.
    #[serde(default, alias = "zones")]
    pub domains: BTreeMap<FailureDomain, String>,
}

fn one_core() -> f64 {
    1.0
}

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address for the readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Address for other daemons, over TCP and UDP.
    pub peers: SocketAddr,
    /// Address that serves metrics; none are served without it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Source of the configuration and of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum SourceSettings {
    /// A file of routes and upstreams, which is read again when it changes.
    File {
        /// Path of the file.
        path: PathBuf,
    },
    /// The platform on which the boxes run.
    Platform {
        /// Address of the platform's store.
        store: SocketAddr,
        /// Address of the platform's API that duties call.
        #[serde(default)]
        cloud: Option<SocketAddr>,
    },
}

/// How other daemons are found.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayPeers {
    /// Daemons that are queried at the start, before others are known; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// How long a starting daemon waits for its seeds before it reads the shared source itself,
    /// in milliseconds. Without the wait, daemons that start together would all read the source
    /// at once; it should be longer than the time within which they start.
    pub seeds_patience_ms: u64,
}

impl Default for GatewayPeers {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            seeds_patience_ms: 400,
        }
    }
}

/// Bounds that hold for all daemons together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayBounds {
    /// Retries to a service per first send, over all daemons.
    pub retry_ratio: f64,
    /// Retries allowed on top of the ratio in a window, over all daemons.
    pub retry_slack: f64,
    /// Length of that window, in seconds. A daemon that starts gets its share of the slack only after
    /// it; with 0 at once. If it is not set, it depends on the source.
    pub retry_window_s: Option<f64>,
    /// Longest duration of a planned stop, in seconds.
    pub stop_s: f64,
    /// Time after the source reports that an upstream is leaving, from which on no daemon may
    /// send it requests, in milliseconds.
    pub drain_ms: u64,
    /// Largest share of a service's requests that a bad new version may receive.
    pub canary_share: f64,
    /// Bytes that may be buffered for clients and upstreams that read slowly; 0 for none. If it is not
    /// set, it is a fixed share of `memory_mb`.
    pub buffered_bytes: Option<u64>,
    /// How far quotas may be exceeded.
    pub quotas: QuotaBounds,
    /// When a request is held back because upstreams crash while they run it.
    pub quarantine: QuarantineBounds,
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_slack: 40.0,
            retry_window_s: None,
            stop_s: 8.0,
            drain_ms: 2_000,
            canary_share: 0.1,
            buffered_bytes: None,
            quotas: QuotaBounds::default(),
            quarantine: QuarantineBounds::default(),
        }
    }
}

/// Settings of the duties, which one daemon at a time performs for all.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DutySettings {
    /// Report the usage of client accounts.
    pub usage: bool,
    /// Order upstreams by demand.
    pub scaling: bool,
    /// Duration of the lease on the duties, in milliseconds.
    pub lease_ms: u64,
    /// Length of a usage window, in seconds.
    pub usage_window_s: u64,
    /// Time after the end of a window at which its usage is due, in seconds.
    pub usage_delay_s: u64,
}

impl Default for DutySettings {
    fn default() -> Self {
        Self {
            usage: false,
            scaling: false,
            lease_ms: 3_000,
            usage_window_s: 5,
            usage_delay_s: 10,
        }
    }
}

/// Estimates of the times at upstreams, used until answers have been observed. They only weigh the
/// parts of a placement estimate against each other, for the first second.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InitialEstimates {
    /// Prefill time of an engine per prompt token, in milliseconds.
    #[serde(deserialize_with = "positive")]
    pub ms_per_token: f64,
    /// Time to the first event at an upstream with no waiting requests, in milliseconds.
    #[serde(deserialize_with = "positive")]
    pub first_event_ms: f64,
    /// Time that a request spends at an upstream, in milliseconds.
    #[serde(deserialize_with = "positive")]
    pub stay_ms: f64,
}

impl Default for InitialEstimates {
    fn default() -> Self {
        Self {
            ms_per_token: 0.02,
            first_event_ms: 100.0,
            stay_ms: 500.0,
        }
    }
}

impl GatewaySettings {
    /// Returns the bytes that may be buffered for clients and upstreams that read slowly; none if
    /// nothing is buffered, so that an upstream waits for its client.
    pub fn buffer_bytes(&self) -> Option<u64> {
        let of_memory = self.node.memory_mb * 1e6 * BUFFERED_SHARE;
        let bytes = self.bounds.buffered_bytes.unwrap_or(of_memory as u64);
        (self.mechanisms.read_ahead && bytes > 0).then_some(bytes)
    }

    /// Returns for how long a daemon that starts has no share of the slack of retry budgets, in
    /// milliseconds. Unless set, only a platform has such a time: it restarts daemons by itself.
    pub fn retry_window_ms(&self) -> u64 {
        let unset_s = match self.source {
            SourceSettings::Platform { .. } => PLATFORM_RETRY_WINDOW_S,
            SourceSettings::File { .. } => 0.0,
        };
        (self.bounds.retry_window_s.unwrap_or(unset_s) * 1_000.0) as u64
    }

    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or the line that is wrong.
    pub fn read(path: &Path) -> Result<Self, ConfError> {
        let text = fs::read_to_string(path).map_err(|source| ConfError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses the text of a file; `path` is used only in errors.
    ///
    /// # Errors
    ///
    /// Returns the line that is wrong, and what was expected.
    pub fn parse(path: &str, text: &str) -> Result<Self, ConfError> {
        toml::from_str(text).map_err(|e| ConfError::Parse {
            path: path.to_string(),
            line: line_of(text, e.span().map_or(0, |s| s.start)),
            message: e.message().to_string(),
        })
    }
}

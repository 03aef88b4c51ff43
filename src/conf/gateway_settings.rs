use {
    super::{ConfError, Mechanisms, positive},
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

/// The settings of a daemon on the routed path (`saddlepulley gateway`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// This machine.
    pub node: NodeSettings,
    /// Where it listens.
    pub listen: GatewayListen,
    /// Where configuration and upstreams come from.
    pub source: SourceSettings,
    /// Other daemons.
    #[serde(default)]
    pub peers: GatewayPeers,
    /// Bounds that hold for all daemons.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// Duties that one daemon has at a time.
    #[serde(default)]
    pub duties: DutySettings,
    /// By which weights fleets are planned.
    #[serde(default)]
    pub fleet: FleetPolicy,
    /// What is reckoned with before any answer was seen.
    #[serde(default)]
    pub first_guess: FirstGuess,
    /// Which mechanisms are on.
    #[serde(default)]
    pub mechanisms: Mechanisms,
}

/// Who this machine is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Its name.
    pub name: BoxId,
    /// Its failure domain; `zone` in files for earlier builds.
    #[serde(alias = "zone")]
    pub domain: FailureDomain,
    /// Its share of processor cores: where boxes differ, the larger ones of a
    /// failure domain place requests for the others.
    #[serde(default = "one_core", deserialize_with = "positive")]
    pub capacity: f64,
    /// All failure domains, with their regions; `zones` in files for earlier builds.
    #[serde(default, alias = "zones")]
    pub domains: BTreeMap<FailureDomain, String>,
}

fn one_core() -> f64 {
    1.0
}

/// Where the daemon listens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// For clients.
    pub clients: SocketAddr,
    /// For the balancer's question whether it is ready.
    pub readiness: SocketAddr,
    /// For other daemons, by TCP and UDP.
    pub peers: SocketAddr,
    /// For metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Where configuration and upstreams come from.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum SourceSettings {
    /// A file of routes and upstreams, read again when it changes.
    File {
        /// Its path.
        path: PathBuf,
    },
    /// The users' platform.
    Platform {
        /// The address of its store.
        store: SocketAddr,
        /// The address of its API for duties.
        #[serde(default)]
        cloud: Option<SocketAddr>,
    },
}

/// Other daemons.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayPeers {
    /// Daemons to ask first; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// How long a daemon that starts waits for its seeds before it reads the
    /// shared source itself, in milliseconds: daemons that start together would all
    /// read it at once. It should be longer than the time within which they start.
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
    /// Repeated sends for each first one.
    pub retry_ratio: f64,
    /// Repeated sends on top of the ratio, in a window of some seconds.
    pub retry_slack: f64,
    /// How long a planned stop may take, in seconds.
    pub stop_s: f64,
    /// Within how long after its source says that an upstream leaves no daemon
    /// may send it work, in milliseconds.
    pub drain_ms: u64,
    /// The part of a service's requests that a new version may get which turns out to
    /// be bad.
    pub canary_share: f64,
    /// How exactly quotas have to hold.
    pub quotas: QuotaBounds,
    /// When a request is held back under which upstreams end.
    pub quarantine: QuarantineBounds,
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_slack: 40.0,
            stop_s: 8.0,
            drain_ms: 2_000,
            canary_share: 0.1,
            quotas: QuotaBounds::default(),
            quarantine: QuarantineBounds::default(),
        }
    }
}

/// Duties that one daemon has at a time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DutySettings {
    /// Whether usage is reported.
    pub usage: bool,
    /// Whether upstreams are ordered.
    pub scaling: bool,
    /// How long the lease of the duties lasts, in milliseconds.
    pub lease_ms: u64,
    /// The length of a window of usage, in seconds.
    pub usage_window_s: u64,
    /// How long after its end a window's usage is due, in seconds.
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

/// What a daemon reckons with at upstreams before it has seen answers: it only
/// sets off the parts of an estimate against each other for the first second.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FirstGuess {
    /// How long an engine takes to read a prompt token, in milliseconds.
    #[serde(deserialize_with = "positive")]
    pub ms_per_token: f64,
    /// How long a first event takes where nothing waits, in milliseconds.
    #[serde(deserialize_with = "positive")]
    pub first_event_ms: f64,
    /// How long a request stays at an upstream, in milliseconds.
    #[serde(deserialize_with = "positive")]
    pub stay_ms: f64,
}

impl Default for FirstGuess {
    fn default() -> Self {
        Self {
            ms_per_token: 0.02,
            first_event_ms: 100.0,
            stay_ms: 500.0,
        }
    }
}

impl GatewaySettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns the file and line that are wrong.
    pub fn read(path: &Path) -> Result<Self, ConfError> {
        let text = fs::read_to_string(path).map_err(|source| ConfError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses the text of a file; `path` is only named in errors.
    ///
    /// # Errors
    ///
    /// Returns the line that is wrong and what was expected.
    pub fn parse(path: &str, text: &str) -> Result<Self, ConfError> {
        toml::from_str(text).map_err(|e| ConfError::Parse {
            path: path.to_string(),
            line: line_of(text, e.span().map_or(0, |s| s.start)),
            message: e.message().to_string(),
        })
    }
}

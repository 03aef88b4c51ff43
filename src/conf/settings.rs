use {
    super::ConfError,
    crate::{contracts::line_of, names::*},
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path, path::PathBuf},
};

/// Settings of a daemon on an entry box (`saddlepulley serve`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of this box.
    #[serde(rename = "box")]
    pub this_box: BoxSettings,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Links to other daemons.
    pub peers: PeerSettings,
    /// Bounds on requests.
    #[serde(default)]
    pub requests: RequestSettings,
    /// Authentication of operators.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// Level and format of the logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Mechanisms that can be switched off in trials.
    #[serde(default)]
    pub trial: TrialSettings,
}

/// Mechanisms that can be switched off, to show what each is for. Accepted only if links are
/// plain, that is on loopback.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrialSettings {
    /// Copy requests to another box before their answer is shown.
    pub copies: bool,
    /// Hand requests over to other boxes when this box is about to be reclaimed.
    pub hand_over: bool,
    /// Continue an answer that was cut off at another upstream.
    pub resume: bool,
    /// Claim calls that may run only once in the log.
    pub claims: bool,
    /// Send no new requests to a box that is leaving.
    pub leaving: bool,
    /// Finish the requests in flight when the daemon stops.
    pub drain: bool,
    /// Relay tables between daemons.
    pub relay: bool,
    /// Send requests to another failure domain if they would miss their target in this one.
    pub spill: bool,
    /// Queue requests fairly, and refuse them early.
    pub queue: bool,
    /// Limit the requests in flight at an upstream adaptively. Off by default: measured under
    /// overload, the limit kept a burst from ending.
    pub limit: bool,
    /// Take retries from the row's budget, and delay them with full jitter.
    pub budget: bool,
    /// Cancel an answer at its deadline when nobody waits for it any more.
    pub cancel: bool,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self {
            copies: true,
            hand_over: true,
            resume: true,
            claims: true,
            leaving: true,
            drain: true,
            relay: true,
            spill: true,
            queue: true,
            limit: false,
            budget: true,
            cancel: true,
        }
    }
}

/// Identity of a box.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxSettings {
    /// Name of the box; no two boxes share one.
    pub id: BoxId,
    /// Failure domain of the box.
    pub failure_domain: FailureDomain,
}

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators: status, drain, metrics.
    pub operators: SocketAddr,
    /// Address that is announced to peers, if it differs from the one listened on.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
}

impl ListenSettings {
    /// Returns the address that is announced to peers.
    pub fn advertised(&self) -> SocketAddr {
        self.peers_advertised.unwrap_or(self.peers)
    }
}

/// Access to the platform.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Retention of records in the platform's log, in seconds.
    #[serde(default = "default_log_retention_s")]
    pub log_retention_s: u64,
}

/// Links between daemons.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Daemons that are queried at the start, before others are known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Interval between heartbeats on a link, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Silence after which a peer counts as gone, in milliseconds. The boxes that hold copies of
    /// its requests then take these over.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Run links without TLS; allowed only on loopback.
    #[serde(default)]
    pub plain: bool,
    /// File of this box's certificate.
    #[serde(default)]
    pub tls_cert: Option<PathBuf>,
    /// File of the certificate's private key.
    #[serde(default)]
    pub tls_key: Option<PathBuf>,
    /// File with the certificate of the authority that signs the certificates of all daemons.
    #[serde(default)]
    pub tls_ca: Option<PathBuf>,
}

/// Bounds on requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// Window in which the key of a non-repeatable call is valid, in seconds. Shorter than the
    /// log's retention less twice the clock skew.
    pub key_window_s: u64,
    /// Largest difference between the clocks of callers and boxes, in seconds.
    pub clock_skew_s: u64,
    /// How long the answer of a finished request is kept, in seconds.
    pub keep_answers_s: u64,
    /// Total size of kept answers, in bytes.
    pub keep_answers_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest number of concurrent requests on this box.
    pub max_requests: usize,
    /// Deadline of a request that names none, in milliseconds after its arrival.
    pub deadline_ms: u64,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            key_window_s: 3_600,
            clock_skew_s: 30,
            keep_answers_s: 120,
            keep_answers_bytes: 8 * 1024 * 1024,
            max_body_bytes: 1024 * 1024,
            max_requests: 4_096,
            deadline_ms: 120_000,
        }
    }
}

/// Authentication of operators.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// SHA-256 of the operators' bearer token, in hexadecimal. If empty, operators are refused.
    pub token_sha256: String,
}

/// Level and format of the logs.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Format of the lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            format: LogFormat::Text,
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text with `key=value` fields.
    Text,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Reads, parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or the line and key that are wrong.
    pub fn read(path: &Path) -> Result<Self, ConfError> {
        let text = fs::read_to_string(path).map_err(|source| ConfError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks the text of a file; `path` is used only in errors.
    ///
    /// # Errors
    ///
    /// Returns the line and key that are wrong.
    pub fn parse(path: &str, text: &str) -> Result<Self, ConfError> {
        let settings: Self = toml::from_str(text).map_err(|e| ConfError::Parse {
            path: path.to_string(),
            line: line_of(text, e.span().map_or(0, |s| s.start)),
            message: e.message().to_string(),
        })?;
        settings
            .check()
            .map_err(|(key, expected)| ConfError::Parse {
                path: path.to_string(),
                line: line_of_key(text, key),
                message: format!("`{key}`: {expected}"),
            })?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let r = &self.requests;
        if self.this_box.id.as_str().is_empty() {
            return Err(("id", "expected a name"));
        }
        if r.key_window_s + 2 * r.clock_skew_s >= self.platform.log_retention_s {
            let expected = "expected less than log_retention_s, less twice clock_skew_s";
            return Err(("key_window_s", expected));
        }
        if !(10..=60_000).contains(&self.peers.heartbeat_ms) {
            return Err(("heartbeat_ms", "expected 10 to 60000"));
        }
        if self.peers.silence_ms < 2 * self.peers.heartbeat_ms {
            return Err(("silence_ms", "expected at least twice heartbeat_ms"));
        }
        if !(1..=64 * 1024 * 1024).contains(&r.max_body_bytes) {
            return Err(("max_body_bytes", "expected 1 to 67108864"));
        }
        self.check_links()?;
        if self.trial != TrialSettings::default() && !self.peers.plain {
            return Err(("[trial]", "expected nothing here unless peers.plain = true"));
        }
        let hash = &self.operators.token_sha256;
        if !hash.is_empty() && (hash.len() != 64 || hex::decode(hash).is_err()) {
            return Err(("token_sha256", "expected 64 hexadecimal digits"));
        }
        Ok(())
    }

    fn check_links(&self) -> Result<(), (&'static str, &'static str)> {
        let p = &self.peers;
        if p.plain {
            if !self.listen.peers.ip().is_loopback() {
                return Err(("plain", "expected false where peers aren't on loopback"));
            }
            return Ok(());
        }
        if p.tls_cert.is_none() || p.tls_key.is_none() || p.tls_ca.is_none() {
            return Err((
                "[peers]",
                "expected tls_cert, tls_key and tls_ca, or plain = true",
            ));
        }
        Ok(())
    }
}

fn line_of_key(text: &str, key: &str) -> usize {
    let name_of = |line: &str| line.split('=').next().unwrap_or("").trim().to_string();
    let set = |line: &str| name_of(line) == key;
    // A key that isn't set has its default; a commented-out one shows where it belongs.
    let commented = |line: &str| name_of(line) == format!("# {key}");
    let found = text
        .lines()
        .position(set)
        .or_else(|| text.lines().position(commented));
    found.map_or(1, |i| i + 1)
}

fn default_log_retention_s() -> u64 {
    86_400
}

fn default_heartbeat_ms() -> u64 {
    500
}

fn default_silence_ms() -> u64 {
    2_000
}

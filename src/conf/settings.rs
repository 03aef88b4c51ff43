use {
    super::ConfError,
    crate::{contracts::line_of, names::*},
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path, path::PathBuf},
};

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This box.
    #[serde(rename = "box")]
    pub this_box: BoxSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Other daemons.
    pub peers: PeerSettings,
    /// Requests.
    #[serde(default)]
    pub requests: RequestSettings,
    /// Operators.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Mechanisms that a trial switches off.
    #[serde(default)]
    pub trial: TrialSettings,
}

/// Mechanisms that can be switched off, to show what each is for. Only where
/// links are plain, that is on loopback.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrialSettings {
    /// Requests are copied to another box before their answer is shown.
    pub copies: bool,
    /// Requests are handed over when this box will be taken back.
    pub hand_over: bool,
    /// An answer that was cut off goes on elsewhere.
    pub resume: bool,
    /// A call that may run once is claimed in the log.
    pub claims: bool,
    /// A box that is leaving gets no new work.
    pub leaving: bool,
    /// A stopping daemon finishes what is in flight.
    pub drain: bool,
    /// Tables are relayed between daemons.
    pub relay: bool,
    /// Requests go to another failure domain if they would be late here.
    pub spill: bool,
    /// Requests wait for a fair turn, and are refused early.
    pub queue: bool,
    /// Requests in flight at an upstream are limited adaptively. Off: the
    /// measurement of the overload speaks against it (docs/MEASUREMENTS.md).
    pub limit: bool,
    /// Retries are spent from the row's budget, with full jitter.
    pub budget: bool,
    /// An answer that nobody waits for any more is cancelled at its deadline.
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

/// Who this box is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxSettings {
    /// Its name.
    pub id: BoxId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

/// Where the daemon listens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// The address that peers are told, where it isn't the one listened on.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
}

impl ListenSettings {
    /// Returns the address that peers are told.
    pub fn advertised(&self) -> SocketAddr {
        self.peers_advertised.unwrap_or(self.peers)
    }
}

/// Where the platform is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// How long its log keeps a record, in seconds.
    #[serde(default = "default_log_retention_s")]
    pub log_retention_s: u64,
}

/// How daemons reach each other.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Daemons to ask first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds between heartbeats.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Milliseconds of silence after which a peer is taken as gone.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Whether links go without TLS.
    #[serde(default)]
    pub plain: bool,
    /// The certificate's file.
    #[serde(default)]
    pub tls_cert: Option<PathBuf>,
    /// The key's file.
    #[serde(default)]
    pub tls_key: Option<PathBuf>,
    /// The file of the authority's certificate.
    #[serde(default)]
    pub tls_ca: Option<PathBuf>,
}

/// Bounds on requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// The window of a non-repeatable call's key, in seconds.
    pub key_window_s: u64,
    /// How far clocks may be apart, in seconds.
    pub clock_skew_s: u64,
    /// How long a kept answer stays, in seconds.
    pub keep_answers_s: u64,
    /// How much all kept answers may take, in bytes.
    pub keep_answers_bytes: usize,
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// The most requests at once.
    pub max_requests: usize,
    /// The deadline of a request that names none, in milliseconds.
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

/// Who may operate.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// SHA-256 of the operators' token, in hexadecimal.
    pub token_sha256: String,
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The level.
    pub level: log::LevelFilter,
    /// The form.
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

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text with key=value fields.
    Text,
    /// A JSON object a line.
    Json,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns the file, line and key that are wrong.
    pub fn read(path: &Path) -> Result<Self, ConfError> {
        let text = fs::read_to_string(path).map_err(|source| ConfError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks the text of a file; `path` is only named in errors.
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
    // A key that isn't set has its default; a commented one shows where it would stand.
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

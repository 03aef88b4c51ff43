//! Daemon processes, configuration files and HTTP clients for the gateway tests.

use {
    crate::ports::free_address,
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    saddlepulley_standin::runner::Runner,
    std::{
        fmt::Write,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::net::TcpStream,
};

/// The binary under test.
const THIS_BUILD: &str = env!("CARGO_BIN_EXE_saddlepulley");

/// Returns the binary of another build that runs beside this one in the mixed-build tests.
/// It is set by hand with `SADDLEPULLEY_OLD=/path/to/saddlepulley`; without it, this is the
/// binary of this build.
pub fn other_build() -> PathBuf {
    let path = std::env::var_os("SADDLEPULLEY_OLD");
    path.map_or_else(this_build, PathBuf::from)
}

pub fn this_build() -> PathBuf {
    PathBuf::from(THIS_BUILD)
}

/// Alternates between the binaries of both builds, so that with `SADDLEPULLEY_OLD` set each
/// test runs daemons of both. The other build comes first with `SADDLEPULLEY_OLD_FIRST=1`.
pub fn next_build() -> PathBuf {
    static STARTED: AtomicUsize = AtomicUsize::new(0);
    let other_first = usize::from(std::env::var_os("SADDLEPULLEY_OLD_FIRST").is_some());
    match (STARTED.fetch_add(1, Ordering::Relaxed) + other_first) % 2 {
        0 => this_build(),
        _ => other_build(),
    }
}

/// How long [`eventually`] waits for its condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_err() {
        panic!("not in time: {what}");
    }
}

/// Returns the value of the first line of a daemon's metrics page that begins so; 0 if there is none.
pub async fn metric(daemon: &GatewayDaemon, line_begin: &str) -> f64 {
    let page = daemon.metrics_page().await;
    let line = page.lines().find(|l| l.starts_with(line_begin));
    let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0.0)
}

/// Waits until daemons are ready and know each other.
pub async fn until_they_know_each_other(daemons: &[&GatewayDaemon]) {
    for daemon in daemons {
        daemon.wait_ready().await;
        eventually("the daemons know each other", async || {
            metric(daemon, "saddlepulley_daemons ").await == daemons.len() as f64
        })
        .await;
    }
}

/// Returns the peak resident memory of a daemon, in megabytes.
pub fn peak_memory_mb(daemon: &GatewayDaemon) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", daemon.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kilobytes = peak.unwrap().trim().trim_end_matches(" kB").trim();
    kilobytes.parse::<u64>().unwrap() / 1_000
}

/// Properties of a route in the tests' configuration.
pub struct TestRoute {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub max_attempts: u32,
    pub resumable: bool,
    pub timeout_ms: u64,
}

pub const IDEMPOTENT: TestRoute = TestRoute {
    prefix: "/look/",
    kind: "idempotent",
    max_attempts: 2,
    resumable: false,
    timeout_ms: 5_000,
};
pub const ONCE: TestRoute = TestRoute {
    prefix: "/once/",
    kind: "non-idempotent",
    max_attempts: 2,
    ..IDEMPOTENT
};
pub const STREAM: TestRoute = TestRoute {
    prefix: "/stream/resume/",
    kind: "streaming",
    resumable: true,
    ..IDEMPOTENT
};
pub const STREAM_ONCE: TestRoute = TestRoute {
    prefix: "/stream/once/",
    kind: "streaming",
    ..IDEMPOTENT
};

/// Formats a configuration file with the given routes, one tenant, and the given runners as
/// upstreams.
pub fn routes_file(version: u64, routes: &[&TestRoute], runners: &[&Runner]) -> String {
    let mut text = format!("[config]\nversion = {version}\n");
    for route in routes {
        let TestRoute {
            prefix,
            kind,
            max_attempts,
            resumable,
            timeout_ms,
        } = route;
        let _ = write!(
            text,
            "[[config.routes]]\nname = \"{prefix}\"\nhost = \"h.example\"\npath_prefix = \"{prefix}\"\n\
             kind = \"{kind}\"\ntimeout_ms = {timeout_ms}\ntarget_latency_ms = 1000\n\
             max_attempts = {max_attempts}\nresumable = {resumable}\nevent_gap_ms = 500\n\
             services = [{{ service = \"s\", weight = 1 }}]\n"
        );
    }
    text.push_str("[[config.services]]\nname = \"s\"\nmax_connections = 100\n");
    text.push_str(
        "[[config.tenants]]\nname = \"t\"\nkeys = [\"key-1\", \"key-2\"]\nrate_per_s = 100000.0\n\
         burst = 100000.0\nplain_cost = 1.0\ncounts_tokens = true\n",
    );
    for runner in runners {
        let _ = write!(
            text,
            "[[upstreams]]\nid = \"{}\"\nservice = \"s\"\naddress = \"{}\"\nzone = \"a\"\nslots = 8\n",
            runner.id(),
            runner.address()
        );
    }
    text
}

/// A daemon process. It is killed when this value is dropped.
pub struct GatewayDaemon {
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    pub dir: TempDir,
    child: Child,
}

impl Drop for GatewayDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings of a daemon that differ between tests.
pub struct DaemonSettings {
    pub name: &'static str,
    /// TOML lines of the section `[source]`.
    pub source: String,
    /// TOML lines that follow the section `[peers]`: more keys of it, or further sections.
    pub extra_settings: String,
    /// Peer addresses of the daemons that it contacts to join.
    pub seeds: Vec<SocketAddr>,
    pub stdout: Stdio,
}

impl GatewayDaemon {
    /// Starts a daemon with a routes file and waits until it is ready.
    pub async fn start(routes: &str) -> Self {
        let daemon = Self::start_unready(routes);
        daemon.wait_ready().await;
        daemon
    }

    /// Starts a daemon with a routes file, without waiting until it is ready.
    pub fn start_unready(routes: &str) -> Self {
        Self::spawn_on_file("n1", routes, Vec::new())
    }

    /// Starts a daemon with a routes file and the addresses of other daemons. With empty
    /// `routes`, the file does not exist.
    pub fn spawn_on_file(name: &'static str, routes: &str, seeds: Vec<SocketAddr>) -> Self {
        let dir = TempDir::new().unwrap();
        let path = dir.path().join("routes.toml");
        if !routes.is_empty() {
            fs::write(&path, routes).unwrap();
        }
        let settings = DaemonSettings {
            name,
            source: format!("kind = \"file\"\npath = \"{}\"", path.display()),
            extra_settings: String::new(),
            seeds,
            stdout: Stdio::null(),
        };
        Self::spawn(dir, settings)
    }

    /// Starts a daemon with the given settings, of the next build in turn.
    pub fn spawn(dir: TempDir, settings: DaemonSettings) -> Self {
        Self::spawn_build(&next_build(), dir, settings)
    }

    /// Starts a daemon from the given binary.
    pub fn spawn_build(build: &Path, dir: TempDir, settings: DaemonSettings) -> Self {
        Self::spawn_in_domain("a", build, dir, settings)
    }

    /// Starts a daemon in the given failure domain.
    pub fn spawn_in_domain(
        domain: &str,
        build: &Path,
        dir: TempDir,
        settings: DaemonSettings,
    ) -> Self {
        let [clients, readiness, peers, metrics] = [(); 4].map(|()| free_address());
        let seeds: Vec<String> = settings.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "[node]\nname = \"{}\"\nzone = \"{domain}\"\n[node.zones]\n{domain} = \"r\"\n[listen]\nclients = \"{clients}\"\n\
             readiness = \"{readiness}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n[source]\n{}\n\
             [peers]\nseeds = [{}]\n{}\n",
            settings.name,
            settings.source,
            seeds.join(","),
            settings.extra_settings
        );
        let path = dir.path().join("settings.toml");
        fs::write(&path, text).unwrap();
        let child = Command::new(build)
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdout(settings.stdout)
            .spawn()
            .unwrap();
        Self {
            clients,
            readiness,
            metrics,
            peers,
            dir,
            child,
        }
    }

    pub fn routes_path(&self) -> PathBuf {
        self.dir.path().join("routes.toml")
    }

    pub async fn wait_ready(&self) {
        eventually("ready", async || {
            self.readiness_status().await == Some(StatusCode::OK)
        })
        .await;
    }

    pub async fn readiness_status(&self) -> Option<StatusCode> {
        let mut client = Client::connect(self.readiness).await?;
        let answer = client.send(Request::get("/readyz"), "").await.ok()?;
        Some(answer.status)
    }

    /// Fetches the daemon's metrics page.
    pub async fn metrics_page(&self) -> String {
        let mut client = Client::connect(self.metrics)
            .await
            .expect("the metrics address accepts connections");
        let page = client.send(Request::get("/metrics"), "").await;
        page.expect("the metrics page is answered").body
    }

    pub async fn client(&self) -> Client {
        Client::connect(self.clients)
            .await
            .expect("the daemon listens")
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Waits until the process exits. Returns true if its exit status is success.
    pub async fn wait_end(&mut self) -> bool {
        let mut ended = None;
        eventually("ended", async || {
            ended = self.has_ended();
            ended.is_some()
        })
        .await;
        ended == Some(true)
    }

    /// Returns `None` while the process runs, then whether its exit status is success.
    pub fn has_ended(&mut self) -> Option<bool> {
        let ended = self.child.try_wait().unwrap();
        ended.map(|status| status.success())
    }
}

/// A response whose body was read until its end or the end of the connection.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// False if the connection broke before the end of the body.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
    }
}

/// An HTTP client with one connection.
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender })
    }

    /// Sends a request with the tests' common headers and reads its response.
    ///
    /// # Panics
    ///
    /// Panics if no response head is received.
    pub async fn fetch(&mut self, attempt: &str, path: &str, body: &str) -> Response {
        self.send(request(attempt, path), body)
            .await
            .expect("a response is received")
    }

    pub async fn send(
        &mut self,
        request: http::request::Builder,
        body: &str,
    ) -> hyper::Result<Response> {
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        self.sender.ready().await?;
        let answer = self
            .sender
            .send_request(request.body(body).unwrap())
            .await?;
        let (head, mut body) = answer.into_parts();
        let (mut bytes, mut complete) = (Vec::new(), true);
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d)),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
            complete,
        })
    }

    /// Sends a request and closes the connection once the head of the response is received.
    pub async fn fetch_head_and_disconnect(mut self, attempt: &str, path: &str) {
        let body = Full::new(Bytes::new());
        let sent = self
            .sender
            .send_request(request(attempt, path).body(body).unwrap());
        let answer = sent.await.expect("a response head is received");
        drop(answer);
    }
}

/// Builds a request with the tests' common headers.
pub fn request(attempt: &str, path: &str) -> http::request::Builder {
    Request::post(path)
        .header("host", "h.example")
        .header("saddlepulley-attempt", attempt)
        .header("saddlepulley-key", "key-1")
        .header("saddlepulley-deadline-ms", "4000")
}

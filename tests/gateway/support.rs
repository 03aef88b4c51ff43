//! Daemons, files and clients for the tests of the routed path.

use {
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
        net::{SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            LazyLock,
            atomic::{AtomicU16, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tempfile::TempDir,
    tokio::net::TcpStream,
};

/// The binary that the tests are about.
const THIS_BUILD: &str = env!("CARGO_BIN_EXE_saddlepulley");

/// Returns the binary of another build that is to run beside this one, if one is named:
/// by hand, `SADDLEPULLEY_OLD=/path/to/saddlepulley`. Else this one.
pub fn other_build() -> PathBuf {
    let named = std::env::var_os("SADDLEPULLEY_OLD");
    named.map_or_else(this_build, PathBuf::from)
}

/// Returns the binary of this build.
pub fn this_build() -> PathBuf {
    PathBuf::from(THIS_BUILD)
}

/// Returns the binaries of both builds by turns: with another one named, both stand side by
/// side in each test. The other one is first with `SADDLEPULLEY_OLD_FIRST=1`.
fn next_build() -> PathBuf {
    static STARTED: AtomicUsize = AtomicUsize::new(0);
    let other_first = usize::from(std::env::var_os("SADDLEPULLEY_OLD_FIRST").is_some());
    match (STARTED.fetch_add(1, Ordering::Relaxed) + other_first) % 2 {
        0 => this_build(),
        _ => other_build(),
    }
}

/// How long anything may take that is waited for.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(PATIENCE, wait).await.is_err() {
        panic!("not in time: {what}");
    }
}

/// The ports that the tests' daemons listen on: below those that the kernel
/// gives to clients' connections, which would else take one now and then.
const FIRST_PORT: u16 = 18_000;
const LAST_PORT: u16 = 31_000;
/// How many ports a test process has for itself: all tests of one take fewer than a
/// thousand.
const BLOCK: u16 = 1_300;

/// The ports of this process. Processes that took them from one range, even from places far
/// apart, met beside each other: a daemon's port was taken between the look and its start,
/// and the test talked to the daemon of another one (two tests of a whole run beside four
/// soaks that start daemons anew all the time).
struct Ports {
    first: u16,
    next: AtomicU16,
    /// Held for as long as the process lives: no other takes its ports.
    _reservation: UdpSocket,
}

impl Ports {
    fn reserve() -> Self {
        let blocks = (LAST_PORT - FIRST_PORT) / BLOCK;
        let begin = (std::process::id() % u32::from(blocks)) as u16;
        loop {
            for n in 0..blocks {
                let first = FIRST_PORT + (begin + n) % blocks * BLOCK;
                if let Ok(reservation) = UdpSocket::bind(("127.0.0.1", first)) {
                    return Self {
                        first,
                        next: AtomicU16::new(1),
                        _reservation: reservation,
                    };
                }
            }
            // Others end sometime.
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    fn next(&self) -> u16 {
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        // The first port of the block is the reservation.
        self.first + 1 + n % (BLOCK - 1)
    }
}

/// Returns an address that no test has been given before and that is free.
pub fn free_address() -> SocketAddr {
    static PORTS: LazyLock<Ports> = LazyLock::new(Ports::reserve);
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.next()));
        let is_free = TcpListener::bind(address).is_ok();
        if is_free && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// What a route of the tests is like.
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

/// Writes a configuration with the routes of the tests, one tenant, and the
/// given runners.
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

/// A daemon that runs as a process of its own. It is killed when dropped.
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

/// Settings of a daemon that are not the same in all tests.
pub struct DaemonSettings {
    pub name: &'static str,
    pub source: String,
    pub extra_settings: String,
    pub seeds: Vec<SocketAddr>,
    pub stdout: Stdio,
}

impl GatewayDaemon {
    /// Starts a daemon on a file of routes and waits until it is ready.
    pub async fn start(routes: &str) -> Self {
        let daemon = Self::start_unready(routes);
        daemon.wait_ready().await;
        daemon
    }

    /// Starts a daemon on a file of routes.
    pub fn start_unready(routes: &str) -> Self {
        Self::spawn_on_file("n1", routes, Vec::new())
    }

    /// Starts a daemon on a file of routes that knows other daemons.
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

    /// Starts a daemon with given settings.
    pub fn spawn(dir: TempDir, settings: DaemonSettings) -> Self {
        Self::spawn_build(&next_build(), dir, settings)
    }

    /// Starts a daemon of a build.
    pub fn spawn_build(build: &Path, dir: TempDir, settings: DaemonSettings) -> Self {
        let [clients, readiness, peers, metrics] = [(); 4].map(|()| free_address());
        let seeds: Vec<String> = settings.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "[node]\nname = \"{}\"\nzone = \"a\"\n[node.zones]\na = \"r\"\n[listen]\nclients = \"{clients}\"\n\
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

    /// Returns the figures that the daemon tells of itself.
    pub async fn metrics_page(&self) -> String {
        let mut client = Client::connect(self.metrics).await.expect("it listens");
        let page = client.send(Request::get("/metrics"), "").await;
        page.expect("a page").body
    }

    pub async fn client(&self) -> Client {
        Client::connect(self.clients)
            .await
            .expect("the daemon listens")
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Waits until the process ends; returns whether it ended well.
    pub async fn wait_end(&mut self) -> bool {
        let mut ended = None;
        eventually("ended", async || {
            ended = self.has_ended();
            ended.is_some()
        })
        .await;
        ended == Some(true)
    }

    /// Returns whether the process ended well; none while it runs.
    pub fn has_ended(&mut self) -> Option<bool> {
        let ended = self.child.try_wait().unwrap();
        ended.map(|status| status.success())
    }
}

/// An answer that was read to its end.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body reached its end.
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

/// A client with one connection.
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

    /// Sends a request with the headers that all requests of the tests have.
    pub async fn fetch(&mut self, attempt: &str, path: &str, body: &str) -> Response {
        self.send(request(attempt, path), body)
            .await
            .expect("an answer")
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

    /// Sends a request and leaves as soon as the answer's head is there.
    pub async fn fetch_head_and_disconnect(mut self, attempt: &str, path: &str) {
        let body = Full::new(Bytes::new());
        let sent = self
            .sender
            .send_request(request(attempt, path).body(body).unwrap());
        let answer = sent.await.expect("a head");
        drop(answer);
    }
}

/// Makes a request with the headers that all requests of the tests have.
pub fn request(attempt: &str, path: &str) -> http::request::Builder {
    Request::post(path)
        .header("host", "h.example")
        .header("saddlepulley-attempt", attempt)
        .header("saddlepulley-key", "key-1")
        .header("saddlepulley-deadline-ms", "4000")
}

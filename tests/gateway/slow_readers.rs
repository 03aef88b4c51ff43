//! Clients and upstreams that read slowly or not at all.
//!
//! Guards against two faults. A client that pauses must not stop the reading from its upstream, since
//! upstreams cut off an answer that is left unread for some seconds. And complete answers and the bodies
//! of requests must not take unbounded memory.

use {
    crate::support::*,
    http::StatusCode,
    nix::sys::signal::Signal,
    std::{fs, io, net::SocketAddr, process::Stdio, time::Duration},
    tempfile::TempDir,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        sync::mpsc,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// How long an upstream waits for its answer to be read before it cuts it off.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest pause of a client, which lasts until its upstream has ended the answer.
const MAX_PAUSE: Duration = Duration::from_secs(15);
/// Size of the send and receive buffers of the test's sockets, so that an answer does not fit into
/// them, in bytes.
const SOCKET_BUFFER: u32 = 32 * 1024;
const CHUNK: usize = 16 * 1024;
/// Size of an event, in bytes; the last one of an answer may be larger.
const EVENT_BYTES: usize = 1_000;
/// Size of the answers at `/once/small`, in bytes.
const SMALL_BYTES: usize = 10_000;
/// The memory of a small box, in megabytes, under which its daemon has to stay.
const MEMORY_MB: u64 = 120;
/// What the daemon of such a box may buffer by default, in bytes: an eighth of its memory.
const BUFFERED_BYTES: u64 = MEMORY_MB * 1_000_000 / 8;

const PATIENT_STREAM: TestRoute = TestRoute {
    prefix: "/stream/",
    timeout_ms: 20_000,
    ..STREAM_ONCE
};
const PATIENT_ONCE: TestRoute = TestRoute {
    timeout_ms: 20_000,
    ..ONCE
};

/// What an upstream does with its requests.
#[derive(Clone, Copy)]
enum Upstream {
    /// Answers with this number of bytes, and cuts off an answer that is left unread for
    /// `UNREAD_TIMEOUT`.
    Impatient(usize),
    /// Answers with this number of bytes, and waits for a slow reader.
    Patient(usize),
    /// Accepts connections, and reads nothing.
    Unreading,
}

impl Upstream {
    /// Starts the upstream. Returns its address, and a receiver of whether each answer was read
    /// completely.
    fn start(self) -> (SocketAddr, mpsc::UnboundedReceiver<bool>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_send_buffer_size(SOCKET_BUFFER).unwrap();
        socket.set_recv_buffer_size(SOCKET_BUFFER).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1_024).unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let tx = tx.clone();
                tokio::spawn(async move {
                    let served = self.serve(stream).await;
                    let _ = tx.send(served.is_ok());
                });
            }
        });
        (address, rx)
    }

    async fn serve(self, mut stream: TcpStream) -> io::Result<()> {
        let (bytes, patience) = match self {
            Self::Impatient(bytes) => (bytes, UNREAD_TIMEOUT),
            Self::Patient(bytes) => (bytes, Duration::from_secs(60)),
            Self::Unreading => return std::future::pending().await,
        };
        let mut request = [0; 4_096];
        let read = stream.read(&mut request).await?;
        let request = String::from_utf8_lossy(&request[..read]);
        let is_small = request.starts_with("POST /once/small ");
        let bytes = if is_small { SMALL_BYTES } else { bytes };
        let mut lines = request.lines();
        let attempt = lines.find(|line| line.starts_with("saddlepulley-attempt:"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}\r\nsaddlepulley-signature: s\r\nconnection: close\r\n\
             content-type: text/event-stream\r\ncontent-length: {bytes}\r\n\r\n",
            attempt.unwrap_or_default()
        );
        stream.write_all(head.as_bytes()).await?;
        for chunk in answer(bytes).chunks(CHUNK) {
            match timeout(patience, stream.write_all(chunk)).await {
                Ok(written) => written?,
                Err(_) => {
                    stream.set_zero_linger()?;
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        stream.shutdown().await
    }
}

/// Returns the bytes of an answer: events, which differ along its length.
fn answer(bytes: usize) -> Vec<u8> {
    let mut answer = Vec::with_capacity(bytes);
    for n in (0..26_u8).cycle() {
        let left = bytes - answer.len();
        let id = answer.len() + 1;
        let length = if left < 2 * EVENT_BYTES {
            left
        } else {
            EVENT_BYTES
        };
        let mut event = format!("id: {id}\ndata: ").into_bytes();
        event.resize(length - 2, b'a' + n);
        event.extend_from_slice(b"\n\n");
        answer.extend_from_slice(&event);
        if answer.len() == bytes {
            break;
        }
    }
    answer
}

/// Starts a daemon with one upstream. Without `buffered_bytes`, the daemon buffers nothing.
async fn daemon(
    upstream: Upstream,
    buffered_bytes: Option<u64>,
) -> (GatewayDaemon, mpsc::UnboundedReceiver<bool>) {
    let (address, read_whole) = upstream.start();
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("routes.toml");
    let mut routes = routes_file(1, &[&PATIENT_STREAM, &PATIENT_ONCE], &[]);
    routes = routes.replace("max_connections = 100", "max_connections = 2000");
    routes.push_str(&format!(
        "[[upstreams]]\nid = \"b1\"\nservice = \"s\"\naddress = \"{}\"\nzone = \"a\"\nslots = 1000\n",
        address
    ));
    fs::write(&path, routes).unwrap();
    let bounds = buffered_bytes.map(|bytes| format!("[bounds]\nbuffered_bytes = {bytes}"));
    let settings = DaemonSettings {
        name: "n1",
        source: format!("kind = \"file\"\npath = \"{}\"", path.display()),
        extra_settings: bounds.unwrap_or_default(),
        seeds: Vec::new(),
        stdout: Stdio::null(),
    };
    let daemon = GatewayDaemon::spawn_build(&this_build(), dir, settings);
    daemon.wait_ready().await;
    (daemon, read_whole)
}

/// Sends a request from a socket with a small receive buffer, and reads nothing of its answer.
async fn send(daemon: &GatewayDaemon, path: &str, attempt: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SOCKET_BUFFER).unwrap();
    let mut stream = socket.connect(daemon.clients).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nsaddlepulley-attempt: a{attempt}\r\n\
         saddlepulley-key: key-1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads an answer to the end of its connection, and returns its body.
async fn read_body(mut stream: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    let head_end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    bytes.split_off(head_end.map_or(0, |at| at + 4))
}

#[tokio::test]
async fn a_client_that_pauses_gets_its_whole_answer() {
    // More than the receive buffer of the daemon can grow to, and the send buffer beside it.
    const BYTES: usize = 48_000_000;
    for buffered_bytes in [Some(400_000_000), None] {
        let (daemon, mut read_whole) = daemon(Upstream::Impatient(BYTES), buffered_bytes).await;
        let stream = send(&daemon, "/stream/x", 1).await;
        let upstream_ends = timeout(MAX_PAUSE, read_whole.recv()).await;
        let is_whole = buffered_bytes.is_some();
        assert_eq!(upstream_ends, Ok(Some(is_whole)), "{buffered_bytes:?}");
        let body = read_body(stream).await;
        assert_eq!(body == answer(BYTES), is_whole, "{} bytes", body.len());
    }
}

#[tokio::test]
async fn a_planned_stop_delivers_buffered_answers() {
    const BYTES: usize = 20_000_000;
    let (mut daemon, mut read_whole) = daemon(Upstream::Impatient(BYTES), Some(200_000_000)).await;
    let stream = send(&daemon, "/stream/x", 1).await;
    assert_eq!(timeout(MAX_PAUSE, read_whole.recv()).await, Ok(Some(true)));
    daemon.signal(Signal::SIGTERM);
    sleep(Duration::from_millis(500)).await;
    let body = read_body(stream).await;
    assert!(body == answer(BYTES), "{} of {BYTES} bytes", body.len());
    assert!(daemon.wait_end().await);
}

#[tokio::test]
async fn clients_that_stop_reading_take_bounded_memory_and_harm_no_others() {
    const BYTES: usize = 6_000_000;
    let (daemon, _) = daemon(Upstream::Patient(BYTES), Some(BUFFERED_BYTES)).await;
    let mut stopped = Vec::new();
    for n in 0..200 {
        // Whole answers and streams.
        let path = ["/stream/x", "/once/x"][n % 2];
        stopped.push(send(&daemon, path, n).await);
    }
    sleep(Duration::from_millis(1_500)).await;
    for n in 0..10 {
        let (path, bytes) = [("/stream/x", BYTES), ("/once/small", SMALL_BYTES)][n % 2];
        let body = read_body(send(&daemon, path, 1_000 + n).await).await;
        assert!(
            body == answer(bytes),
            "{path}: {} of {bytes} bytes",
            body.len()
        );
    }
    // A complete answer needs memory. The clients that have read nothing for longest lose theirs.
    let body = read_body(send(&daemon, "/once/x", 2_000).await).await;
    assert!(body == answer(BYTES), "{} of {BYTES} bytes", body.len());
    let peak_mb = peak_memory_mb(&daemon);
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB");
    let page = daemon.metrics_page().await;
    assert!(page.contains("saddlepulley_shed_answers_total"), "{page}");
    drop(stopped);
    eventually("nothing is buffered for clients that left", async || {
        let page = daemon.metrics_page().await;
        page.contains("saddlepulley_buffered_bytes 0\n")
    })
    .await;
}

#[tokio::test]
async fn an_upstream_that_does_not_read_takes_bounded_memory() {
    const BODY_BYTES: usize = 1_000_000;
    let (daemon, _) = daemon(Upstream::Unreading, Some(BUFFERED_BYTES)).await;
    let body = "x".repeat(BODY_BYTES);
    let mut requests = JoinSet::new();
    for n in 0..100 {
        let mut client = daemon.client().await;
        let body = body.clone();
        requests.spawn(async move { client.fetch(&format!("a{n}"), "/once/x", &body).await });
    }
    let answers = requests.join_all().await;
    let refused = answers.iter().filter(|a| {
        a.status == StatusCode::SERVICE_UNAVAILABLE && a.headers.contains_key("retry-after")
    });
    assert!(refused.count() > 0, "there is memory for fifteen bodies");
    let peak_mb = peak_memory_mb(&daemon);
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB");
}

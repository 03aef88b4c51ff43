//! An upstream that begins streams, breaks them off, and plays a fault where one is to go on.

use {
    crate::ports::free_address,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
    },
};

/// Events of a stream before it breaks off.
pub const FIRST_EVENTS: u64 = 2;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nsaddlepulley-attempt: {attempt}\r\n\
                           saddlepulley-signature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Stands in a fault for the id of the request's attempt.
const ATTEMPT: &str = "{attempt}";

/// What an upstream sends in place of an answer: a beginning, and then the same bytes again and again until
/// its caller closes the connection.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub name: &'static str,
    /// [`ATTEMPT`] stands for the id of the request's attempt.
    pub beginning: &'static str,
    /// Nothing if it is empty.
    pub repeated: &'static str,
    pub pause: Duration,
}

/// Takes requests and never answers.
pub const SILENT: Fault = Fault {
    name: "silent",
    beginning: "",
    repeated: "",
    pause: Duration::ZERO,
};

/// When an upstream plays its fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plays {
    /// For each request.
    Always,
    /// Where a stream is to go on. Others begin, and break off after [`FIRST_EVENTS`].
    OnContinuation,
}

/// The upstream, which stops when dropped.
pub struct FaultyUpstream {
    address: SocketAddr,
    /// Number of requests for which the fault is played.
    open_requests: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for FaultyUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultyUpstream {
    pub async fn start(fault: Fault, plays: Plays) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let open_requests = Arc::new(AtomicUsize::new(0));
        let open = open_requests.clone();
        let task = tokio::spawn(async move {
            // A dropped `JoinSet` ends its tasks, and with them their connections.
            let mut tasks = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                tasks.spawn(serve(stream, fault, plays, open.clone()));
            }
        });
        Self {
            address,
            open_requests,
            task,
        }
    }

    /// Returns the number of requests for which it plays its fault, since their callers have not closed
    /// their connections.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn serve(mut stream: TcpStream, fault: Fault, plays: Plays, open: Arc<AtomicUsize>) {
    let Some(head) = read_head(&mut stream).await else {
        return;
    };
    let is_continued = head.contains("\r\nlast-event-id:");
    let attempt = attempt_in(&head);
    // Writing fails once the caller has closed the connection.
    if plays == Plays::OnContinuation && !is_continued {
        let _ = begin_stream(&mut stream, attempt).await;
        return;
    }
    open.fetch_add(1, Ordering::Relaxed);
    let _ = play(&mut stream, fault, attempt).await;
    open.fetch_sub(1, Ordering::Relaxed);
}

pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut received, mut buf) = (String::new(), vec![0; 4 * 1_024]);
    while !received.contains("\r\n\r\n") {
        let length = stream.read(&mut buf).await.ok().filter(|n| *n > 0)?;
        received.push_str(&String::from_utf8_lossy(&buf[..length]));
    }
    Some(received.to_lowercase())
}

/// Returns the id of the attempt from the head of its request.
pub fn attempt_in(head: &str) -> &str {
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("saddlepulley-attempt:"));
    id.unwrap_or_default().trim()
}

pub async fn begin_stream(stream: &mut TcpStream, attempt: &str) -> std::io::Result<()> {
    let head = STREAM_HEAD.replace(ATTEMPT, attempt);
    stream.write_all(head.as_bytes()).await?;
    for n in 1..=FIRST_EVENTS {
        tokio::time::sleep(EVENT_INTERVAL).await;
        let event = format!("id: {n}\ndata: x\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    Ok(())
}

async fn play(stream: &mut TcpStream, fault: Fault, attempt: &str) -> std::io::Result<()> {
    let beginning = fault.beginning.replace(ATTEMPT, attempt);
    stream.write_all(beginning.as_bytes()).await?;
    if fault.repeated.is_empty() {
        // Ends when the caller closes the connection.
        stream.read_exact(&mut [0; 1]).await?;
        return Ok(());
    }
    let repeated: Arc<str> = match fault.pause.is_zero() {
        true => fault.repeated.repeat(1_024).into(),
        false => fault.repeated.into(),
    };
    loop {
        stream.write_all(repeated.as_bytes()).await?;
        tokio::time::sleep(fault.pause).await;
    }
}

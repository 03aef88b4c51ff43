//! An upstream whose streams are written byte for byte by a script.

use {
    crate::ports::free_address,
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
    },
};

/// Number of events of each stream.
pub const EVENTS: u64 = 12;
/// Attempts whose names begin so are answered by the sound script.
pub const SOUND: &str = "sound";

/// The chunks of a stream that begins after an event.
type Chunks = Box<dyn Fn(u64) -> Vec<Vec<u8>> + Send + Sync>;

/// How an upstream writes a stream.
pub struct Script {
    pub status: &'static str,
    /// The header lines on the type of content and the framing.
    pub head: &'static str,
    pub chunks: Chunks,
    /// Time before each chunk.
    pub pause: Duration,
    /// The connection ends behind the last chunk, without the end of the body.
    pub is_cut_off: bool,
}

pub const EVENT_STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
/// A body with neither a length nor chunks.
pub const UNFRAMED: &str = "content-type: text/event-stream\r\n";

impl Script {
    pub fn new(chunks: impl Fn(u64) -> Vec<Vec<u8>> + Send + Sync + 'static) -> Self {
        Self {
            status: "200 OK",
            head: EVENT_STREAM,
            chunks: Box::new(chunks),
            pause: Duration::from_millis(1),
            is_cut_off: false,
        }
    }

    /// Writes the events as most engines do, each in a chunk of its own.
    pub fn sound() -> Self {
        Self::new(|after| (after + 1..=EVENTS).map(event).collect())
    }
}

pub fn event(n: u64) -> Vec<u8> {
    format!("id: {n}\ndata: {n}\n\n").into_bytes()
}

/// The upstreams of a service. The first send of an attempt is answered by `first`, later ones by `later`.
pub struct Scripts {
    pub first: Script,
    pub later: Script,
    seen: Mutex<HashSet<String>>,
}

impl Scripts {
    pub fn new(first: Script, later: Script) -> Arc<Self> {
        Arc::new(Self {
            first,
            later,
            seen: Mutex::default(),
        })
    }

    fn choose(&self, attempt: &str) -> &Script {
        let is_first = self.seen.lock().unwrap().insert(attempt.to_string());
        match is_first && !attempt.starts_with(SOUND) {
            true => &self.first,
            false => &self.later,
        }
    }
}

/// The upstream, which stops when dropped.
pub struct ScriptedUpstream {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for ScriptedUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ScriptedUpstream {
    pub async fn start(scripts: Arc<Scripts>) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let task = tokio::spawn(async move {
            // A dropped `JoinSet` ends its tasks, and with them their connections.
            let mut tasks = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let scripts = scripts.clone();
                // Writing fails where the caller has closed the connection.
                tasks.spawn(async move { drop(serve(stream, &scripts).await) });
            }
        });
        Self { address, task }
    }
}

async fn serve(mut stream: TcpStream, scripts: &Scripts) -> std::io::Result<()> {
    let head = read_head(&mut stream).await?;
    let value = |name: &str| {
        let lines = head.lines();
        let mut values = lines.filter_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
        values.next().unwrap_or_default().to_string()
    };
    let attempt = value("saddlepulley-attempt");
    let after = value("last-event-id").parse().unwrap_or(0);
    let script = scripts.choose(&attempt);
    let head = format!(
        "HTTP/1.1 {}\r\nconnection: close\r\nsaddlepulley-attempt: {attempt}\r\n\
         saddlepulley-signature: s\r\n{}\r\n",
        script.status, script.head
    );
    stream.write_all(head.as_bytes()).await?;
    stream.set_nodelay(true)?;
    let is_chunked = script.head.contains("chunked");
    for chunk in (script.chunks)(after) {
        tokio::time::sleep(script.pause).await;
        let mut bytes = chunk.clone();
        if is_chunked {
            bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
            bytes.extend_from_slice(&chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        stream.write_all(&bytes).await?;
    }
    if is_chunked && !script.is_cut_off {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    stream.shutdown().await
}

async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut received = Vec::new();
    let mut buf = [0; 2_048];
    while !received.windows(4).any(|w| w == b"\r\n\r\n") {
        let length = stream.read(&mut buf).await?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        received.extend_from_slice(&buf[..length]);
    }
    Ok(String::from_utf8_lossy(&received).to_lowercase())
}

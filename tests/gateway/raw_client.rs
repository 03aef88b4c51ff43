//! A client that sees how a connection ends: answered, closed or reset, and
//! whether it looks for that before it asks again.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::Instant,
    },
};

/// How long an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two writes of one request.
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// What a client sends.
#[derive(Clone, Debug)]
pub struct RawRequest {
    pub attempt: String,
    pub path: String,
    pub key: &'static str,
    pub body: Vec<u8>,
    /// Whether head and body go out in two writes.
    pub in_two_writes: bool,
}

impl RawRequest {
    pub fn new(attempt: &str, path: &str, key: &'static str, body_bytes: usize) -> Self {
        Self {
            attempt: attempt.to_string(),
            path: path.to_string(),
            key,
            body: vec![b'x'; body_bytes],
            in_two_writes: false,
        }
    }

    fn head(&self) -> String {
        format!(
            "POST {} HTTP/1.1\r\nhost: h.example\r\nsaddlepulley-attempt: {}\r\n\
             saddlepulley-key: {}\r\nsaddlepulley-deadline-ms: 4000\r\ncontent-length: {}\r\n\r\n",
            self.path,
            self.attempt,
            self.key,
            self.body.len()
        )
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a whole answer.
    Answered {
        status: u16,
        body: Vec<u8>,
        /// Whether the answer said that the connection closes.
        says_close: bool,
    },
    /// The connection was closed, after that many bytes of an answer.
    Closed { got: usize },
    /// The connection was reset, after that many bytes of an answer.
    Reset { got: usize },
    /// Nothing came for long.
    Silent,
}

impl RequestOutcome {
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Answered { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// A connection.
pub struct RawClient {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl RawClient {
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            unread: Vec::new(),
        })
    }

    /// Returns whether the other side has ended the connection, as far as is
    /// known here.
    pub async fn has_ended(&mut self) -> bool {
        let mut byte = [0];
        let look = self.stream.peek(&mut byte);
        // Polled once after what the kernel knows was taken in.
        tokio::task::yield_now().await;
        match tokio::time::timeout(Duration::ZERO, look).await {
            Ok(Ok(0)) | Ok(Err(_)) => true,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Sends a request; returns when its last byte was handed to the kernel.
    pub async fn send(&mut self, request: &RawRequest) -> io::Result<Instant> {
        let mut bytes = request.head().into_bytes();
        if request.in_two_writes {
            self.stream.write_all(&bytes).await?;
            tokio::time::sleep(WRITE_PAUSE).await;
            bytes.clear();
        }
        bytes.extend_from_slice(&request.body);
        self.stream.write_all(&bytes).await?;
        Ok(Instant::now())
    }

    /// Reads the answer to what was sent.
    pub async fn answer(&mut self) -> RequestOutcome {
        let read = tokio::time::timeout(ANSWER_TIMEOUT, self.read_answer());
        read.await.unwrap_or(RequestOutcome::Silent)
    }

    /// Sends a request and reads its answer, whatever becomes of the sending.
    pub async fn ask(&mut self, request: &RawRequest) -> RequestOutcome {
        // An answer may be there although the request could not be sent whole.
        let _ = self.send(request).await;
        self.answer().await
    }

    async fn read_answer(&mut self) -> RequestOutcome {
        loop {
            if let Some((ending, used)) = parse(&self.unread) {
                self.unread.drain(..used);
                return ending;
            }
            let got = self.unread.len();
            match self.stream.read_buf(&mut self.unread).await {
                Ok(0) => return RequestOutcome::Closed { got },
                Ok(_) => {}
                Err(_) => return RequestOutcome::Reset { got },
            }
        }
    }
}

/// Parses an answer that is there whole; returns it with its length.
fn parse(bytes: &[u8]) -> Option<(RequestOutcome, usize)> {
    let head_end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..head_end]).expect("a head is text");
    let header = |name: &str| {
        let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut named = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.trim())
    };
    let (body, used) = match header("content-length") {
        Some(length) => {
            let end = head_end + length.parse::<usize>().expect("a length");
            (bytes.get(head_end..end)?.to_vec(), end)
        }
        None => chunks(bytes, head_end)?,
    };
    let ending = RequestOutcome::Answered {
        status: head.split(' ').nth(1)?.parse().expect("a status"),
        body,
        says_close: header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
    };
    Some((ending, used))
}

/// Reads a body in chunks that is there whole; returns it with its end.
fn chunks(bytes: &[u8], mut at: usize) -> Option<(Vec<u8>, usize)> {
    let mut body = Vec::new();
    loop {
        let line_end = at + bytes.get(at..)?.windows(2).position(|w| w == b"\r\n")?;
        let size = std::str::from_utf8(&bytes[at..line_end]).expect("a size is text");
        let size = usize::from_str_radix(size, 16).expect("a size");
        let start = line_end + 2;
        let chunk = bytes.get(start..start + size + 2)?;
        body.extend_from_slice(&chunk[..size]);
        at = start + size + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}

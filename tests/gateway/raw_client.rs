//! A client on a raw TCP connection, which distinguishes whether the connection was closed or
//! reset, and can check that before it sends the next request.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::Instant,
    },
};

/// How long a response may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two writes of one request.
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// A request as the client sends it.
#[derive(Clone, Debug)]
pub struct RawRequest {
    pub attempt: String,
    pub path: String,
    pub key: &'static str,
    pub body: Vec<u8>,
    /// Send head and body in two writes.
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
    /// A complete response was received.
    Answered {
        status: u16,
        body: Vec<u8>,
        /// The response has the header `Connection: close`.
        says_close: bool,
    },
    /// The connection was closed after `got` bytes of a response.
    Closed { got: usize },
    /// The connection was reset after `got` bytes of a response.
    Reset { got: usize },
    /// No complete response arrived within `ANSWER_TIMEOUT`.
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

/// A client connection.
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

    /// Returns whether the local kernel knows that the other side has closed or reset the
    /// connection.
    pub async fn has_ended(&mut self) -> bool {
        let mut byte = [0];
        let look = self.stream.peek(&mut byte);
        // The peek is polled once, after the event loop has taken up the state of the socket.
        tokio::task::yield_now().await;
        match tokio::time::timeout(Duration::ZERO, look).await {
            Ok(Ok(0)) | Ok(Err(_)) => true,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Sends a request and returns the time at which the kernel took its last byte.
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

    /// Reads the response to the request that was sent.
    pub async fn answer(&mut self) -> RequestOutcome {
        let read = tokio::time::timeout(ANSWER_TIMEOUT, self.read_answer());
        read.await.unwrap_or(RequestOutcome::Silent)
    }

    /// Sends a request and reads its response, even if sending fails.
    pub async fn fetch(&mut self, request: &RawRequest) -> RequestOutcome {
        // A response may have arrived although the request could not be sent completely.
        let _ = self.send(request).await;
        self.answer().await
    }

    async fn read_answer(&mut self) -> RequestOutcome {
        loop {
            if let Some((outcome, used)) = parse(&self.unread) {
                self.unread.drain(..used);
                return outcome;
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

/// Parses a response if it is complete; returns it with its length.
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
    let outcome = RequestOutcome::Answered {
        status: head.split(' ').nth(1)?.parse().expect("a status"),
        body,
        says_close: header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
    };
    Some((outcome, used))
}

/// Parses a chunked body if it is complete; returns it with the offset of its end.
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

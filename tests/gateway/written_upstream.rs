//! An upstream whose answers are written byte for byte.

use {
    crate::{faulty_upstream::*, ports::free_address},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
    },
};

/// What a plain route answers.
pub const PLAIN_BODY: &str = "the whole body of an upstream";
/// What a streaming route answers.
pub const EVENTS: &str = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n";

/// What an upstream does with the connection behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// Closes it, without a reset.
    Closes,
    /// Keeps it open and sends nothing more.
    IsSilent,
    /// Answers further requests.
    ServesOn,
}

/// How an upstream writes its answers.
#[derive(Clone, Debug)]
pub struct Form {
    /// Each character stands for a byte. Placeholders: `{own}` for the lines with the attempt, the signature and the
    /// type of content; `{body}`, `{half}` for its first half, `{chunks}` for the body in chunks;
    /// `{length}` for its length, `{length:x}` in hexadecimal digits.
    pub text: String,
    pub then: Then,
}

/// The upstream, which stops when dropped.
pub struct WrittenUpstream {
    pub address: SocketAddr,
    /// Number of requests that are answered in the form and whose callers keep the connection.
    open_requests: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for WrittenUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl WrittenUpstream {
    pub async fn start(form: &Form, plays: Plays) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let open_requests = Arc::new(AtomicUsize::new(0));
        let (form, open) = (Arc::new(form.clone()), open_requests.clone());
        let task = tokio::spawn(async move {
            // A dropped `JoinSet` ends its tasks, and with them their connections.
            let mut tasks = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (form, open) = (form.clone(), open.clone());
                // Writing fails where the caller has closed the connection.
                tasks.spawn(async move { drop(serve(stream, &form, plays, &open).await) });
            }
        });
        Self {
            address,
            open_requests,
            task,
        }
    }

    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

async fn serve(
    mut stream: TcpStream,
    form: &Form,
    plays: Plays,
    open: &AtomicUsize,
) -> std::io::Result<()> {
    while let Some(head) = read_head(&mut stream).await {
        let is_continued = head.contains("\r\nlast-event-id:");
        if plays == Plays::OnContinuation && !is_continued {
            return begin_stream(&mut stream, attempt_in(&head)).await;
        }
        let is_stream = head.starts_with("post /stream/");
        stream
            .write_all(&form.write(attempt_in(&head), is_stream))
            .await?;
        match form.then {
            Then::Closes => return stream.shutdown().await,
            Then::ServesOn => {}
            Then::IsSilent => {
                open.fetch_add(1, Ordering::Relaxed);
                // Ends when the caller closes the connection.
                let _ = stream.read_exact(&mut [0; 1]).await;
                open.fetch_sub(1, Ordering::Relaxed);
                return Ok(());
            }
        }
    }
    Ok(())
}

impl Form {
    pub fn new(text: impl Into<String>, then: Then) -> Self {
        let text = text.into();
        Self { text, then }
    }

    fn write(&self, attempt: &str, is_stream: bool) -> Vec<u8> {
        let (kind, body) = match is_stream {
            true => ("text/event-stream", EVENTS),
            false => ("text/plain", PLAIN_BODY),
        };
        let own = format!(
            "saddlepulley-attempt: {attempt}\r\nsaddlepulley-signature: s\r\ncontent-type: {kind}\r\n"
        );
        let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        let text = self
            .text
            .replace("{own}", &own)
            .replace("{body}", body)
            .replace("{half}", &body[..body.len() / 2])
            .replace("{chunks}", &chunks)
            .replace("{length}", &body.len().to_string())
            .replace("{length:x}", &format!("{:x}", body.len()));
        text.chars().map(|c| c as u8).collect()
    }
}

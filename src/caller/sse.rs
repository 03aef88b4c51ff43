use {
    super::{Body, Problem, status_of},
    crate::{app::AnswerEvent, names::*, requests::*},
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    serde::Serialize,
    serde_json::{Value, json as value},
    sha2::{Digest, Sha256},
    std::{convert::Infallible, io::Write as _, sync::Arc},
    tokio::sync::mpsc,
};

/// Initial buffer capacity for a chunk: the approximate size of one that holds a single token.
const CHUNK_BYTES: usize = 256;

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    saddlepulley: Option<ChunkEnd>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

/// The end of an answer: its length, and the SHA-256 digest of its text. The digest is missing
/// if the reader did not start at the first token.
#[derive(Serialize)]
struct ChunkEnd {
    total_tokens: usize,
    sha256: Option<String>,
}

/// Converts the events of an answer to server-sent events.
///
/// The `id` of each event consists of the request and the offset after the event, so that a
/// caller that lost its connection can continue with `Last-Event-ID`.
pub struct SseWriter {
    id: RequestId,
    id_text: String,
    model: String,
    chat: bool,
    /// The digest of the text so far; `None` if the reader did not start at the first token.
    digest: Option<Sha256>,
    /// The offset after the last event written, in tokens.
    from: usize,
}

impl SseWriter {
    /// Creates a writer for an answer from a token offset on.
    pub fn new(id: RequestId, from: usize) -> Self {
        Self {
            id,
            id_text: id.to_string(),
            model: String::new(),
            chat: false,
            digest: (from == 0).then(Sha256::new),
            from,
        }
    }

    /// Sets the model and the format of the events from the request.
    pub fn set_spec(&mut self, spec: &RequestSpec) {
        self.model = spec.service.to_string();
        self.chat = spec.model().is_some_and(|w| w.chat);
    }

    /// Returns an event in the format of server-sent events; `None` if the caller gets nothing
    /// for it.
    pub fn event(&mut self, event: &AnswerEvent) -> Option<Bytes> {
        match event {
            AnswerEvent::Spec(spec) => {
                self.set_spec(spec);
                None
            }
            AnswerEvent::Tokens { offset, tokens } => Some(self.tokens(*offset, tokens)),
            AnswerEvent::Ending(Ending::Whole { total }) => Some(self.complete(*total)),
            AnswerEvent::Ending(Ending::Plain(_)) => Some(self.named_event("error", &value!({}))),
            AnswerEvent::Ending(Ending::Failed(f)) => Some(self.failed(f)),
            AnswerEvent::Reattach => Some(self.reattach()),
            AnswerEvent::NotFound => {
                let failure = Failure::new(Outcome::MayHaveRun, "no box knows the request", 0);
                Some(self.failed(&failure))
            }
        }
    }

    fn tokens(&mut self, offset: usize, tokens: &[Arc<str>]) -> Bytes {
        let text = tokens.concat();
        if let Some(digest) = &mut self.digest {
            digest.update(&text);
        }
        self.from = offset + tokens.len();
        self.chunk(&text, None)
    }

    fn complete(&mut self, total: usize) -> Bytes {
        let digest = self.digest.take().map(|d| hex::encode(d.finalize()));
        let end = ChunkEnd {
            total_tokens: total,
            sha256: digest,
        };
        let mut bytes = self.chunk("", Some(end)).to_vec();
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes.into()
    }

    fn failed(&self, f: &Failure) -> Bytes {
        let doc = Problem::new(status_of(f.outcome), f, Some(self.id));
        let mut doc = serde_json::to_value(doc).unwrap_or_default();
        doc["retry_after_ms"] = value!(f.retry_after_ms);
        self.named_event("error", &doc)
    }

    fn reattach(&self) -> Bytes {
        let path = format!("/v1/requests/{}", self.id);
        self.named_event("reattach", &value!({ "get": path }))
    }

    fn chunk(&self, text: &str, end: Option<ChunkEnd>) -> Bytes {
        let finish_reason = end.as_ref().map(|_| "stop");
        let choice = if self.chat {
            Choice {
                delta: Some(Delta { content: text }),
                text: None,
                index: 0,
                finish_reason,
            }
        } else {
            Choice {
                delta: None,
                text: Some(text),
                index: 0,
                finish_reason,
            }
        };
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let chunk = Chunk {
            id: &self.id_text,
            object,
            model: &self.model,
            choices: [choice],
            saddlepulley: end,
        };
        let mut bytes = Vec::with_capacity(CHUNK_BYTES);
        let _ = write!(bytes, "id: {}:{}\ndata: ", self.id_text, self.from);
        let _ = serde_json::to_writer(&mut bytes, &chunk);
        bytes.extend_from_slice(b"\n\n");
        bytes.into()
    }

    fn named_event(&self, name: &str, data: &Value) -> Bytes {
        format!(
            "id: {}:{}\nevent: {name}\ndata: {data}\n\n",
            self.id, self.from
        )
        .into()
    }
}

/// Returns the body of a response that streams an answer's events.
pub fn sse_body(writer: SseWriter, rx: mpsc::Receiver<AnswerEvent>) -> Body {
    let events = stream::unfold((writer, rx), |(mut writer, mut rx)| async move {
        loop {
            let event = rx.recv().await?;
            if let Some(bytes) = writer.event(&event) {
                return Some((bytes, (writer, rx)));
            }
        }
    });
    let frames = events.map(|bytes| Ok::<_, Infallible>(Frame::data(bytes)));
    BodyExt::boxed(StreamBody::new(frames))
}

/// Parses a `Last-Event-ID`, which consists of a request and an offset. Returns the offset, or
/// `None` if the text is malformed or names another request.
pub fn parse_event_id(text: &str, id: RequestId) -> Option<usize> {
    let (request, offset) = text.rsplit_once(':')?;
    if request.parse::<RequestId>().ok()? != id {
        return None;
    }
    offset.parse().ok()
}

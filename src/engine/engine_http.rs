use {
    super::*,
    crate::http::*,
    async_trait::async_trait,
    bytes::{Bytes, BytesMut},
    http::HeaderMap,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    tokio::sync::mpsc,
    uuid::Uuid,
};

/// Limits a call to an engine; for completions, the wait for the head of the answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Limits an import of a KV cache, which returns only when the transfer is complete.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Frames that are buffered for the owner; when the queue is full, the connection is read no
/// further, so that flow control slows down the engine.
const FRAME_QUEUE: usize = 64;
/// Upper limit of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// An answer that sends nothing for this long counts as cut off.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls model engines over HTTP.
#[derive(Clone, Debug, Default)]
pub struct EngineHttp {
    client: HttpClient,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<CacheEvent>,
}

#[async_trait]
impl Engine for EngineHttp {
    async fn complete(
        &self,
        at: SocketAddr,
        completion: CompletionRequest<'_>,
    ) -> Result<Frames, EngineError> {
        let body = serde_json::to_vec(&completion).unwrap_or_default();
        let req = request(
            "POST",
            at,
            "/v1/completions",
            &HeaderMap::new(),
            body.into(),
        )?;
        let rep = self.client.open(req, CALL_TIMEOUT).await?;
        let (tx, rx) = mpsc::channel(FRAME_QUEUE);
        tokio::spawn(read_frames(rep.into_body(), tx));
        Ok(rx)
    }

    async fn cancel(&self, at: SocketAddr, request: Uuid) -> Result<(), EngineError> {
        let path = format!("/v1/cancel/{request}");
        self.client.post(at, &path, "", CALL_TIMEOUT).await?;
        Ok(())
    }

    async fn load(&self, at: SocketAddr) -> Result<EngineLoad, EngineError> {
        Ok(self.client.get_json(at, "/v1/load", CALL_TIMEOUT).await?)
    }

    async fn cache_events(
        &self,
        at: SocketAddr,
        from: u64,
    ) -> Result<Vec<CacheEvent>, EngineError> {
        let path = format!("/v1/cache_events?from={from}");
        let events: Events = self.client.get_json(at, &path, CALL_TIMEOUT).await?;
        Ok(events.events)
    }

    async fn import_kv(
        &self,
        to: SocketAddr,
        from: SocketAddr,
        request: Uuid,
    ) -> Result<(), EngineError> {
        let import = ImportRequest {
            request_id: request,
            from,
        };
        let body = serde_json::to_vec(&import).unwrap_or_default();
        self.client
            .post(to, "/v1/kv/import", body, IMPORT_TIMEOUT)
            .await?;
        Ok(())
    }

    async fn order(&self, at: SocketAddr, order: &EngineOrder) -> Result<(), EngineError> {
        let body = serde_json::to_vec(order).unwrap_or_default();
        match self.client.post(at, "/v1/orders", body, CALL_TIMEOUT).await {
            Ok(_) => Ok(()),
            Err(HttpError::Status(409)) => Err(EngineError::Fenced),
            Err(e) => Err(e.into()),
        }
    }
}

type FrameSender = mpsc::Sender<Result<CompletionFrame, EngineError>>;

/// Reads events and sends their frames until the answer ends, is cut off, or the receiver is
/// dropped.
async fn read_frames(mut body: Incoming, tx: FrameSender) {
    let mut buf = BytesMut::new();
    loop {
        let next = tokio::select! {
            next = tokio::time::timeout(IDLE_TIMEOUT, body.frame()) => next,
            () = tx.closed() => return,
        };
        let data = match next {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            _ => {
                let _ = tx.send(Err(EngineError::CutOff)).await;
                return;
            }
        };
        buf.extend_from_slice(&data);
        if !forward_frames(&mut buf, &tx).await {
            return;
        }
    }
}

/// Sends the frames of the complete events in the buffer; returns false when the answer has
/// ended or failed, or the receiver was dropped.
async fn forward_frames(buf: &mut BytesMut, tx: &FrameSender) -> bool {
    while let Some(end) = buf.windows(2).position(|w| w == b"\n\n") {
        let event = buf.split_to(end + 2).freeze();
        let frame = parse_event(&event);
        let last = !matches!(&frame, Ok(f) if f.total.is_none());
        if tx.send(frame).await.is_err() || last {
            return false;
        }
    }
    if buf.len() > MAX_EVENT_BYTES {
        let _ = tx.send(Err(EngineError::CutOff)).await;
        return false;
    }
    true
}

/// Parses a server-sent event, whose data is the JSON of a frame.
fn parse_event(event: &Bytes) -> Result<CompletionFrame, EngineError> {
    let data = event.strip_prefix(b"data: ").unwrap_or(event);
    let frame = from_json(data.trim_ascii_end())?;
    Ok(frame)
}

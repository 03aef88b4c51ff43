use {
    super::{SendFailure, UpstreamConnection, UpstreamPool},
    crate::names::UpstreamId,
    bytes::Bytes,
    http::{HeaderMap, Request, header, response::Parts},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{error::Error, io, sync::Arc, time::Duration},
};

/// An answer whose body is still being read. Dropping it before the end
/// closes the connection, which cancels the request at its upstream.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: Option<UpstreamConnection>,
    upstream: UpstreamId,
    pool: Arc<UpstreamPool>,
}

impl OpenAnswer {
    /// Sends a request over a connection and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have run.
    pub async fn open(
        pool: &Arc<UpstreamPool>,
        upstream: &UpstreamId,
        mut connection: UpstreamConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Self, SendFailure> {
        let answer = connection.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut e| {
            // The message comes back only if no byte of it was written.
            let unsent = e.take_message().is_some();
            match unsent {
                true => SendFailure::NotSent(e.error().to_string()),
                false => broken(e.error()),
            }
        })?;
        let (head, body) = answer.into_parts();
        Ok(Self {
            head,
            body,
            connection: Some(connection),
            upstream: upstream.clone(),
            pool: pool.clone(),
        })
    }

    /// Returns the next piece of the body, or none at its end.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::MayHaveRun`] or [`SendFailure::CutOff`] if the answer breaks
    /// off.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, SendFailure>> {
        loop {
            match self.body.frame().await {
                None => {
                    self.release();
                    return None;
                }
                Some(Err(e)) => {
                    self.connection = None;
                    return Some(Err(broken(&e)));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
            }
        }
    }

    /// Reads the whole body, up to `most` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::MayHaveRun`] or [`SendFailure::CutOff`] if it breaks off or is
    /// too large.
    pub async fn read_all(&mut self, most: usize) -> Result<Bytes, SendFailure> {
        let mut whole = bytes::BytesMut::new();
        while let Some(piece) = self.next_chunk().await {
            whole.extend_from_slice(&piece?);
            if whole.len() > most {
                self.connection = None;
                return Err(SendFailure::MayHaveRun("the answer is too large".into()));
            }
        }
        Ok(whole.freeze())
    }

    /// The whole answer was read: the connection can be used again.
    fn release(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if closes(&self.head.headers) || has_no_length(&self.head.headers) {
            return;
        }
        let kept = keep_alive(&self.head.headers);
        self.pool.put(&self.upstream, connection, kept);
    }
}

/// Tells a connection that its upstream ended from an answer that is none, and from a
/// path on which nothing is heard any more.
fn broken(e: &hyper::Error) -> SendFailure {
    let cause = e
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    let is_silence = cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut);
    match e.is_parse() || is_silence {
        true => SendFailure::MayHaveRun(e.to_string()),
        false => SendFailure::CutOff(e.to_string()),
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let connection = headers.get(header::CONNECTION);
    connection.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn has_no_length(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads how long the upstream keeps an idle connection.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|p| p.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

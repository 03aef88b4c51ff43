use {
    super::{Endpoint, EndsWithConnection, SendFailure, UpstreamConnection, UpstreamPool},
    crate::http::{HeadFault, announces_end, has_no_framing},
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Request, header, response::Parts},
    http_body_util::{BodyExt, Full},
    hyper::body::{Body, Incoming},
    std::{error::Error, io, sync::Arc, time::Duration},
};

/// A response whose body is still being read. Dropping it before the end of the body
/// closes the connection, which cancels the request at its upstream.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status and headers. Its extensions hold the [`HeadFault`], if it has one.
    pub head: Parts,
    body: Incoming,
    connection: Option<UpstreamConnection>,
    endpoint: Endpoint,
    pool: Arc<UpstreamPool>,
}

impl OpenAnswer {
    /// Sends a request over a connection and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if no byte of the request was written, and
    /// otherwise [`SendFailure::MayHaveRun`] or [`SendFailure::CutOff`].
    pub async fn open(
        pool: &Arc<UpstreamPool>,
        endpoint: Endpoint,
        mut connection: UpstreamConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Self, SendFailure> {
        let answer = connection.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut e| {
            // hyper returns the message only if no byte of it was written.
            let is_unsent = e.take_message().is_some();
            match is_unsent {
                true => SendFailure::NotSent(e.error().to_string()),
                false => classify_error(e.error()),
            }
        })?;
        let (mut head, body) = answer.into_parts();
        if has_no_framing(&head.headers) {
            head.extensions.insert(EndsWithConnection);
        }
        if let Some(fault) = HeadFault::find(&head, !body.is_end_stream()) {
            head.extensions.insert(fault);
        }
        set_length(&mut head.headers, &body);
        Ok(Self {
            head,
            body,
            connection: Some(connection),
            endpoint,
            pool: pool.clone(),
        })
    }

    /// Returns the next chunk of the body, or none at its end.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::MayHaveRun`] or [`SendFailure::CutOff`] if the response breaks
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
                    return Some(Err(classify_error(&e)));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
            }
        }
    }

    /// Returns the connection to the pool once the full body is read, unless the upstream
    /// closes it after this response.
    fn release(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if announces_end(&self.head) || has_no_framing(&self.head.headers) {
            return;
        }
        let idle_timeout = keep_alive_timeout(&self.head.headers);
        self.pool.put(&self.endpoint, connection, idle_timeout);
    }
}

/// Classifies an error of a connection: [`SendFailure::MayHaveRun`] if the response can't
/// be parsed or the connection timed out, as on a network path that lost all packets;
/// [`SendFailure::CutOff`] if the connection ended, as it does when the upstream's process
/// ends.
fn classify_error(e: &hyper::Error) -> SendFailure {
    let cause = e
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    let is_timeout = cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut);
    match e.is_parse() || is_timeout {
        true => SendFailure::MayHaveRun(e.to_string()),
        false => SendFailure::CutOff(e.to_string()),
    }
}

/// Makes the length in a head that of its body: callers pass both on. Beside chunks a length does not count
/// (RFC 9112, 6.3), and one that is named several times can be written as one.
fn set_length(headers: &mut HeaderMap, body: &impl Body) {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        headers.remove(header::CONTENT_LENGTH);
        return;
    }
    // An answer to HEAD names a length and has no body.
    let length = body.size_hint().exact().filter(|length| *length > 0);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
}

/// Returns how long the upstream keeps an idle connection open, by its `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|p| p.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::runtime::Handle,
};

/// Limits of reading a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum number of bytes to read.
    pub max_bytes: usize,
    /// Maximum time to read the rest of a body that was dropped unread.
    pub timeout: Duration,
}

/// The body of a request to one of the daemon's HTTP servers.
///
/// When it is dropped, the unread rest is read and discarded, within its limits. Unread bytes
/// would reset the connection, so that the client loses the answer, and its next request on
/// the connection too: of 72 refusals that were sent before the body was read, with the
/// requests after them, 48 were lost on loopback.
#[derive(Debug)]
pub struct RequestBody {
    body: Option<Incoming>,
    limits: BodyLimits,
    /// Set while the client waits for `100 Continue`, which it gets when the body is first read.
    expects_continue: bool,
}

impl RequestBody {
    /// Wraps the body of a request that has just arrived; `expects_continue` is set if the
    /// request has `Expect: 100-continue`.
    pub fn new(body: Incoming, limits: BodyLimits, expects_continue: bool) -> Self {
        Self {
            body: Some(body),
            limits,
            expects_continue,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.expects_continue = false;
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.limits.max_bytes = self.limits.max_bytes.saturating_sub(bytes);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.body.as_ref().map(Body::size_hint);
        hint.unwrap_or_else(|| SizeHint::with_exact(0))
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else { return };
        if body.is_end_stream() || self.expects_continue {
            return;
        }
        // Without a runtime the connection is closed already.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(discard(body, self.limits));
        }
    }
}

/// Reads a body to its end and discards it. A body that exceeds the limits is dropped, which
/// closes its connection.
async fn discard(body: Incoming, limits: BodyLimits) {
    let mut body = Limited::new(body, limits.max_bytes);
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    if tokio::time::timeout(limits.timeout, read).await.is_err() {
        log::info!(target: "client", "the unread body of a refused request did not arrive within the timeout.");
    }
}

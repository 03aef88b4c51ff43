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

/// How much of a body is read, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The most bytes.
    pub max_bytes: usize,
    /// The longest time.
    pub timeout: Duration,
}

/// The body of a request to a server of ours.
///
/// What nobody has read of it when it is dropped is read and thrown away, within its
/// limits. Left unread, its bytes would reset the connection, which takes the answer
/// away from the client and loses what it asks next: of 72 refusals given before the
/// body, and requests after them, 48 on loopback.
#[derive(Debug)]
pub struct RequestBody {
    body: Option<Incoming>,
    limits: BodyLimits,
    /// Whether the client sends it only once it is told to: when it is first read.
    expects_continue: bool,
}

impl RequestBody {
    /// Makes the body of a request that has just come.
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
        // Without a runtime there is no connection left, either.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(discard(body, self.limits));
        }
    }
}

/// Reads a body and keeps nothing of it. One that is too large, or takes too long,
/// is dropped, which ends its connection.
async fn discard(body: Incoming, limits: BodyLimits) {
    let mut body = Limited::new(body, limits.max_bytes);
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    if tokio::time::timeout(limits.timeout, read).await.is_err() {
        log::info!(target: "client", "the body of a refused request took too long.");
    }
}

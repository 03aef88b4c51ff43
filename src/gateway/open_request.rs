use {
    super::{AnswerBody, Gateway, RequestActivityGuard},
    crate::clock::BootInstant,
    bytes::Bytes,
    http::{HeaderValue, Response},
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        sync::{Arc, atomic::Ordering},
        task::{Context, Poll, ready},
    },
};

/// Counts a request as in flight until it is dropped, and logs requests whose connection
/// closed before the response was complete.
pub(super) struct OpenRequest {
    gateway: Arc<Gateway>,
    id: Option<HeaderValue>,
    /// When the request head arrived.
    pub started: BootInstant,
    has_ended: bool,
    _activity: RequestActivityGuard,
}

impl OpenRequest {
    /// Counts a request whose head has just arrived.
    pub fn start(
        gateway: &Arc<Gateway>,
        id: Option<HeaderValue>,
        busy: RequestActivityGuard,
    ) -> Self {
        gateway.open_requests.fetch_add(1, Ordering::Relaxed);
        Self {
            gateway: gateway.clone(),
            id,
            started: BootInstant::now(),
            has_ended: false,
            _activity: busy,
        }
    }

    /// Returns the id of the attempt for the log, or `-`.
    pub fn id_text(&self) -> &str {
        let id = self.id.as_ref().and_then(|v| v.to_str().ok());
        id.unwrap_or("-")
    }

    /// Ties the request to the body of its response, until the last frame has been taken.
    pub fn attach_to(mut self, answer: Response<AnswerBody>) -> Response<AnswerBody> {
        // hyper does not poll an empty body.
        self.has_ended = answer.body().is_end_stream();
        answer.map(|body| OpenBody { body, open: self }.boxed_unsync())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.gateway.open_requests.fetch_sub(1, Ordering::Relaxed);
        if !self.has_ended {
            log::info!(
                target: "client",
                "connection closed before the response was complete. request={} after_ms={} stopping={}",
                self.id_text(),
                self.started.elapsed().as_millis(),
                self.gateway.is_stopping()
            );
        }
    }
}

/// The body of a response, which keeps its request in flight.
struct OpenBody {
    body: AnswerBody,
    open: OpenRequest,
}

impl Body for OpenBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.open.has_ended |= frame.is_none() || self.body.is_end_stream();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

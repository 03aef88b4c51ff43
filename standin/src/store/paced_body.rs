use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Sleep, sleep},
};

/// Time between two chunks of a body.
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);

/// How the bodies of answers are delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// At once, in one chunk.
    #[default]
    AtOnce,
    /// At most this many bytes a second, as over a slow link.
    Throttled(usize),
    /// This many bytes, then nothing more, with the connection left open.
    Stalled(usize),
}

/// The body of an answer, delivered in chunks according to `Delivery`.
#[derive(Debug)]
pub struct PacedBody {
    remaining: Bytes,
    delivery: Delivery,
    pause: Pin<Box<Sleep>>,
}

impl PacedBody {
    pub fn new(bytes: Bytes, delivery: Delivery) -> Self {
        Self {
            remaining: bytes,
            delivery,
            pause: Box::pin(sleep(Duration::ZERO)),
        }
    }

    /// Returns the size of the next chunk; `None` once the delivery stalls.
    fn next_chunk_bytes(&mut self) -> Option<usize> {
        match &mut self.delivery {
            Delivery::AtOnce => Some(self.remaining.len()),
            Delivery::Throttled(per_s) => {
                let chunks_per_s =
                    (Duration::from_secs(1).as_millis() / CHUNK_INTERVAL.as_millis()) as usize;
                Some((*per_s / chunks_per_s).max(1))
            }
            Delivery::Stalled(0) => None,
            Delivery::Stalled(left) => Some(std::mem::take(left)),
        }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        if self.pause.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        let Some(next_chunk_bytes) = self.next_chunk_bytes() else {
            // No waker is registered, so the client has to time out.
            return Poll::Pending;
        };
        let next_chunk_bytes = next_chunk_bytes.min(self.remaining.len());
        let bytes = self.remaining.split_to(next_chunk_bytes);
        self.pause = Box::pin(sleep(CHUNK_INTERVAL));
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }
}

use {std::sync::Arc, tokio::sync::Notify};

/// Requests that a client's connection is closed because its client leaves an answer unread. A
/// connection that waits to write to its client notices no other signal.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCloser(Arc<Notify>);

impl ConnectionCloser {
    /// Requests that the connection is closed.
    pub fn request_close(&self) {
        self.0.notify_one();
    }

    /// Waits until the close is requested.
    pub async fn close_requested(&self) {
        self.0.notified().await;
    }
}

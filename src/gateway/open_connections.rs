use {
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::watch,
};

/// The connections of clients.
#[derive(Debug)]
pub struct ClientConnections {
    open: AtomicUsize,
    /// Set when idle connections are to be closed.
    closing: watch::Sender<bool>,
}

impl Default for ClientConnections {
    fn default() -> Self {
        Self {
            open: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        }
    }
}

impl ClientConnections {
    /// Closes connections once they are idle.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Returns what tells when idle connections are to be closed.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns how many are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Counts a connection from the moment at which it was accepted: a stop waits for
/// those, too, of which nothing was read yet.
pub(super) struct OpenConnection(Arc<ClientConnections>);

impl OpenConnection {
    /// Begins with one that was just accepted.
    pub(super) fn new(connections: &Arc<ClientConnections>) -> Self {
        connections.open.fetch_add(1, Ordering::Relaxed);
        Self(connections.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until idle connections are to be closed.
pub(super) async fn until_closing(closing: &mut watch::Receiver<bool>) {
    // The sender lives as long as the daemon: its end is a stop, too.
    let _ = closing.wait_for(|closing| *closing).await;
}

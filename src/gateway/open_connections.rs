use {
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::watch,
};

/// The open client connections.
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
    /// Requests that each connection be closed once it is idle.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Returns a receiver that becomes true when idle connections are to be closed.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Counts an accepted connection until it is dropped. A stopping daemon also waits for
/// connections on which nothing has been read yet.
pub(super) struct OpenConnection(Arc<ClientConnections>);

impl OpenConnection {
    /// Counts a connection that was just accepted.
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
    // The sender lives as long as the daemon, so an error also means that the daemon stops.
    let _ = closing.wait_for(|closing| *closing).await;
}

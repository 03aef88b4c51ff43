use {
    super::{Endpoint, SendFailure},
    crate::{clock::BootInstant, http::reset_on_close, names::UpstreamId},
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    socket2::{SockRef, TcpKeepalive},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::AbortHandle},
};

/// Maximum time for which sent bytes may stay unacknowledged, or unread by the other side,
/// before a connection to an upstream or a daemon is closed. Sound upstreams are silent for a
/// second now and then. By this time-out, keep-alive probes without an answer end a connection too,
/// however many the socket allows.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without traffic after which a keep-alive probe is sent, and the interval between probes.
const KEEPALIVE_PROBE: Duration = Duration::from_secs(1);
/// Maximum time for which the pool keeps an idle connection.
const MAX_IDLE: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_ENDPOINT: usize = 32;
/// Maximum size of a response head from an upstream, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A connection to an upstream, or to a daemon that passes requests on. Dropping it closes it.
#[derive(Debug)]
pub struct UpstreamConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl UpstreamConnection {
    /// Returns true if neither side is known to have closed the connection.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: BootInstant,
    until: BootInstant,
}

/// Idle connections to upstreams, and to daemons that pass requests on to them, kept for reuse.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    idle: Mutex<HashMap<Endpoint, Vec<IdleConnection>>>,
}

impl UpstreamPool {
    /// Takes a usable connection that has been idle for less than `max_idle`.
    pub fn take(&self, endpoint: &Endpoint, max_idle: Duration) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock();
        let idle_connections = idle.get_mut(endpoint)?;
        let now = BootInstant::now();
        while let Some(entry) = idle_connections.pop() {
            let connection = entry.connection;
            let usable = connection.sender.is_ready() && !connection.sender.is_closed();
            if usable && now < entry.until && now - entry.since < max_idle {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps an idle connection for at most `MAX_IDLE`, and for at most 80% of the keep-alive
    /// time that its other end named.
    pub fn put(
        &self,
        endpoint: &Endpoint,
        connection: UpstreamConnection,
        keep_alive: Option<Duration>,
    ) {
        let now = BootInstant::now();
        let idle_time =
            keep_alive.map_or(MAX_IDLE, |keep_alive| keep_alive.mul_f64(0.8).min(MAX_IDLE));
        let mut idle = self.idle.lock();
        let idle_connections = idle.entry(endpoint.clone()).or_default();
        if idle_connections.len() >= MAX_IDLE_PER_ENDPOINT {
            idle_connections.remove(0);
        }
        idle_connections.push(IdleConnection {
            connection,
            since: now,
            until: now + idle_time,
        });
    }

    /// Closes the idle connections of upstreams for which `is_known` is false, and those that
    /// have been idle for too long.
    pub fn sweep(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let now = BootInstant::now();
        self.idle.lock().retain(|endpoint, idle_connections| {
            idle_connections
                .retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
            let is_kept = match endpoint {
                Endpoint::Upstream(id) => is_known(id),
                Endpoint::Daemon(_) => true,
            };
            is_kept && !idle_connections.is_empty()
        });
    }

    /// Opens a connection to an upstream, or to a daemon that passes requests on.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if the connection can't be opened within `timeout`.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<UpstreamConnection, SendFailure> {
        let not_sent = |e: &dyn std::fmt::Display| SendFailure::NotSent(e.to_string());
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent(&"connection timed out"))?
            .map_err(|e| not_sent(&e))?;
        set_upstream_options(&stream).map_err(|e| not_sent(&e))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        let task = tokio::spawn(async move {
            // The request that uses the connection gets its error.
            let _ = connection.await;
        });
        Ok(UpstreamConnection {
            sender,
            task: task.abort_handle(),
        })
    }
}

/// Sets the options of a connection to an upstream, or to a daemon that passes requests on.
///
/// # Errors
///
/// Returns the error of the socket call that failed.
pub fn set_upstream_options(stream: &TcpStream) -> std::io::Result<()> {
    set_socket_options(stream, UNACKNOWLEDGED_TIMEOUT)?;
    // A reset on close keeps a cancelled request from arriving later.
    reset_on_close(stream)
}

/// Sets the socket options that detect a dead peer: a connection fails after `dead_after`
/// without progress. This includes a live peer that doesn't read, even if it acknowledges
/// window probes: the kernel counts from the time when the peer's receive window closed.
///
/// # Errors
///
/// Returns the error of the socket call that failed.
pub fn set_socket_options(stream: &TcpStream, dead_after: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(dead_after))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_PROBE)
        .with_interval(KEEPALIVE_PROBE)
        .with_retries(3);
    socket.set_tcp_keepalive(&probes)
}

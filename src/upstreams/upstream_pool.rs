use {
    super::SendFailure,
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

/// How long sent bytes may stay unacknowledged, or unread by the other side, before
/// a connection to an upstream or a daemon is given up.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
const KEEPALIVE_PROBE: Duration = Duration::from_secs(1);
/// How long a connection rests at most before it is closed.
const MAX_IDLE: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_UPSTREAM: usize = 32;
/// The most of a head that is read from an upstream, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A connection to an upstream. Dropping it closes it.
#[derive(Debug)]
pub struct UpstreamConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl UpstreamConnection {
    /// Returns whether neither side has closed it, as far as is known.
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

/// Connections to upstreams that rest until they are used again.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    idle: Mutex<HashMap<UpstreamId, Vec<IdleConnection>>>,
}

impl UpstreamPool {
    /// Takes a connection that has rested for less than `max_idle`.
    pub fn take(&self, id: &UpstreamId, max_idle: Duration) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock();
        let rested = idle.get_mut(id)?;
        let now = BootInstant::now();
        while let Some(entry) = rested.pop() {
            let connection = entry.connection;
            let usable = connection.sender.is_ready() && !connection.sender.is_closed();
            if usable && now < entry.until && now - entry.since < max_idle {
                return Some(connection);
            }
        }
        None
    }

    /// Lets a connection rest, for as long as its upstream said that it keeps it.
    pub fn put(&self, id: &UpstreamId, connection: UpstreamConnection, kept: Option<Duration>) {
        let now = BootInstant::now();
        let rest = kept.map_or(MAX_IDLE, |kept| kept.mul_f64(0.8).min(MAX_IDLE));
        let mut idle = self.idle.lock();
        let rested = idle.entry(id.clone()).or_default();
        if rested.len() >= MAX_IDLE_PER_UPSTREAM {
            rested.remove(0);
        }
        rested.push(IdleConnection {
            connection,
            since: now,
            until: now + rest,
        });
    }

    /// Closes the resting connections of upstreams that `is_known` doesn't
    /// know, and those that have rested for too long.
    pub fn sweep(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let now = BootInstant::now();
        self.idle.lock().retain(|id, rested| {
            rested.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
            is_known(id) && !rested.is_empty()
        });
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`].
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<UpstreamConnection, SendFailure> {
        let not_sent = |e: &dyn std::fmt::Display| SendFailure::NotSent(e.to_string());
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent(&"no connection in time"))?
            .map_err(|e| not_sent(&e))?;
        set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT).map_err(|e| not_sent(&e))?;
        // A request that is taken back must not arrive later.
        reset_on_close(&stream).map_err(|e| not_sent(&e))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        let task = tokio::spawn(async move {
            // An error of the connection reaches the request that is on it.
            let _ = connection.await;
        });
        Ok(UpstreamConnection {
            sender,
            task: task.abort_handle(),
        })
    }
}

/// Makes a dead peer known after a time. A peer that lives and doesn't read is one of
/// them, also for probes that it acknowledges: the kernel counts from when its window
/// closed.
///
/// # Errors
///
/// Returns the error of the socket.
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

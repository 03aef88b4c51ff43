use {
    super::{intake::set_connection_close, open_connections::until_closing, *},
    crate::{
        policy::{ClientActivity, CloseReason, CloseStep},
        upstreams::set_socket_options,
    },
    http::Request,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    parking_lot::Mutex,
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpStream, sync::watch, time::Instant},
};

/// Lower bound of the idle timeout of client connections.
const MIN_IDLE: Duration = Duration::from_secs(10);
/// Interval at which a connection that is to be closed is checked: short compared to the
/// duration of a request, long compared to the cost of a check.
const CLOSE_POLL: Duration = Duration::from_millis(20);
/// How long input of the client is still read after the last response, so that no reset
/// discards that response: a few round trips and one retransmission.
const LINGER: Duration = Duration::from_secs(1);
/// Minimum size of the buffer that requests are read into, in bytes.
const MIN_HEAD_BYTES: usize = 16 * 1024;
/// Size of the read buffer beyond the largest request head, in bytes.
const EXTRA_BUFFER_BYTES: usize = 8 * 1024;

/// State shared by the tasks that serve one client connection.
#[derive(Clone, Debug)]
struct ClientConnection {
    gateway: Arc<Gateway>,
    socket: ClientSocket,
    activity: Arc<Mutex<ClientActivity>>,
    /// Set when idle connections are to be closed.
    closing: watch::Receiver<bool>,
    /// Requests that this connection is closed because its client leaves an answer unread.
    connection_closer: ConnectionCloser,
}

/// Marks a request as active on its connection until it is dropped.
#[derive(Debug)]
pub struct RequestActivityGuard {
    gateway: Arc<Gateway>,
    activity: Arc<Mutex<ClientActivity>>,
}

impl Drop for RequestActivityGuard {
    fn drop(&mut self) {
        let now_ms = self.gateway.steady_ms();
        self.activity.lock().finish_request(now_ms);
    }
}

/// Serves the requests on a client's connection until either side closes it.
pub(super) async fn serve_client(
    stream: TcpStream,
    gateway: Arc<Gateway>,
    closing: watch::Receiver<bool>,
) {
    // A client may also stop reading, or lose its network, for as long as it may be idle:
    // a client that pauses must not lose its response.
    let dead_after = idle_limit(&gateway);
    if let Err(e) = set_socket_options(&stream, dead_after) {
        log::info!(target: "client", "connection not served: socket options failed. error=\"{e}\"");
        return;
    }
    let activity = ClientActivity::new(gateway.steady_ms());
    let activity = Arc::new(Mutex::new(activity));
    let client = ClientConnection {
        socket: ClientSocket::new(stream, activity.clone()),
        gateway,
        activity,
        closing,
        connection_closer: ConnectionCloser::default(),
    };
    client.serve().await;
}

/// Returns the idle timeout of client connections in the current configuration.
fn idle_limit(gateway: &Gateway) -> Duration {
    Duration::from_millis(gateway.client_limits().idle_timeout_ms).max(MIN_IDLE)
}

impl ClientConnection {
    async fn serve(self) {
        let connection_closer = self.connection_closer.clone();
        tokio::select! {
            () = self.serve_requests() => {}
            () = connection_closer.close_requested() => {
                log::warn!(target: "client", "connection cut off: its client left an answer unread.");
            }
        }
    }

    async fn serve_requests(mut self) {
        let max_head = self.gateway.client_limits().max_header_bytes;
        let handler = self.clone();
        let service = service_fn(move |request| handler.clone().answer(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // `wait_until_closable` applies the idle timeout, which the configuration may change
            // while the connection is open.
            .header_read_timeout(None)
            .max_buf_size(max_head.max(MIN_HEAD_BYTES) + EXTRA_BUFFER_BYTES)
            .serve_connection(TokioIo::new(self.socket.clone()), service);
        tokio::pin!(connection);
        let end = tokio::select! {
            // A request that has arrived is served before the connection is closed.
            biased;
            end = connection.as_mut() => end,
            () = self.wait_until_closable() => {
                if self.activity.lock().requests() == 0 {
                    // hyper would keep waiting for a first request.
                    return self.record_end(None);
                }
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        self.record_end(end.err());
        self.linger().await;
    }

    async fn answer(
        self,
        mut request: Request<Incoming>,
    ) -> Result<http::Response<AnswerBody>, Infallible> {
        self.activity.lock().begin_request();
        request.extensions_mut().insert(self.connection_closer);
        let guard = RequestActivityGuard {
            gateway: self.gateway.clone(),
            activity: self.activity,
        };
        let mut answer = answer_client(self.gateway.clone(), request, guard).await;
        if self.gateway.is_stopping() {
            set_connection_close(&mut answer);
        }
        Ok(answer)
    }

    /// Waits until the connection is to be closed and no request is active on it or unread in
    /// its socket.
    async fn wait_until_closable(&mut self) {
        loop {
            let reason = self.wait_for_close_reason().await;
            let requested_ms = self.gateway.steady_ms();
            loop {
                // Bytes that have arrived become visible after the event loop has polled the socket.
                tokio::task::yield_now().await;
                let has_unread = self.socket.unread() == Unread::Bytes;
                let now_ms = self.gateway.steady_ms();
                let activity = self.activity.lock().clone();
                match activity.close_step(reason, has_unread, requested_ms, now_ms) {
                    CloseStep::Close => return,
                    CloseStep::Stay => break,
                    CloseStep::Wait => tokio::time::sleep(CLOSE_POLL).await,
                }
            }
        }
    }

    async fn wait_for_close_reason(&mut self) -> CloseReason {
        let idle = wait_until_idle_timeout(self.gateway.clone(), self.activity.clone());
        tokio::select! {
            () = until_closing(&mut self.closing) => CloseReason::Stop,
            () = idle => CloseReason::Idle,
        }
    }

    /// Keeps reading after the last response until the client closes its side as well.
    ///
    /// Closing a socket that holds unread bytes resets the connection, and a reset discards
    /// the data that the client has not read yet. The sending side is shut down first, since
    /// otherwise the client of a broken stream would see its end, and retry, only after
    /// `LINGER`.
    async fn linger(mut self) {
        if self.socket.unread() == Unread::End {
            return;
        }
        // The shutdown fails if the client has already gone.
        let _ = self.socket.shutdown().await;
        let mut sink = tokio::io::sink();
        let unread_input = tokio::io::copy(&mut self.socket, &mut sink);
        // After the timeout, a client that is still sending sees a reset.
        let _ = tokio::time::timeout(LINGER, unread_input).await;
    }

    /// Logs and counts a connection that ends by an error, or while input of its client is
    /// unread.
    fn record_end(&self, error: Option<hyper::Error>) {
        let unread = self.socket.unread();
        if error.is_none() && unread != Unread::Bytes {
            return;
        }
        let by = match *self.closing.borrow() {
            true => "stop",
            false if error.is_none() => "daemon",
            false => "error",
        };
        metrics::counter!(CUT_CONNECTIONS, "by" => by).increment(1);
        log::info!(
            target: "client",
            "connection closed with an error or unread input. by={by} requests={} unread={unread:?} error=\"{}\"",
            self.activity.lock().requests(),
            error.map_or_else(|| "-".to_string(), |e| e.to_string())
        );
    }
}

/// Waits until a connection has been idle for the timeout of the configuration that is
/// current at that time.
async fn wait_until_idle_timeout(gateway: Arc<Gateway>, activity: Arc<Mutex<ClientActivity>>) {
    loop {
        let limit_ms = idle_limit(&gateway).as_millis() as u64;
        let now_ms = gateway.steady_ms();
        let idle_from_ms = activity.lock().idle_from_ms().unwrap_or(now_ms);
        let left_ms = (idle_from_ms + limit_ms).saturating_sub(now_ms);
        if left_ms == 0 {
            return;
        }
        tokio::time::sleep_until(Instant::now() + Duration::from_millis(left_ms)).await;
    }
}

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

/// The least rest that a connection is allowed between requests.
const MIN_IDLE: Duration = Duration::from_secs(10);
/// How often a connection that is to be closed is looked at: short beside what a
/// request takes, long beside what a look costs.
const CLOSE_POLL: Duration = Duration::from_millis(20);
/// How long what a client still sends is read after the last answer, so that no
/// reset takes that answer away: some round trips, and a packet sent again.
const LINGER: Duration = Duration::from_secs(1);
/// The least size of the buffer that requests are read into, in bytes.
const MIN_HEAD_BYTES: usize = 16 * 1024;
/// What is read beyond a head of the largest size, in bytes.
const BUFFER_BESIDE_HEAD: usize = 8 * 1024;

/// A client's connection that is served.
#[derive(Clone, Debug)]
struct ClientConnection {
    gateway: Arc<Gateway>,
    socket: ClientSocket,
    activity: Arc<Mutex<ClientActivity>>,
    /// Set when idle connections are to be closed.
    closing: watch::Receiver<bool>,
}

/// A request that is answered on a connection.
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
    // As long as it may rest, a client may also read nothing, or be cut off: one that
    // pauses must not lose its answer.
    let dead_after = idle_limit(&gateway);
    if let Err(e) = set_socket_options(&stream, dead_after) {
        log::info!(target: "client", "not served: the connection is broken. error=\"{e}\"");
        return;
    }
    let activity = ClientActivity::new(gateway.steady_ms());
    let activity = Arc::new(Mutex::new(activity));
    let client = ClientConnection {
        socket: ClientSocket::new(stream, activity.clone()),
        gateway,
        activity,
        closing,
    };
    client.serve().await;
}

/// Returns for how long connections may rest, by the configuration in force.
fn idle_limit(gateway: &Gateway) -> Duration {
    Duration::from_millis(gateway.client_limits().idle_timeout_ms).max(MIN_IDLE)
}

impl ClientConnection {
    async fn serve(mut self) {
        let max_head = self.gateway.client_limits().max_header_bytes;
        let answering = self.clone();
        let service = service_fn(move |request| answering.clone().answer(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // How long a client may rest is decided here, by what is in force then.
            .header_read_timeout(None)
            .max_buf_size(max_head.max(MIN_HEAD_BYTES) + BUFFER_BESIDE_HEAD)
            .serve_connection(TokioIo::new(self.socket.clone()), service);
        tokio::pin!(connection);
        let end = tokio::select! {
            // A request that is there goes before a close.
            biased;
            end = connection.as_mut() => end,
            () = self.time_to_close() => {
                if self.activity.lock().requests() == 0 {
                    // It would wait for a first request.
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
        request: Request<Incoming>,
    ) -> Result<http::Response<AnswerBody>, Infallible> {
        self.activity.lock().begin_request();
        let busy = RequestActivityGuard {
            gateway: self.gateway.clone(),
            activity: self.activity,
        };
        let mut answer = answer_client(self.gateway.clone(), request, busy).await;
        if self.gateway.is_stopping() {
            set_connection_close(&mut answer);
        }
        Ok(answer)
    }

    /// Waits until the connection is to be closed and no request is on it or in
    /// its socket.
    async fn time_to_close(&mut self) {
        loop {
            let reason = self.close_wished().await;
            let wished_ms = self.gateway.steady_ms();
            loop {
                // What has come is known once the event loop has looked.
                tokio::task::yield_now().await;
                let has_unread = self.socket.unread() == Unread::Bytes;
                let now_ms = self.gateway.steady_ms();
                let activity = self.activity.lock().clone();
                match activity.close_step(reason, has_unread, wished_ms, now_ms) {
                    CloseStep::Close => return,
                    CloseStep::Stay => break,
                    CloseStep::Wait => tokio::time::sleep(CLOSE_POLL).await,
                }
            }
        }
    }

    async fn close_wished(&mut self) -> CloseReason {
        let idle = rested_for_long(self.gateway.clone(), self.activity.clone());
        tokio::select! {
            () = until_closing(&mut self.closing) => CloseReason::Stop,
            () = idle => CloseReason::Idle,
        }
    }

    /// Reads on after the last answer until the client closes its side, too: bytes
    /// that stand unread when a socket is closed reset the connection, and a reset
    /// takes away what the client has not read. It is told the end first: else a client
    /// saw that its stream broke off, and came again, only after all of this time.
    async fn linger(mut self) {
        if self.socket.unread() == Unread::End {
            return;
        }
        // One that fails has no other side any more.
        let _ = self.socket.shutdown().await;
        let mut sink = tokio::io::sink();
        let rest = tokio::io::copy(&mut self.socket, &mut sink);
        // In vain: a client that goes on sending sees a reset.
        let _ = tokio::time::timeout(LINGER, rest).await;
    }

    /// Tells of a connection that ends while bytes of its client stand unread, or
    /// by an error.
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
            "connection cut. by={by} requests={} unread={unread:?} error=\"{}\"",
            self.activity.lock().requests(),
            error.map_or_else(|| "-".to_string(), |e| e.to_string())
        );
    }
}

/// Waits until a connection has rested for as long as the configuration that is in
/// force by then allows.
async fn rested_for_long(gateway: Arc<Gateway>, activity: Arc<Mutex<ClientActivity>>) {
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

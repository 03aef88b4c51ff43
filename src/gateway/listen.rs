use {
    super::{intake::say_close, *},
    crate::upstreams::set_socket_options,
    http::{Method, Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        future::ready,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// How long to wait after a failed accept: descriptors may be short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How much of an answer of our own is taken before its client reads it, in
/// bytes: some pieces of a large body.
const PLAIN_BUFFER: usize = 64 * 1024;
/// The least rest that a connection is allowed between requests.
const MIN_IDLE: Duration = Duration::from_secs(10);

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

    /// Returns how many are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Serves clients until idle connections are closed; then no more are accepted.
pub async fn serve_clients(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    connections: Arc<ClientConnections>,
) {
    let mut closing = connections.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let served = serve_client(stream, gateway.clone(), connections.clone());
                tokio::spawn(served);
            }
            Err(e) => {
                log::warn!(target: "listen", "accept failed. error=\"{e}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_client(
    stream: TcpStream,
    gateway: Arc<Gateway>,
    connections: Arc<ClientConnections>,
) {
    if set_socket_options(&stream).is_err() {
        return;
    }
    connections.open.fetch_add(1, Ordering::Relaxed);
    let socket = ClientSocket::new(stream);
    let limits = gateway.table().map(|t| t.config().limits.clone());
    let limits = limits.unwrap_or_default();
    let answering = gateway.clone();
    let requests = Arc::new(AtomicU64::new(0));
    let asked = requests.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        asked.fetch_add(1, Ordering::Relaxed);
        let gateway = answering.clone();
        async move {
            let mut answer = answer_client(gateway.clone(), request).await;
            if *gateway.phase.borrow() == GatewayPhase::Stopping {
                say_close(&mut answer);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let idle = Duration::from_millis(limits.idle_timeout_ms).max(MIN_IDLE);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.max_header_bytes.max(16 * 1024) + 8 * 1024)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut closing = connections.closing.subscribe();
    tokio::pin!(connection);
    let mut told = false;
    loop {
        tokio::select! {
            end = &mut connection => {
                note_end(&socket, requests.load(Ordering::Relaxed), told, end.err());
                break;
            }
            _ = closing.wait_for(|closing| *closing), if !told => {
                told = true;
                // Without a first request, it would wait for one.
                if requests.load(Ordering::Relaxed) == 0 {
                    note_end(&socket, 0, told, None);
                    break;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
    connections.open.fetch_sub(1, Ordering::Relaxed);
}

/// Tells of a connection that ends while bytes of its client stand unread, or
/// by an error.
fn note_end(socket: &ClientSocket, requests: u64, is_stop: bool, error: Option<hyper::Error>) {
    let unread = socket.unread();
    if error.is_none() && unread != Unread::Bytes {
        return;
    }
    let by = match is_stop {
        true => "stop",
        false if error.is_none() => "daemon",
        false => "error",
    };
    metrics::counter!(CUT_CONNECTIONS, "by" => by).increment(1);
    log::info!(
        target: "client",
        "connection cut. by={by} requests={requests} unread={unread:?} error=\"{}\"",
        error.map_or_else(|| "-".to_string(), |e| e.to_string())
    );
}

/// Answers the balancer's question whether this daemon takes new clients.
pub async fn serve_readiness(listener: TcpListener, gateway: Arc<Gateway>) {
    serve_plain(listener, move |request| {
        let is_get = request.method() == Method::GET;
        ready(match gateway.is_ready() {
            _ if !is_get => own_answer(StatusCode::METHOD_NOT_ALLOWED, "expected GET"),
            true => own_answer(StatusCode::OK, "ready"),
            false => own_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        })
    })
    .await;
}

/// Serves answers of our own, each request's in its turn on its connection.
pub async fn serve_plain<F>(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> F + Send + Sync + 'static,
) where
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let answer = Arc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if set_socket_options(&stream).is_err() {
            continue;
        }
        let answer = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = answer(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(MIN_IDLE)
                .max_buf_size(PLAIN_BUFFER)
                .serve_connection(TokioIo::new(stream), service);
            // A client that goes away is no matter.
            let _ = connection.await;
        });
    }
}

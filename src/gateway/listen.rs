use {
    super::{client_connection::serve_client, open_connections::*, *},
    crate::upstreams::{UNACKNOWLEDGED_TIMEOUT, set_socket_options},
    futures_util::FutureExt,
    http::{Method, Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        future::ready,
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Pause after a failed accept, which may be caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which the delay of this daemon's timers is measured.
const DELAY_CHECK: Duration = Duration::from_millis(100);
/// Maximum size of the connection buffer for local responses, in bytes: a few chunks of a
/// large body.
const LOCAL_BUFFER_BYTES: usize = 64 * 1024;
/// Idle timeout of connections to `serve_local`.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Serves clients until idle connections are to be closed; then stops accepting connections.
pub async fn serve_clients(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    connections: Arc<ClientConnections>,
) {
    let mut closing = connections.closing();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if accepted.is_ok() && gateway.closes_connection() {
                    metrics::counter!(SHED_CONNECTIONS).increment(1);
                    continue;
                }
                if let Err(e) = serve_accepted(accepted, &gateway, &connections) {
                    log::warn!(target: "listen", "accept failed. error=\"{e}\"");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
            () = until_closing(&mut closing) => {
                return serve_backlog(&listener, &gateway, &connections).await;
            }
        }
    }
}

fn serve_accepted(
    accepted: io::Result<(TcpStream, SocketAddr)>,
    gateway: &Arc<Gateway>,
    connections: &Arc<ClientConnections>,
) -> io::Result<()> {
    let (stream, _) = accepted?;
    let open = OpenConnection::new(connections);
    let served = serve_client(stream, gateway.clone(), connections.closing());
    tokio::spawn(async move {
        served.await;
        drop(open);
    });
    Ok(())
}

/// Measures how late this daemon's timers are, from which it finds out whether it is overloaded.
pub async fn watch_own_delay(gateway: Arc<Gateway>) {
    loop {
        let due = Instant::now() + DELAY_CHECK;
        tokio::time::sleep_until(due.into()).await;
        let delay = due.elapsed();
        gateway.record_own_delay(delay);
    }
}

/// Serves the connections in the accept backlog.
///
/// Otherwise the kernel resets them, with the requests on them, when the listener is closed:
/// 12 of 12 connections that had arrived while the daemon got no processor time were lost.
async fn serve_backlog(
    listener: &TcpListener,
    gateway: &Arc<Gateway>,
    connections: &Arc<ClientConnections>,
) {
    loop {
        // Connections that have arrived become visible after the event loop has polled the
        // listener.
        tokio::task::yield_now().await;
        let mut is_last = true;
        while let Some(accepted) = listener.accept().now_or_never() {
            match serve_accepted(accepted, gateway, connections) {
                Ok(()) => is_last = false,
                Err(e) => {
                    log::warn!(target: "listen", "accept failed. error=\"{e}\"");
                    break;
                }
            }
        }
        if is_last {
            return;
        }
    }
}

/// Serves the readiness endpoint, by which a load balancer learns whether this daemon accepts
/// new clients.
pub async fn serve_readiness(listener: TcpListener, gateway: Arc<Gateway>) {
    serve_local(listener, move |request| {
        let is_get = request.method() == Method::GET;
        ready(match gateway.is_ready() {
            _ if !is_get => local_response(StatusCode::METHOD_NOT_ALLOWED, "expected GET"),
            true => local_response(StatusCode::OK, "ready"),
            false => local_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        })
    })
    .await;
}

/// Serves local responses, in the order of the requests of each connection.
pub async fn serve_local<F>(
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
        if set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT).is_err() {
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
                .header_read_timeout(MAX_IDLE)
                .max_buf_size(LOCAL_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // An error only means that the client has gone.
            let _ = connection.await;
        });
    }
}

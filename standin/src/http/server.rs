use {
    super::{Body, FaultOrder, Faults, not_started, text},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    std::{future::Future, io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::{AbortHandle, JoinSet},
    },
};

/// The future of a stand-in's response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// A stand-in that handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(self: Arc<Self>, req: Request<Bytes>) -> ResponseFuture;

    /// Returns the faults to inject.
    fn faults(&self) -> &Faults;
}

/// A running stand-in, which stops when this handle is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    abort: AbortHandle,
}

impl ServerHandle {
    /// Returns the address on which the stand-in listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns true once the stand-in has stopped.
    pub fn is_stopped(&self) -> bool {
        self.abort.is_finished()
    }

    /// Stops the stand-in at once and closes its connections.
    pub fn stop(&self) {
        self.abort.abort();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Listens on `addr` and serves requests with `handler`.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn serve(addr: SocketAddr, handler: Arc<impl Handler>) -> io::Result<ServerHandle> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handler));
    Ok(ServerHandle {
        addr,
        abort: task.abort_handle(),
    })
}

async fn accept(listener: TcpListener, handler: Arc<impl Handler>) {
    let mut conns = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    conns.spawn(serve_conn(stream, handler.clone()));
                }
            }
            Some(_) = conns.join_next(), if !conns.is_empty() => {}
        }
    }
}

async fn serve_conn(stream: TcpStream, handler: Arc<impl Handler>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| respond(req, handler.clone()));
    let builder = auto::Builder::new(TokioExecutor::new());
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Handles one request with the faults applied. Requests under `/control` are exempt.
async fn respond(
    req: Request<Incoming>,
    handler: Arc<impl Handler>,
) -> Result<Response<Body>, io::Error> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = parts.uri.path().to_string();
    if path == "/control/faults" {
        return Ok(control_faults(handler.faults(), &body));
    }
    let control = path.starts_with("/control");
    let req = Request::from_parts(parts, body);
    if control {
        return Ok(handler.handle(req).await);
    }
    let faults = handler.faults();
    if faults.is_down() {
        return Err(io::Error::other("down"));
    }
    let delay = faults.delay_ms();
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if faults.take_refusal() {
        return Ok(not_started(StatusCode::SERVICE_UNAVAILABLE));
    }
    let lost = faults.take_lost_answer();
    let rep = handler.clone().handle(req).await;
    if lost {
        return Err(io::Error::other("response dropped by an injected fault"));
    }
    Ok(rep)
}

fn control_faults(faults: &Faults, body: &[u8]) -> Response<Body> {
    match serde_json::from_slice::<FaultOrder>(body) {
        Ok(order) => {
            faults.apply(&order);
            text(StatusCode::OK, "ok\n")
        }
        Err(e) => text(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

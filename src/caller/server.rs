use {
    super::{Body, CallerService, Problem, full},
    crate::{
        app::World,
        http::{BodyLimits, RequestBody},
        requests::*,
    },
    http::{HeaderValue, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::conn::auto,
        service::TowerToHyperService,
    },
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::Semaphore},
    tower::{Service, ServiceBuilder, ServiceExt, service_fn},
};

/// Maximum time for a caller to send its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for a caller to send a body.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of the head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Maximum number of open connections of one listener.
const MAX_CONNECTIONS: usize = 16_384;
/// Maximum number of calls of callers that are served at once, over all connections.
const MAX_INTAKE: usize = 4_096;

/// Serves callers on a listener. Calls beyond `MAX_INTAKE` are refused at once.
pub async fn serve_callers(listener: TcpListener, world: Arc<World>) {
    let limits = body_limits(&world);
    let service = CallerService::new(world);
    let limited = ServiceBuilder::new()
        .load_shed()
        .concurrency_limit(MAX_INTAKE)
        .service(service);
    let shed = service_fn(move |req| {
        let limited = limited.clone();
        async move { Ok::<_, Infallible>(answer_or_shed(limited, req).await) }
    });
    serve_http(listener, limits, shed).await;
}

/// Returns the limits on the size of a call's body and on the time to read it.
pub(super) fn body_limits(world: &World) -> BodyLimits {
    BodyLimits {
        max_bytes: world.settings.requests.max_body_bytes,
        timeout: BODY_TIMEOUT,
    }
}

/// Serves HTTP/1.1 and HTTP/2 on a listener. When accepting a connection fails, it tries again
/// after 50 ms.
pub async fn serve_http<S>(listener: TcpListener, limits: BodyLimits, service: S)
where
    S: Service<Request<RequestBody>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let builder = connection_builder();
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let builder = builder.clone();
        let service = service.clone();
        let service = service_fn(move |req| answer_request(service.clone(), limits, req));
        let service = TowerToHyperService::new(service);
        tokio::spawn(async move {
            let conn = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(e) = conn.await {
                log::debug!(target: "caller", "connection ended. error=\"{e}\"");
            }
            drop(slot);
        });
    }
}

fn connection_builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEAD as u32);
    builder
}

/// Answers a request; the service may answer before it has read the request's body.
async fn answer_request<S>(
    service: S,
    limits: BodyLimits,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible>
where
    S: Service<Request<RequestBody>, Response = Response<Body>, Error = Infallible>,
{
    let expects_continue = req.headers().contains_key(header::EXPECT);
    let req = req.map(|body| RequestBody::new(body, limits, expects_continue));
    let mut response = service.oneshot(req).await?;
    if expects_continue && !response.status().is_success() {
        // The caller may or may not send the body after an early response, so the connection
        // can't be reused.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn answer_or_shed<S>(service: S, req: Request<RequestBody>) -> Response<Body>
where
    S: Service<Request<RequestBody>, Response = Response<Body>>,
{
    match service.oneshot(req).await {
        Ok(response) => response,
        Err(_) => {
            let failure = Failure::new(Outcome::NotRun, "this box is full", 1_000);
            let doc = Problem::new(503, &failure, None);
            let mut response = Response::new(full(serde_json::to_vec(&doc).unwrap_or_default()));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }
}

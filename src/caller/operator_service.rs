use {
    super::{server::body_limits, *},
    crate::{app::*, failure_domains::*, http::RequestBody, names::*, policy::*},
    http::{Method, Request, Response, StatusCode},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        convert::Infallible,
        sync::{Arc, OnceLock},
    },
    tokio::net::TcpListener,
    tower::service_fn,
};

/// The status of a daemon, as operators read it from `/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The identifier of the box.
    pub id: BoxId,
    /// The incarnation of the daemon.
    pub incarnation: u64,
    /// The failure domain of the box.
    pub failure_domain: FailureDomain,
    /// The phase of the daemon's life cycle.
    pub phase: String,
    /// The version of the table in force.
    pub table_version: u64,
    /// The position in the table's stream up to which records were applied.
    pub table_folded_to: u64,
    /// The number of requests that the daemon holds, as owner or as a copy.
    pub requests: usize,
    /// The number of requests that wait for admission.
    pub waiting: usize,
    /// The number of claims that the daemon holds.
    pub claims: usize,
    /// The failure domains, as this daemon sees them.
    pub failure_domains: BTreeMap<FailureDomain, serde_json::Value>,
    /// All boxes known to this daemon.
    pub boxes: Vec<BoxFact>,
    /// Memory in use, in bytes; 0 where the system does not report it.
    pub memory_bytes: u64,
    /// Processor time used, in milliseconds; 0 where the system does not report it.
    pub cpu_ms: u64,
}

/// Serves operators on a listener.
pub async fn serve_operators(listener: TcpListener, world: Arc<World>) {
    let metrics = metrics_handle();
    let limits = body_limits(&world);
    let service = service_fn(move |req| {
        let (world, metrics) = (world.clone(), metrics.clone());
        async move { Ok::<_, Infallible>(answer(&world, &metrics, &req)) }
    });
    serve_http(listener, limits, service).await;
}

fn answer(
    world: &Arc<World>,
    metrics: &PrometheusHandle,
    req: &Request<RequestBody>,
) -> Response<Body> {
    if !is_operator(&world.settings.operators.token_sha256, req.headers()) {
        return text(
            StatusCode::UNAUTHORIZED,
            "expected the operators' bearer token\n",
        );
    }
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/status") => json(StatusCode::OK, &status(world)),
        (&Method::GET, "/scores") => json(StatusCode::OK, &world.score.lock().total()),
        (&Method::GET, "/metrics") => text(StatusCode::OK, metrics.render()),
        (&Method::POST, "/drain") => {
            begin_drain(world);
            text(StatusCode::OK, "draining\n")
        }
        _ => text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn status(world: &World) -> Status {
    let boxes = world.boxes.read();
    let views = domain_views(&boxes, &world.links);
    let (memory_bytes, cpu_ms) = usage();
    let table = world.active_table();
    Status {
        id: world.me.id.clone(),
        incarnation: world.me.incarnation,
        failure_domain: world.my_domain().clone(),
        phase: format!("{:?}", *world.phase.borrow()),
        table_version: table.version,
        table_folded_to: table.folded_to,
        requests: world.requests.len(),
        waiting: world.admission.waiting(),
        claims: world.claims.len(),
        failure_domains: views
            .into_iter()
            .map(|(d, v)| (d, serde_json::to_value(v).unwrap_or_default()))
            .collect(),
        boxes: boxes.iter().cloned().collect(),
        memory_bytes,
        cpu_ms,
    }
}

/// Reads this process's memory in bytes and processor time in milliseconds from `/proc`; each
/// is 0 where `/proc` does not report it.
fn usage() -> (u64, u64) {
    const PAGE: u64 = 4_096;
    const TICK_MS: u64 = 10;
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let number = |text: &str, n: usize| {
        let field = text.split_whitespace().nth(n);
        field.and_then(|f| f.parse::<u64>().ok()).unwrap_or(0)
    };
    let pages = number(&read("/proc/self/statm"), 1);
    let stat = read("/proc/self/stat");
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let ticks = number(after_name, 11) + number(after_name, 12);
    (pages * PAGE, ticks * TICK_MS)
}

fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Installing fails if several daemons share a process and one of them already
        // installed its recorder.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    HANDLE.get_or_init(install).clone()
}

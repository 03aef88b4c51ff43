use {
    super::*,
    crate::{
        clock::{self, BootInstant, watch_for_suspensions},
        cluster,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        task::JoinSet,
    },
};

/// Interval at which a stopping daemon checks whether it still has work.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Longest time for which a stopping daemon announces its last usage counts. A lost holder of
/// the duties is replaced within about half of it.
const LAST_USAGE_MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Interval between two sweeps, which remove outdated state and update the metrics.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// Number of sweeps between two log lines about the traffic to other daemons.
const SWEEPS_PER_TRAFFIC_LOG: u64 = 5;

/// A running daemon of the routed request path.
#[derive(Debug)]
pub struct GatewayProcess {
    gateway: Arc<Gateway>,
    connections: Arc<ClientConnections>,
    tasks: JoinSet<()>,
}

impl GatewayProcess {
    /// Opens the listeners and starts the tasks of the daemon. The caller feeds configuration and
    /// upstreams to `gateway`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address if it can't be listened on.
    pub async fn start(gateway: Arc<Gateway>) -> io::Result<Self> {
        let listen = gateway.settings.listen.clone();
        let clients = listen_on(listen.clients).await?;
        let readiness = listen_on(listen.readiness).await?;
        let peers = listen_on(listen.peers).await?;
        let digests = UdpSocket::bind(listen.peers).await?;
        let metrics = match listen.metrics {
            Some(address) => Some(listen_on(address).await?),
            None => None,
        };
        start_recording();
        let connections = Arc::new(ClientConnections::default());
        log::info!(
            target: "gateway",
            "started. node={} domain={} incarnation={} build={} messages={} since={}",
            gateway.settings.node.name,
            gateway.settings.node.domain,
            gateway.incarnation,
            env!("CARGO_PKG_VERSION"),
            cluster::DATAGRAM_VERSION,
            cluster::OLDEST_DATAGRAM_VERSION
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_clients(clients, gateway.clone(), connections.clone()));
        tasks.spawn(watch_own_delay(gateway.clone()));
        tasks.spawn(serve_readiness(readiness, gateway.clone()));
        tasks.spawn(cluster::serve_feed(peers, gateway.clone()));
        tasks.spawn(cluster::exchange_datagrams(digests, gateway.clone()));
        tasks.spawn(cluster::follow_daemons(gateway.clone()));
        tasks.spawn(cluster::follow_config_of_daemons(gateway.clone()));
        if gateway.settings.mechanisms.relays {
            tasks.spawn(cluster::watch_links(gateway.clone()));
        }
        tasks.spawn(sweep(gateway.clone()));
        tasks.spawn(room_state::release_when_room(gateway.clone()));
        tasks.spawn(watch_for_suspensions());
        if let Some(listener) = metrics {
            tasks.spawn(serve_metrics(listener));
        }
        Ok(Self {
            gateway,
            connections,
            tasks,
        })
    }

    /// Runs a task until the daemon stops.
    pub fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Returns the state shared by the daemon's parts.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Performs a planned stop: reports not ready to new clients, waits for the notice time,
    /// closes idle connections, lets the requests in flight finish, and announces the last
    /// usage counts. Requests still in flight at the end of the schedule are cut off.
    pub async fn stop(mut self) {
        let began = BootInstant::now();
        let schedule = self.gateway.begin_stop();
        log::info!(target: "gateway", "stopping. requests={}", self.open_requests());
        clock::sleep(Duration::from_millis(schedule.notice_ms)).await;
        self.connections.close_idle();
        let end = Duration::from_millis(schedule.end_ms);
        while began.elapsed() < end && self.has_work() {
            tokio::time::sleep(STOP_POLL).await;
        }
        let left = end.saturating_sub(began.elapsed());
        cluster::announce_last_usage(&self.gateway, left.min(LAST_USAGE_MAX_WAIT)).await;
        log::info!(
            target: "gateway",
            "stopped. requests={} connections={} after_ms={}",
            self.open_requests(),
            self.connections.open(),
            began.elapsed().as_millis()
        );
        self.tasks.abort_all();
    }

    fn has_work(&self) -> bool {
        self.open_requests() > 0 || self.connections.open() > 0
    }

    fn open_requests(&self) -> usize {
        self.gateway.open_requests.load(Ordering::Relaxed)
    }
}

async fn listen_on(address: SocketAddr) -> io::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|e| io::Error::new(e.kind(), format!("can't listen on {address}: {e}")))
}

async fn sweep(gateway: Arc<Gateway>) {
    for sweeps in 1_u64.. {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if sweeps.is_multiple_of(SWEEPS_PER_TRAFFIC_LOG) {
            log::info!(target: "control", "sent.{}", gateway.control);
        }
        gateway.sweep();
        record_state(&gateway);
        record_control(&gateway);
        run_metrics_upkeep();
    }
}

fn record_control(gateway: &Gateway) {
    for kind in cluster::ControlKind::ALL {
        let (messages, bytes) = gateway.control.sent(kind);
        let label = [("kind", kind.name())];
        metrics::gauge!(CONTROL_MESSAGES, &label).set(messages as f64);
        metrics::gauge!(CONTROL_BYTES, &label).set(bytes as f64);
    }
    let examined = gateway.peers.lock().examined();
    metrics::gauge!(PEERS_EXAMINED).set(examined as f64);
    let known = gateway.directory.read().known();
    metrics::gauge!(KNOWN_UPSTREAMS).set(known as f64);
}

fn record_state(gateway: &Gateway) {
    let open = gateway.open_requests.load(Ordering::Relaxed);
    metrics::gauge!(OPEN_REQUESTS).set(open as f64);
    if let Some(buffers) = &gateway.buffers {
        metrics::gauge!(BUFFERED_BYTES).set(buffers.used_bytes() as f64);
    }
    let version = gateway.config_version();
    metrics::gauge!(CONFIG_VERSION).set(version as f64);
    if let Some(age_ms) = gateway.source_age_ms() {
        metrics::gauge!(SOURCE_AGE).set(age_ms as f64 / 1_000.0);
    }
    let live = gateway.peers.lock().live_addresses().len();
    metrics::gauge!(LIVE_PEERS).set(live as f64);
    metrics::gauge!(DAEMONS).set(gateway.daemons() as f64);
    metrics::gauge!(IS_HUB).set(f64::from(u8::from(gateway.is_hub())));
    let dependents = gateway.members.lock().dependents();
    metrics::gauge!(DEPENDENTS).set(f64::from(dependents));
    let age_ms = gateway.members.lock().oldest_loads_ms(gateway.steady_ms());
    metrics::gauge!(LOADS_AGE).set(age_ms as f64 / 1_000.0);
    for rollout in gateway.announced_rollouts() {
        let labels = [("service", rollout.service), ("version", rollout.target)];
        metrics::gauge!(ROLLOUT_SHARE, &labels).set(f64::from(rollout.share));
    }
    let held = gateway.crashes.lock().held(gateway.steady_ms()).len();
    metrics::gauge!(HELD_REQUESTS).set(held as f64);
    let held_parts = gateway.part_crashes.lock().held().count();
    metrics::gauge!(HELD_PARTS).set(held_parts as f64);
    for (version, daemons) in gateway.peer_versions.lock().counts() {
        let label = [("messages", version.to_string())];
        metrics::gauge!(PEERS_BY_MESSAGES, &label).set(daemons as f64);
    }
    let limited = gateway.limits.lock().limited().count();
    metrics::gauge!(LIMITED_UPSTREAMS).set(limited as f64);
    metrics::gauge!(FRAGILE_UPSTREAMS).set(gateway.bounds.lock().len() as f64);
    metrics::gauge!(UPSTREAMS_IN_COOLDOWN).set(gateway.in_cooldown().len() as f64);
    metrics::gauge!(STREAM_ORIGINS).set(gateway.origins.lock().len() as f64);
    let holds = gateway.holds_duties.load(Ordering::Relaxed);
    metrics::gauge!(HOLDS_DUTIES).set(f64::from(u8::from(holds)));
}

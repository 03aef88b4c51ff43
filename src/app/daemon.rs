use {
    super::{
        box_watch::*, claim_client::*, duties::run_duties, heartbeat::*, load_watch::watch_loads,
        peer_service::PeerService, reclaim_watch::watch_reclaims, sweep::*, table_watch::*, *,
    },
    crate::{
        caller::serve_callers, clock::watch_for_suspensions, conf::Settings, engine::*, names::*,
        peer::*, policy::BoxState, provider::*,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinSet},
};

/// Name of the log stream of score pages.
pub const SCORES_STREAM: &str = "scores";

/// How long a stopping daemon reports that it drains, for load balancers and peers to
/// notice, before it checks for open requests; also how long it then waits for the last
/// events to be sent.
const DRAIN_NOTICE: Duration = Duration::from_millis(300);
/// Interval at which a stopping daemon checks for open requests.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Longest interval between two score pages of a daemon, in milliseconds, as long as the
/// limit of ten pages per second from all daemons allows it.
const MAX_SCORES_INTERVAL_MS: u64 = 60_000;

/// A running daemon.
pub struct Daemon {
    world: Arc<World>,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Starts a daemon on the platform and upstreams that the settings name.
    ///
    /// # Errors
    ///
    /// Returns why it could not start.
    pub async fn start(settings: Settings) -> Result<Self, AppError> {
        let platform = Arc::new(PlatformHttp::new(settings.platform.address));
        let backends = Backends {
            engine: Arc::new(EngineHttp::default()),
            plain: Arc::new(PlainHttp::default()),
            log: platform.clone(),
            box_list: platform.clone(),
            cloud: platform.clone(),
            weights: platform,
        };
        Self::start_with(settings, backends).await
    }

    /// Starts a daemon on the given backends.
    ///
    /// # Errors
    ///
    /// Returns why it could not start.
    pub async fn start_with(settings: Settings, backends: Backends) -> Result<Self, AppError> {
        let tls = PeerTls::from_settings(&settings.peers)?;
        let callers = listen(settings.listen.callers).await?;
        let peers = listen(settings.listen.peers).await?;
        let operators = listen(settings.listen.operators).await?;
        let world = Arc::new(World::new(settings, backends, tls.clone(), now_ms()));
        world.fold_facts(&[my_fact(&world)]);
        log::info!(
            target: "app",
            "started. box={} domain={} incarnation={}",
            world.me.id,
            world.my_domain(),
            world.me.incarnation
        );
        let mut tasks = JoinSet::new();
        let peer_service = Arc::new(PeerService::new(world.clone()));
        tasks.spawn(watch_for_suspensions());
        tasks.spawn(serve_peers(peers, tls, peer_service));
        tasks.spawn(serve_callers(callers, world.clone()));
        tasks.spawn(crate::caller::serve_operators(operators, world.clone()));
        tasks.spawn(watch_table(world.clone()));
        tasks.spawn(append_snapshots(world.clone()));
        tasks.spawn(watch_claims(world.clone()));
        tasks.spawn(append_claims(world.clone()));
        tasks.spawn(watch_box_list(world.clone()));
        tasks.spawn(watch_notices(world.clone()));
        tasks.spawn(watch_loads(world.clone()));
        tasks.spawn(watch_reclaims(world.clone()));
        tasks.spawn(heartbeat(world.clone()));
        tasks.spawn(sweep_requests(world.clone()));
        tasks.spawn(run_duties(world.clone()));
        tasks.spawn(publish_scores(world.clone()));
        tasks.spawn(watch_clock(world.clone()));
        Ok(Self { world, tasks })
    }

    /// Returns the state that the daemon's parts share.
    pub fn world(&self) -> &Arc<World> {
        &self.world
    }

    /// Stops as planned: admits no new requests, finishes those in flight, publishes the
    /// last scores, then ends all tasks.
    pub async fn stop(mut self) {
        log::info!(target: "app", "stopping. requests={}", self.world.requests.len());
        begin_drain(&self.world);
        if !self.world.settings.trial.drain {
            return self.tasks.abort_all();
        }
        tokio::time::sleep(DRAIN_NOTICE).await;
        while has_unfinished_requests(&self.world) {
            tokio::time::sleep(STOP_POLL).await;
        }
        publish_page(&self.world, &mut 0, now_ms()).await;
        // The last events are still being sent to clients and holders of copies.
        tokio::time::sleep(DRAIN_NOTICE).await;
        log::info!(target: "app", "stopped.");
        self.tasks.abort_all();
    }
}

/// Stops admitting new requests and announces to peers that this box is leaving.
pub fn begin_drain(world: &World) {
    world.phase.send_if_modified(|phase| {
        let leaves = matches!(phase, Phase::Leaving(_));
        if !leaves {
            *phase = Phase::Draining;
        }
        !leaves
    });
    let mut fact = my_fact(world);
    fact.state = BoxState::Leaving;
    // Announced to peers only: this box itself finishes its own requests.
    let mut boxes = world.boxes.write();
    if boxes.fold(&fact) {
        world.journal.lock().push(&fact.id);
    }
    drop(boxes);
    world.state_changed.notify_waiters();
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, AppError> {
    TcpListener::bind(addr)
        .await
        .map_err(|source| AppError::Listen { addr, source })
}

/// Publishes this box's scores through the log.
async fn publish_scores(world: Arc<World>) {
    let mut number = 0;
    let mut from_ms = now_ms();
    loop {
        let daemons = world.boxes.read().live_entries().count() as u64;
        // All boxes together publish at most ten pages per second.
        let interval_ms = MAX_SCORES_INTERVAL_MS
            .min((daemons * 1_000).max(5_000))
            .max(daemons * 100);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        publish_page(&world, &mut number, from_ms).await;
        from_ms = now_ms();
    }
}

async fn publish_page(world: &World, number: &mut u64, from_ms: u64) {
    let scores = world.score.lock().take();
    if scores.is_empty() && *number > 0 {
        return;
    }
    let page = ScorePage {
        by: world.me.id.clone(),
        failure_domain: world.my_domain().clone(),
        number: *number,
        incarnation: world.me.incarnation,
        from_ms,
        to_ms: now_ms(),
        scores,
    };
    *number += 1;
    let data = serde_json::to_string(&page).unwrap_or_default();
    if let Err(e) = world.backends.log.append(SCORES_STREAM, data).await {
        log::warn!(target: "scores", "score page was not published. number={} error=\"{e}\"", page.number);
    }
}

const CLOCK_TICK: Duration = Duration::from_millis(200);
/// A tick that takes longer than this shows that the process was paused.
const PAUSE_THRESHOLD_MS: u64 = 2_000;
/// Timeout of the read of the log by which the table is compared after a pause.
const REVALIDATE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Detects that this process was paused. After a pause the daemon isn't ready until it has
/// compared its table with the log or a peer, or found that it can reach neither.
async fn watch_clock(world: Arc<World>) {
    let mut last_ms = now_ms();
    loop {
        tokio::time::sleep(CLOCK_TICK).await;
        let now = now_ms();
        let paused_ms = now.saturating_sub(last_ms);
        if paused_ms > PAUSE_THRESHOLD_MS {
            log::warn!(target: "app", "clock jumped. ms={paused_ms}");
            revalidate_table(&world).await;
        }
        last_ms = now_ms();
    }
}

async fn revalidate_table(world: &Arc<World>) {
    world.phase.send_if_modified(|phase| {
        let was_ready = *phase == Phase::Ready;
        if was_ready {
            *phase = Phase::Starting;
        }
        was_ready
    });
    let from = world.active_table().folded_to;
    let read = world.backends.log.read(TABLE_STREAM, from, 0);
    let reached = tokio::time::timeout(REVALIDATE_TIMEOUT, read).await;
    match reached {
        // The task that follows the table reads these records and sets the phase to ready.
        Ok(Ok(page)) if page.next > from => {}
        Ok(Ok(_)) => become_ready(world),
        // Without the log, a peer's table is used if a peer answers.
        _ => {
            fetch_table_from_peers(world).await;
            become_ready(world);
        }
    }
}

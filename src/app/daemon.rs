use {
    super::{
        box_watch::*, claim_client::*, duties::do_duties, heartbeat::*, load_watch::watch_loads,
        peer_service::PeerService, reclaim_watch::watch_reclaims, sweep::*, table_watch::*, *,
    },
    crate::{
        caller::serve_callers, clock::watch_for_suspensions, conf::Settings, engine::*, names::*,
        peer::*, policy::BoxState, provider::*,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinSet},
};

/// The log's stream of figures.
pub const SCORES_STREAM: &str = "scores";

/// How long a stopping daemon tells the balancer before it looks for open work.
const STOP_NOTICE: Duration = Duration::from_millis(300);
const STOP_POLL: Duration = Duration::from_millis(50);
/// The least time between two pages of figures.
const SCORES_EVERY_MS: u64 = 60_000;

/// A daemon that runs.
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
        let borders = Backends {
            engine: Arc::new(EngineHttp::default()),
            plain: Arc::new(PlainHttp::default()),
            log: platform.clone(),
            box_list: platform.clone(),
            cloud: platform.clone(),
            weights: platform,
        };
        Self::start_with(settings, borders).await
    }

    /// Starts a daemon on given borders.
    ///
    /// # Errors
    ///
    /// Returns why it could not start.
    pub async fn start_with(settings: Settings, borders: Backends) -> Result<Self, AppError> {
        let tls = PeerTls::from_settings(&settings.peers)?;
        let callers = listen(settings.listen.callers).await?;
        let peers = listen(settings.listen.peers).await?;
        let operators = listen(settings.listen.operators).await?;
        let world = Arc::new(World::new(settings, borders, tls.clone(), now_ms()));
        world.fold_facts(&[my_fact(&world)]);
        log::info!(
            target: "app",
            "started. box={} domain={} incarnation={}",
            world.me.id,
            world.my_domain(),
            world.me.incarnation
        );
        let mut tasks = JoinSet::new();
        let desk = Arc::new(PeerService::new(world.clone()));
        tasks.spawn(watch_for_suspensions());
        tasks.spawn(serve_peers(peers, tls, desk));
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
        tasks.spawn(do_duties(world.clone()));
        tasks.spawn(publish_scores(world.clone()));
        tasks.spawn(watch_clock(world.clone()));
        Ok(Self { world, tasks })
    }

    /// Returns what the daemon's parts share.
    pub fn world(&self) -> &Arc<World> {
        &self.world
    }

    /// Stops as planned: takes nothing new, finishes what is in flight, leaves.
    pub async fn stop(mut self) {
        log::info!(target: "app", "stopping. requests={}", self.world.requests.len());
        begin_drain(&self.world);
        if !self.world.settings.trial.drain {
            return self.tasks.abort_all();
        }
        tokio::time::sleep(STOP_NOTICE).await;
        while has_unfinished_requests(&self.world) {
            tokio::time::sleep(STOP_POLL).await;
        }
        publish_page(&self.world, &mut 0, now_ms()).await;
        // The last events are on their way to callers and holders.
        tokio::time::sleep(STOP_NOTICE).await;
        log::info!(target: "app", "stopped.");
        self.tasks.abort_all();
    }
}

/// Takes no new requests from now on, and tells peers.
pub fn begin_drain(world: &World) {
    world.phase.send_if_modified(|phase| {
        let stays = matches!(phase, Phase::Leaving(_));
        if !stays {
            *phase = Phase::Draining;
        }
        !stays
    });
    let mut fact = my_fact(world);
    fact.state = BoxState::Leaving;
    // Told to peers only: this box itself finishes what it has.
    let mut boxes = world.boxes.write();
    if boxes.fold(&fact) {
        world.journal.lock().push(&fact.id);
    }
    drop(boxes);
    world.news.notify_waiters();
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, AppError> {
    TcpListener::bind(addr)
        .await
        .map_err(|source| AppError::Listen { addr, source })
}

/// Publishes this box's figures through the log.
async fn publish_scores(world: Arc<World>) {
    let mut number = 0;
    let mut from_ms = now_ms();
    loop {
        let daemons = world.boxes.read().live_entries().count() as u64;
        // At most ten pages a second from all boxes together.
        let interval_ms = SCORES_EVERY_MS
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
    if let Err(e) = world.borders.log.append(SCORES_STREAM, data).await {
        log::warn!(target: "scores", "a page was not published. number={} error=\"{e}\"", page.number);
    }
}

const CLOCK_TICK: Duration = Duration::from_millis(200);
/// A tick that took longer than this shows that the process was paused.
const PAUSED_MS: u64 = 2_000;
const COMPARE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Notices that this process was paused: it is not ready until it has compared
/// its table with the log or a peer, or found neither in reach.
async fn watch_clock(world: Arc<World>) {
    let mut last_ms = now_ms();
    loop {
        tokio::time::sleep(CLOCK_TICK).await;
        let now = now_ms();
        let paused_ms = now.saturating_sub(last_ms);
        if paused_ms > PAUSED_MS {
            log::warn!(target: "app", "the clock jumped. ms={paused_ms}");
            compare_again(&world).await;
        }
        last_ms = now_ms();
    }
}

async fn compare_again(world: &Arc<World>) {
    world.phase.send_if_modified(|phase| {
        let was_ready = *phase == Phase::Ready;
        if was_ready {
            *phase = Phase::Starting;
        }
        was_ready
    });
    let from = world.active_table().folded_to;
    let read = world.borders.log.read(TABLE_STREAM, from, 0);
    let reached = tokio::time::timeout(COMPARE_TIMEOUT, read).await;
    match reached {
        // The table's own task has read on, or does so now, and says ready.
        Ok(Ok(page)) if page.next > from => {}
        Ok(Ok(_)) => become_ready(world),
        // Without the log a peer's table is taken, if one answers.
        _ => {
            fetch_table_from_peers(world).await;
            become_ready(world);
        }
    }
}

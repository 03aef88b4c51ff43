use {
    super::{attempts::Attempts, cut_offs::CutOffs, room_table::RoomTable, *},
    crate::{
        clock::BootInstant,
        cluster::{
            ControlTraffic, DaemonEntry, EventLog, FormerListeners, HubClient, IssuerClient,
            LeavingQueue, MemberTable, OriginLog, PeerTable, PeerVersions, PermitAnswer,
            ReceivedOrigin, ReleasedSlot, SlotAnswer, StandaloneQuotas, UsageAnnouncer,
            VersionCountTable, VersionRecorder,
        },
        conf::GatewaySettings,
        names::{FailureDomain, ServiceName, SourceEra, SourcePosition, UpstreamId},
        policy::*,
        rollouts::{OrderNumbers, OutcomeMeter, RolloutTable},
        routing::RouteTable,
        streams::ServiceIds,
        upstreams::*,
    },
    http::{Response, StatusCode},
    parking_lot::{Mutex, RwLock},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicU64, AtomicUsize},
        },
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::{Notify, watch},
    },
};

/// Number of daemons assumed per failure domain while no other daemon is known.
const ASSUMED_PER_DOMAIN: usize = 3;
/// Retry time sent to clients where neither cooldowns nor limits give one.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// State shared by all parts of a daemon.
///
/// Locks are held one at a time and never across an await.
#[derive(Debug)]
pub struct Gateway {
    /// The settings of the daemon.
    pub settings: GatewaySettings,
    /// The names of the HTTP headers that carry request metadata.
    pub names: HeaderNames,
    /// The incarnation of this daemon. It also seeds the random number generator.
    pub incarnation: u64,
    /// The known upstreams.
    pub directory: RwLock<UpstreamDirectory>,
    /// Requests, waiting tokens and failure rate of each upstream as observed by this daemon.
    pub loads: Mutex<LoadTable>,
    /// Requests under which upstreams crashed.
    pub crashes: Mutex<CrashTable>,
    /// Parts of prompts during which upstreams crashed.
    pub part_crashes: Mutex<PartCrashTable>,
    /// Which new connections are closed unread.
    pub(super) connection_shedder: Mutex<ConnectionShedder>,
    /// Rate limits that upstreams name in their responses.
    pub limits: Mutex<LimitTable>,
    /// Upstreams in cooldown for this daemon.
    pub cooldowns: Mutex<CooldownTable>,
    /// Upstream cooldowns of this daemon and of the daemons for which it places requests.
    pub reported_cooldowns: Mutex<ReportedCooldowns>,
    /// Upstreams that said in a response that they leave, still to be announced to other
    /// daemons.
    pub leaving_queue: Mutex<LeavingQueue>,
    /// Queries for permits to send to rate-limited upstreams.
    pub permit_client: IssuerClient<PermitAnswer>,
    /// The bounds on rejections that upstreams name in their responses.
    pub(super) bounds: Mutex<RejectionBounds>,
    /// The slots that this daemon gives out.
    pub(super) slots: Mutex<SlotTable>,
    /// Queries for slots of upstreams that bear few rejections.
    pub slot_client: IssuerClient<SlotAnswer>,
    /// Slots of other daemons that are to be released, with the daemons' addresses.
    pub(super) released_slots: Mutex<Vec<(SocketAddr, ReleasedSlot)>>,
    /// Wakes the task that releases slots.
    pub(crate) slot_released: Notify,
    /// Which software versions began the streams that clients may still take up.
    pub(crate) origins: Mutex<OriginTable>,
    /// Which software versions this daemon has seen of each service.
    pub(super) version_history: Mutex<VersionHistory>,
    /// Queries for the software versions that began streams.
    pub(super) origin_client: IssuerClient<ReceivedOrigin>,
    /// The shared log of the software versions that began streams; unset without a platform.
    pub(super) origin_log: OnceLock<OriginLog>,
    /// Keeps the software versions of each service on the platform; unset without one.
    pub(super) version_recorder: OnceLock<VersionRecorder>,
    /// Counts the control messages sent to other daemons, and their bytes.
    pub control: ControlTraffic,
    /// The message versions that other daemons use.
    pub peer_versions: Mutex<PeerVersions>,
    /// Requests whose connection to an upstream broke, until it is known whether the upstream
    /// crashed.
    pub(super) cut_offs: Mutex<CutOffs>,
    /// Connections to upstreams.
    pub pool: Arc<UpstreamPool>,
    /// Data that slow clients and upstreams have not read yet; `None` without a budget for it.
    pub buffers: Option<Arc<Buffers>>,
    /// The other known daemons.
    pub peers: Mutex<PeerTable>,
    /// The daemons that report to this one.
    pub members: Mutex<MemberTable>,
    /// Queries to the hubs of the failure domain.
    pub hub_client: HubClient,
    /// The daemons that may still count this one as a hub after it has ceased to be one.
    pub former_listeners: Mutex<FormerListeners>,
    /// Events of requests that are not yet reported to the hubs.
    pub events: Mutex<EventLog>,
    /// Samples of upstreams' speeds that are not yet reported to the hub.
    pub speed_samples: Mutex<EventLog<SpeedSample>>,
    /// How fast each upstream is compared with its service.
    pub speeds: Mutex<UpstreamSpeeds>,
    /// Quotas that this daemon enforces itself while no hub answers.
    pub standalone_quotas: Mutex<StandaloneQuotas>,
    /// Announcers of usage counts, which track what each recipient has acknowledged, by the
    /// incarnation of the daemon that made the counts: this one, or one whose counts this
    /// daemon forwards.
    pub usage_announcers: Mutex<HashMap<u64, UsageAnnouncer>>,
    /// When this daemon first knew that a daemon holds the duties or watches their holder, in
    /// milliseconds of the steady clock, by the daemon's address and incarnation.
    pub duty_daemons_since: Mutex<HashMap<(SocketAddr, u64), u64>>,
    /// Wakes the task that reports to hubs.
    pub report_early: Notify,
    /// Counts of requests that began to run, by window and client account.
    pub usage: Mutex<UsageWindows>,
    /// The quotas of the client accounts.
    pub quotas: Mutex<QuotaTable>,
    /// The rollouts of new versions.
    pub rollouts: Mutex<RolloutTable>,
    /// The numbers of the rollout orders that were read from the source.
    pub order_numbers: Mutex<OrderNumbers>,
    /// Outcomes of requests by service, by which rollouts are assessed.
    pub outcomes: Mutex<HashMap<ServiceName, OutcomeMeter>>,
    /// Answer counts received from other daemons during rollouts.
    pub version_count_table: Mutex<VersionCountTable>,
    /// Wakes the task that announces this daemon's state to the others.
    pub announce_early: Notify,
    /// Phase of this daemon, which decides whether it accepts clients.
    pub phase: watch::Sender<GatewayPhase>,
    /// The sequence number of the last message to other daemons.
    pub(super) last_sequence: AtomicU64,
    /// When this daemon became a hub, in milliseconds of the steady clock; `None` if it is no
    /// hub.
    pub(super) hub_since_ms: Mutex<Option<u64>>,
    /// The socket for datagrams, set once at the start.
    pub(super) datagrams: OnceLock<Arc<UdpSocket>>,
    /// Number of requests in flight.
    pub open_requests: AtomicUsize,
    /// Number of requests that are relayed for other daemons; `open_requests` includes them.
    pub(super) relayed_requests: AtomicUsize,
    /// True while this daemon holds the duties, which one daemon at a time holds.
    pub holds_duties: AtomicBool,
    /// When calls to the source of configuration and upstreams succeeded and failed.
    pub source: Mutex<SourceContact>,
    /// How often the source is read, and by how many daemons of a failure domain.
    pub read_schedule: SourceReadSchedule,
    /// True while this daemon reads the source itself. Otherwise it follows other daemons.
    pub reads_source: watch::Sender<bool>,
    /// Counter that rises with each change of the configuration, the upstreams or a rollout.
    /// It wakes the tasks that wait for changes.
    pub changes: watch::Sender<u64>,
    /// The newest version of the configuration known to be in force at any daemon.
    pub newest_config: watch::Sender<u64>,
    /// True while this daemon reads the configuration from the source although it follows
    /// other daemons.
    pub reads_config: watch::Sender<bool>,
    /// The highest known position in the source from which later configurations can be
    /// read.
    pub config_position: Mutex<Option<SourcePosition>>,
    /// The era in which the source has returned from an older copy at the latest, as other daemons
    /// know.
    pub(super) announced_restore: Mutex<Option<SourceEra>>,
    /// Which upstreams this daemon reaches, itself and through other daemons.
    pub(super) links: Mutex<UpstreamLinks>,
    /// Wakes the task that looks for daemons which reach an upstream that this one does not.
    pub(crate) link_failed: Notify,
    /// Which other failure domains are unreachable for this daemon.
    pub(super) domain_reach: Mutex<DomainReach>,
    /// What decides which requests go to other failure domains.
    pub(super) domain_spread: Mutex<DomainSpread>,
    /// The routes in force; `None` before the first configuration.
    pub(super) table: RwLock<Option<Arc<RouteTable>>>,
    /// Retry budgets by service.
    pub(super) retries: Mutex<HashMap<ServiceName, RetryAllowance>>,
    /// Which prompt parts upstreams are likely to have cached.
    pub(super) caches: Mutex<PrefixCacheTracker>,
    /// Demand at this daemon by service, in prompt tokens per second.
    pub(super) demand: Mutex<HashMap<ServiceName, DemandMeter>>,
    /// Learned speed of the model engines by service.
    pub(super) engines: Mutex<HashMap<ServiceName, EngineModel>>,
    /// The ids that the events of each service's streams have.
    pub(super) stream_ids: Mutex<ServiceIds>,
    /// Requests that wait at this daemon until upstreams have room for them.
    pub(super) rooms: Mutex<RoomTable>,
    /// Wakes the task that releases waiting requests.
    pub(super) room_wake: Notify,
    pub(super) rng: Mutex<ChaCha8Rng>,
    /// When the planned stop began, in milliseconds of the steady clock, and its schedule.
    pub(super) stop: OnceLock<(u64, StopSchedule)>,
    started: BootInstant,
}

impl Gateway {
    /// Makes the state of a daemon that starts. `seed` is its incarnation and seeds the random
    /// number generator.
    pub fn new(settings: GatewaySettings, names: HeaderNames, seed: u64) -> Self {
        let quotas = match settings.mechanisms.quota_slack {
            true => QuotaTable::new(settings.bounds.quotas),
            false => QuotaTable::default(),
        };
        let own = DaemonEntry {
            name: settings.node.name.to_string(),
            domain: settings.node.domain.to_string(),
            capacity: settings.node.capacity as f32,
            address: settings.listen.peers,
        };
        Self {
            read_schedule: SourceReadSchedule::for_bound(settings.bounds.drain_ms),
            crashes: Mutex::new(CrashTable::new(settings.bounds.quarantine)),
            part_crashes: Mutex::new(PartCrashTable::new(settings.bounds.quarantine)),
            buffers: settings
                .buffer_bytes()
                .map(|bytes| Arc::new(Buffers::new(bytes))),
            settings,
            names,
            incarnation: seed,
            directory: RwLock::default(),
            loads: Mutex::default(),
            connection_shedder: Mutex::default(),
            limits: Mutex::default(),
            cooldowns: Mutex::default(),
            reported_cooldowns: Mutex::default(),
            leaving_queue: Mutex::default(),
            permit_client: IssuerClient::default(),
            bounds: Mutex::default(),
            slots: Mutex::default(),
            slot_client: IssuerClient::default(),
            released_slots: Mutex::default(),
            slot_released: Notify::new(),
            origins: Mutex::default(),
            version_history: Mutex::default(),
            origin_client: IssuerClient::default(),
            origin_log: OnceLock::new(),
            version_recorder: OnceLock::new(),
            control: ControlTraffic::default(),
            peer_versions: Mutex::default(),
            cut_offs: Mutex::default(),
            pool: Arc::default(),
            peers: Mutex::new(PeerTable::new(own)),
            members: Mutex::default(),
            hub_client: HubClient::default(),
            former_listeners: Mutex::default(),
            events: Mutex::default(),
            speed_samples: Mutex::default(),
            speeds: Mutex::default(),
            standalone_quotas: Mutex::default(),
            usage_announcers: Mutex::default(),
            duty_daemons_since: Mutex::default(),
            report_early: Notify::new(),
            usage: Mutex::default(),
            quotas: Mutex::new(quotas),
            rollouts: Mutex::default(),
            order_numbers: Mutex::default(),
            outcomes: Mutex::default(),
            version_count_table: Mutex::default(),
            announce_early: Notify::new(),
            phase: watch::Sender::new(GatewayPhase::Starting),
            last_sequence: AtomicU64::new(0),
            hub_since_ms: Mutex::default(),
            datagrams: OnceLock::new(),
            open_requests: AtomicUsize::new(0),
            relayed_requests: AtomicUsize::new(0),
            holds_duties: AtomicBool::new(false),
            source: Mutex::default(),
            reads_source: watch::Sender::new(false),
            changes: watch::Sender::new(0),
            newest_config: watch::Sender::new(0),
            reads_config: watch::Sender::new(false),
            config_position: Mutex::default(),
            announced_restore: Mutex::default(),
            links: Mutex::default(),
            link_failed: Notify::new(),
            domain_reach: Mutex::default(),
            domain_spread: Mutex::default(),
            table: RwLock::default(),
            retries: Mutex::default(),
            caches: Mutex::default(),
            demand: Mutex::default(),
            engines: Mutex::default(),
            stream_ids: Mutex::default(),
            rooms: Mutex::default(),
            room_wake: Notify::new(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            stop: OnceLock::new(),
            started: BootInstant::now(),
        }
    }

    /// Returns the milliseconds since the daemon started. The clock also runs while the
    /// machine is suspended, since leases, ages and quotas depend on it.
    pub fn steady_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns a random number.
    pub fn draw(&self) -> u64 {
        self.rng.lock().random()
    }

    /// Records by how much a timer of this daemon was late.
    pub(super) fn record_own_delay(&self, delay: Duration) {
        let mut shedder = self.connection_shedder.lock();
        let before = shedder.share();
        shedder.record_delay(delay.as_millis() as u64);
        let share = shedder.share();
        drop(shedder);
        if (before > 0.0) != (share > 0.0) {
            log::info!(
                target: "client",
                "share of new connections that are closed unread, as there is too little processor time. share={share}"
            );
        }
    }

    /// Returns whether a new connection is to be closed unread, because this daemon is overloaded.
    pub(super) fn closes_connection(&self) -> bool {
        let draw = self.rng.lock().random::<f64>();
        self.connection_shedder.lock().closes(draw)
    }

    /// Returns the number of known daemons, or an assumed number while only this one is known.
    pub fn daemons(&self) -> usize {
        let known = self.peers.lock().daemons();
        let assumed = self.settings.node.domains.len() * ASSUMED_PER_DOMAIN;
        if known > 1 { known } else { assumed.max(1) }
    }

    /// Counts a request that began to run as usage of its client account.
    pub fn record_run(&self, context: &RequestContext) {
        let Some(terms) = &context.account else {
            return;
        };
        let window = self.window_of(crate::names::now_ms());
        self.usage.lock().record(window, terms);
    }

    /// Returns the number of the usage window that contains a time in Unix milliseconds.
    pub fn window_of(&self, unix_ms: u64) -> u64 {
        unix_ms / (self.settings.duties.usage_window_s * 1_000).max(1)
    }

    /// Returns the response to a request that is given up. `timed_out` is true if its deadline
    /// has passed.
    pub fn give_up(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
        timed_out: bool,
    ) -> Response<AnswerBody> {
        log::warn!(
            target: "gateway",
            "given up. request={} service={} sends={} tried={} may_have_run={} timed_out={timed_out} cause=\"{:?}\"",
            context.id_text(),
            context.service,
            attempts.sends,
            attempts.tried.len(),
            attempts.may_have_run,
            attempts.last_failure
        );
        if timed_out {
            return local_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        }
        if attempts.may_have_run {
            return local_response(StatusCode::BAD_GATEWAY, "the request may have run");
        }
        refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "no upstream took the request",
            self.upstreams_wait(&context.service),
        )
    }

    /// Returns the retry time for a client whose request no upstream accepts now.
    fn upstreams_wait(&self, service: &ServiceName) -> Duration {
        let wait = self.cooldown_wait(service);
        let wait = wait.or_else(|| self.limits_wait(service));
        wait.unwrap_or(SHORT_RETRY_AFTER)
    }

    /// Returns the failure domain of this daemon.
    pub fn domain(&self) -> &FailureDomain {
        &self.settings.node.domain
    }

    /// Removes the state of upstreams and daemons that are no longer known.
    pub fn sweep(&self) {
        let (known, services): (HashSet<UpstreamId>, HashSet<ServiceName>) = {
            let directory = self.directory.read();
            let known = directory.all().map(|b| b.id.clone()).collect();
            (known, directory.services().cloned().collect())
        };
        let is_known = |id: &UpstreamId| known.contains(id);
        self.pool.sweep(is_known);
        self.peer_versions.lock().tick(self.steady_ms());
        self.loads.lock().retain(is_known);
        self.limits.lock().retain(is_known);
        self.bounds.lock().retain(is_known);
        self.slots.lock().retain(is_known);
        self.speeds.lock().retain(is_known);
        self.stream_ids.lock().retain(|s| services.contains(s));
        self.tick_cooldowns(is_known);
        let live: HashSet<_> = self.peers.lock().live_addresses().into_iter().collect();
        self.permit_client.retain(|address| live.contains(address));
        self.slot_client.retain(|address| live.contains(address));
        self.origin_client.retain(|address| live.contains(address));
        self.expire_origins();
        self.caches.lock().retain(is_known, self.steady_ms());
    }
}

use {
    super::{attempts::Attempts, cut_offs::CutOffs, *},
    crate::{
        clock::BootInstant,
        cluster::{
            ControlTraffic, DaemonEntry, EventLog, HubClient, LeavingQueue, MemberTable, PeerTable,
            PermitClient, SpokenVersions, StandaloneQuotas, UsageAnnouncer, VersionCountTable,
        },
        conf::GatewaySettings,
        names::{FailureDomain, ServiceName, UpstreamId},
        policy::*,
        rollouts::{OutcomeMeter, RolloutTable},
        routing::RouteTable,
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

/// Daemons of a domain that are reckoned with before any is known.
const ASSUMED_PER_DOMAIN: usize = 3;
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// What the parts of a daemon share.
///
/// Locks are held one at a time and never across an await.
#[derive(Debug)]
pub struct Gateway {
    /// The settings.
    pub settings: GatewaySettings,
    /// The names of headers.
    pub names: HeaderNames,
    /// Which life of this daemon.
    pub incarnation: u64,
    /// The upstreams.
    pub directory: RwLock<UpstreamDirectory>,
    /// How they fare.
    pub loads: Mutex<LoadTable>,
    /// Requests under which upstreams ended.
    pub crashes: Mutex<CrashTable>,
    /// How much upstreams take that say so.
    pub limits: Mutex<LimitTable>,
    /// Upstreams that want nothing from this daemon for a while.
    pub cooldowns: Mutex<CooldownTable>,
    /// What upstreams want of this daemon and of those that it places for.
    pub reported_cooldowns: Mutex<ReportedCooldowns>,
    /// Upstreams whose answers said that they leave, as far as others are to be told.
    pub leaving_queue: Mutex<LeavingQueue>,
    /// Questions for permits to send to them.
    pub permit_client: PermitClient,
    /// What was sent to other daemons beside requests.
    pub control: ControlTraffic,
    /// Which version of the messages other daemons speak.
    pub spoken: Mutex<SpokenVersions>,
    /// Requests that were cut off at upstreams which may have ended.
    pub(super) cut_offs: Mutex<CutOffs>,
    /// Connections to them.
    pub pool: Arc<UpstreamPool>,
    /// The other daemons.
    pub peers: Mutex<PeerTable>,
    /// The daemons that report to this one.
    pub members: Mutex<MemberTable>,
    /// Questions to the hubs of the failure domain.
    pub hub_client: HubClient,
    /// What happened to requests and hubs have not heard of.
    pub events: Mutex<EventLog>,
    /// What is let in while no hub answers.
    pub standalone_quotas: Mutex<StandaloneQuotas>,
    /// What those that are told usage have heard of the counts of daemons, by the life of
    /// each: of this one, and of others that it passes on.
    pub usage_announcers: Mutex<HashMap<u64, UsageAnnouncer>>,
    /// Since when daemons are known to hold the duties or to watch who does, by their
    /// address and life.
    pub duty_daemons_since: Mutex<HashMap<(SocketAddr, u64), u64>>,
    /// Wakes the task that reports to hubs.
    pub report_early: Notify,
    /// Requests that began, by window and client account.
    pub usage: Mutex<UsageWindows>,
    /// The client accounts' quotas.
    pub quotas: Mutex<QuotaTable>,
    /// The roll-outs of new versions.
    pub rollouts: Mutex<RolloutTable>,
    /// How answers are, by service, for roll-outs.
    pub outcomes: Mutex<HashMap<ServiceName, OutcomeMeter>>,
    /// What daemons told of answers during roll-outs.
    pub version_count_table: Mutex<VersionCountTable>,
    /// Wakes the task that tells other daemons about this one.
    pub announce_early: Notify,
    /// Whether clients are taken.
    pub phase: watch::Sender<GatewayPhase>,
    /// The number of the last message to other daemons.
    pub(super) last_sequence: AtomicU64,
    /// Since when this daemon is a hub.
    pub(super) hub_since_ms: Mutex<Option<u64>>,
    pub(super) datagrams: OnceLock<Arc<UdpSocket>>,
    /// Requests in flight.
    pub open_requests: AtomicUsize,
    /// Whether this daemon has the duties that one has at a time.
    pub holds_duties: AtomicBool,
    /// The contact with the source of configuration and upstreams.
    pub source: Mutex<SourceContact>,
    /// How often the source is read.
    pub read_schedule: SourceReadSchedule,
    /// Whether this daemon reads the source itself.
    pub reads_source: watch::Sender<bool>,
    /// Rises with each change of configuration or upstreams.
    pub news: watch::Sender<u64>,
    /// The newest version of the configuration that is known of.
    pub newest_config: watch::Sender<u64>,
    /// Whether this daemon is to read the configuration from the source even
    /// if it follows others.
    pub reads_config: watch::Sender<bool>,
    /// The place in the source from which on later configurations stand, as far
    /// as is known.
    pub config_position: Mutex<Option<u64>>,
    pub(super) domain_reach: Mutex<DomainReach>,
    pub(super) table: RwLock<Option<Arc<RouteTable>>>,
    pub(super) retries: Mutex<HashMap<ServiceName, RetryAllowance>>,
    pub(super) caches: Mutex<CacheMemory>,
    pub(super) demand: Mutex<HashMap<ServiceName, DemandMeter>>,
    pub(super) engines: Mutex<HashMap<ServiceName, EngineModel>>,
    pub(super) rng: Mutex<ChaCha8Rng>,
    /// When the planned stop began, by the steady clock, and its times.
    pub(super) stop: OnceLock<(u64, StopTimes)>,
    started: BootInstant,
}

impl Gateway {
    /// Makes the state of a daemon that starts.
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
            settings,
            names,
            incarnation: seed,
            directory: RwLock::default(),
            loads: Mutex::default(),
            limits: Mutex::default(),
            cooldowns: Mutex::default(),
            reported_cooldowns: Mutex::default(),
            leaving_queue: Mutex::default(),
            permit_client: PermitClient::default(),
            control: ControlTraffic::default(),
            spoken: Mutex::default(),
            cut_offs: Mutex::default(),
            pool: Arc::default(),
            peers: Mutex::new(PeerTable::new(own)),
            members: Mutex::default(),
            hub_client: HubClient::default(),
            events: Mutex::default(),
            standalone_quotas: Mutex::default(),
            usage_announcers: Mutex::default(),
            duty_daemons_since: Mutex::default(),
            report_early: Notify::new(),
            usage: Mutex::default(),
            quotas: Mutex::new(quotas),
            rollouts: Mutex::default(),
            outcomes: Mutex::default(),
            version_count_table: Mutex::default(),
            announce_early: Notify::new(),
            phase: watch::Sender::new(GatewayPhase::Starting),
            last_sequence: AtomicU64::new(0),
            hub_since_ms: Mutex::default(),
            datagrams: OnceLock::new(),
            open_requests: AtomicUsize::new(0),
            holds_duties: AtomicBool::new(false),
            source: Mutex::default(),
            reads_source: watch::Sender::new(false),
            news: watch::Sender::new(0),
            newest_config: watch::Sender::new(0),
            reads_config: watch::Sender::new(false),
            config_position: Mutex::default(),
            domain_reach: Mutex::default(),
            table: RwLock::default(),
            retries: Mutex::default(),
            caches: Mutex::default(),
            demand: Mutex::default(),
            engines: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            stop: OnceLock::new(),
            started: BootInstant::now(),
        }
    }

    /// Returns the milliseconds since the start. They count on while the machine is
    /// suspended: leases, ages and quotas go by them.
    pub fn steady_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Draws a number.
    pub fn draw(&self) -> u64 {
        self.rng.lock().random()
    }

    /// Returns how many daemons there are, as far as is known.
    pub fn daemons(&self) -> usize {
        let known = self.peers.lock().daemons();
        let assumed = self.settings.node.domains.len() * ASSUMED_PER_DOMAIN;
        if known > 1 { known } else { assumed.max(1) }
    }

    /// Notes that a request began to run.
    pub fn record_run(&self, context: &RequestContext) {
        let Some(terms) = &context.account else {
            return;
        };
        let window = self.window_of(crate::names::now_ms());
        self.usage.lock().record(window, terms);
    }

    /// Returns the window of a time in Unix milliseconds.
    pub fn window_of(&self, unix_ms: u64) -> u64 {
        unix_ms / (self.settings.duties.usage_window_s * 1_000).max(1)
    }

    /// Answers a request that is given up, at once.
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

    /// Returns when a client may come back whose request no upstream takes now.
    fn upstreams_wait(&self, service: &ServiceName) -> Duration {
        let wait = self.cooldown_wait(service);
        let wait = wait.or_else(|| self.limits_wait(service));
        wait.unwrap_or(SHORT_RETRY_AFTER)
    }

    /// Returns the domain of this daemon.
    pub fn domain(&self) -> &FailureDomain {
        &self.settings.node.domain
    }

    /// Forgets what concerns upstreams that are gone.
    pub fn sweep(&self) {
        let known: HashSet<UpstreamId> = {
            let directory = self.directory.read();
            directory.all().map(|b| b.id.clone()).collect()
        };
        let is_known = |id: &UpstreamId| known.contains(id);
        self.pool.sweep(is_known);
        self.spoken.lock().tick(self.steady_ms());
        self.loads.lock().retain(is_known);
        self.limits.lock().retain(is_known);
        self.tick_cooldowns(is_known);
        let live: HashSet<_> = self.peers.lock().live_addresses().into_iter().collect();
        self.permit_client.retain(|address| live.contains(address));
        self.caches.lock().retain(is_known, self.steady_ms());
    }
}

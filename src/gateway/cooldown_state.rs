use {
    super::Gateway,
    crate::{
        cluster::{AnnouncedCooldown, CooldownsPart},
        names::{BoxId, ServiceName, UpstreamId},
    },
    std::time::Duration,
};

/// Maximum number of upstreams in cooldown per report. It keeps the report within one
/// datagram. Each report selects upstreams at random, so later reports name the others.
const MAX_ANNOUNCED: usize = 16;
/// Bounds of the retry time sent to a client while all upstreams of its service are in
/// cooldown. With a shorter one, the client returns together with the requests that were
/// refused; with a longer one, upstreams that are added meanwhile stay idle.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Maximum jitter of the retry time, as a share of it. Clients that return at the same time
/// would be refused again.
const JITTER: f64 = 0.25;

/// Upstreams in cooldown: they refused a request and named a retry time.
impl Gateway {
    /// Puts an upstream in cooldown for the time that it named to this daemon.
    pub(super) fn start_cooldown(&self, id: &UpstreamId, retry_after: Duration) {
        let now_ms = self.steady_ms();
        self.cooldowns.lock().record(id, retry_after, now_ms);
        let own = &self.settings.node.name;
        self.reported_cooldowns
            .lock()
            .apply(own, id, retry_after, now_ms);
        self.report_early.notify_one();
    }

    /// Returns whether an upstream is in cooldown for this daemon.
    pub fn is_in_cooldown(&self, id: &UpstreamId) -> bool {
        let now_ms = self.steady_ms();
        self.cooldowns.lock().is_in_cooldown(id, now_ms)
    }

    /// Returns the upstreams in cooldown for this daemon.
    pub(super) fn in_cooldown(&self) -> Vec<UpstreamId> {
        let now_ms = self.steady_ms();
        let cooldowns = self.cooldowns.lock();
        cooldowns
            .in_cooldown(now_ms)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the upstreams that are in cooldown for so many daemons that the other daemons
    /// avoid them, too, while there are other upstreams.
    pub(super) fn upstreams_in_cooldown_for_many(&self) -> Vec<UpstreamId> {
        let now_ms = self.steady_ms();
        self.reported_cooldowns.lock().in_cooldown_for_many(now_ms)
    }

    /// Returns the cooldowns to report to the hub that places requests for this daemon, or
    /// `None` if no upstream is in cooldown.
    pub fn cooldowns_to_announce(&self) -> Option<CooldownsPart> {
        let now_ms = self.steady_ms();
        let announced: Vec<AnnouncedCooldown> = {
            let cooldowns = self.cooldowns.lock();
            let active = cooldowns.in_cooldown(now_ms);
            active
                .map(|(id, left)| AnnouncedCooldown::of(id, left))
                .collect()
        };
        let cooldowns = self.random_sample(announced, MAX_ANNOUNCED);
        (!cooldowns.is_empty()).then_some(CooldownsPart { cooldowns })
    }

    /// Applies the cooldowns reported by a daemon for which this one places requests.
    pub fn apply_cooldowns(&self, daemon: &str, part: &CooldownsPart) {
        let now_ms = self.steady_ms();
        let daemon = BoxId::from(daemon);
        let mut reported = self.reported_cooldowns.lock();
        for cooldown in &part.cooldowns {
            let id = UpstreamId::from(cooldown.upstream.as_str());
            reported.apply(&daemon, &id, cooldown.left(), now_ms);
        }
    }

    /// Returns the retry time for a client while all upstreams of its service are in
    /// cooldown: the time until the first cooldown ends, or a little longer. Returns `None` if
    /// any upstream is not in cooldown.
    pub(super) fn cooldown_wait(&self, service: &ServiceName) -> Option<Duration> {
        let ready = self.directory.read().ready_list(service);
        let now_ms = self.steady_ms();
        let cooldowns = self.cooldowns.lock();
        let left = ready
            .upstreams
            .iter()
            .map(|u| cooldowns.left(&u.id, now_ms));
        let left = left.collect::<Option<Vec<Duration>>>()?;
        drop(cooldowns);
        let first = left.into_iter().min()?;
        let drawn = self.draw() as f64 / u64::MAX as f64;
        let wait = first.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Some(wait.mul_f64(1.0 + JITTER * drawn))
    }

    /// Removes cooldowns that are over and those of upstreams that are no longer known.
    pub(super) fn tick_cooldowns(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let now_ms = self.steady_ms();
        self.reported_cooldowns.lock().retain(&is_known, now_ms);
        self.cooldowns.lock().retain(is_known, now_ms);
    }
}

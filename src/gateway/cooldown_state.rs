use {
    super::Gateway,
    crate::{
        cluster::{AnnouncedCooldown, CooldownsPart},
        names::{BoxId, ServiceName, UpstreamId},
    },
    std::time::Duration,
};

/// How many upstreams a report names at most that want rest: with them it stays below the
/// size of one datagram, and the next one names others.
const MAX_ANNOUNCED: usize = 16;
/// The least and the most that a client is told to wait where all upstreams of its service
/// rest: below, it is back with the requests that were turned away; above, upstreams that
/// come meanwhile would be left idle.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// By how much of the wait, at most, the times differ that clients are told: together they
/// would be turned away again.
const SPREAD: f64 = 0.25;

/// Upstreams that want nothing from this daemon for a while.
impl Gateway {
    /// Notes that an upstream asked this daemon for rest.
    pub(super) fn start_cooldown(&self, id: &UpstreamId, rest: Duration) {
        let now_ms = self.steady_ms();
        self.cooldowns.lock().record(id, rest, now_ms);
        let own = &self.settings.node.name;
        self.reported_cooldowns.lock().apply(own, id, rest, now_ms);
        self.report_early.notify_one();
    }

    /// Returns whether an upstream wants nothing from this daemon now.
    pub fn is_in_cooldown(&self, id: &UpstreamId) -> bool {
        let now_ms = self.steady_ms();
        self.cooldowns.lock().is_in_cooldown(id, now_ms)
    }

    /// Returns the upstreams that want nothing from this daemon now.
    pub(super) fn in_cooldown(&self) -> Vec<UpstreamId> {
        let now_ms = self.steady_ms();
        let cooldowns = self.cooldowns.lock();
        cooldowns
            .in_cooldown(now_ms)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the upstreams that want rest of so many daemons that others leave them alone,
    /// too, as long as there are others.
    pub(super) fn upstreams_in_cooldown_for_many(&self) -> Vec<UpstreamId> {
        let now_ms = self.steady_ms();
        self.reported_cooldowns.lock().in_cooldown_for_many(now_ms)
    }

    /// Returns what to tell the hub that places for this daemon; nothing, if no upstream
    /// wants rest.
    pub fn cooldowns_to_announce(&self) -> Option<CooldownsPart> {
        let now_ms = self.steady_ms();
        let told: Vec<AnnouncedCooldown> = {
            let cooldowns = self.cooldowns.lock();
            let told = cooldowns.in_cooldown(now_ms);
            told.map(|(id, left)| AnnouncedCooldown::of(id, left))
                .collect()
        };
        let cooldowns = self.random_sample(told, MAX_ANNOUNCED);
        (!cooldowns.is_empty()).then_some(CooldownsPart { cooldowns })
    }

    /// Takes in what upstreams want of a daemon that this one places for.
    pub fn apply_cooldowns(&self, daemon: &str, part: &CooldownsPart) {
        let now_ms = self.steady_ms();
        let daemon = BoxId::from(daemon);
        let mut told = self.reported_cooldowns.lock();
        for rest in &part.cooldowns {
            let id = UpstreamId::from(rest.upstream.as_str());
            told.apply(&daemon, &id, rest.left(), now_ms);
        }
    }

    /// Returns when a client may come back whose service's upstreams all rest: when the
    /// first of them takes requests again, or a little later.
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
        Some(wait.mul_f64(1.0 + SPREAD * drawn))
    }

    /// Forgets rests that are over, and upstreams that are gone.
    pub(super) fn tick_cooldowns(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let now_ms = self.steady_ms();
        self.reported_cooldowns.lock().retain(&is_known, now_ms);
        self.cooldowns.lock().retain(is_known, now_ms);
    }
}

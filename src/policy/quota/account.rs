use {
    super::{QuotaLimit, QuotaWait},
    std::collections::HashMap,
};

/// Time constant of the moving average of the demand, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 3_000.0;
/// Minimum weight of a daemon without demand, as a share of an even split of the rate.
const IDLE_SHARE: f64 = 0.25;
/// Share of the burst that a daemon assumes to be left when it starts, and to which its
/// admissions are limited until it knows other daemons.
const START_BURST_SHARE: f64 = 0.12;
/// Share of the slack that a starting daemon assumes to be left at least, unless an older
/// daemon announces its level: after a loss of all daemons, the bucket is likely to be full.
/// The share allows for two losses of all daemons within a window. [`START_BURST_SHARE`]
/// limits admissions until other daemons are known.
const START_SLACK_SHARE: f64 = 0.25;
/// Share of the slack that all daemons together may admit between two notices, even if their
/// shares of the level are smaller. Later refills pay back the resulting debt.
const UNANNOUNCED_SLACK_SHARE: f64 = 0.35;
/// How long a starting daemon adopts the level that older daemons announce, in
/// milliseconds. It spans several notices.
const LEVEL_ADOPTION_MS: u64 = 1_000;
/// Level, as a share of the burst, that suffices to admit a request that costs more. It also
/// bounds the unused shares that a daemon accumulates.
pub(super) const LARGE_REQUEST_BURST_SHARE: f64 = 0.5;
/// How many times its share of the level a daemon may admit between two notices.
const UNANNOUNCED_SHARES: f64 = 2.0;
/// The longest retry time named to a client, in milliseconds. Without it, a client account
/// without a rate would get an infinite retry time.
const MAX_WAIT_MS: f64 = 60_000.0;
/// What is left above this share of the burst, any daemon may admit between two notices, as
/// long as no notice of another daemon is overdue.
const SCARCE_BURST_SHARE: f64 = 0.4;
/// Share of the burst below which admissions are announced early.
const LOW_BURST_SHARE: f64 = 0.5;
/// Share of the burst that may be admitted at a low level before it is announced early.
const EARLY_NOTICE_BURST_SHARE: f64 = 0.05;

/// The admissions of another daemon as counted in this account.
#[derive(Clone, Copy, Debug, Default)]
struct Other {
    incarnation: u64,
    /// Units that the daemon has admitted, by its own count.
    total: f64,
    /// Units taken out of the bucket for the daemon while it was silent.
    charged: f64,
    /// Time up to which units were taken out for the daemon while silent.
    charged_to_ms: Option<u64>,
}

/// The state of another daemon when an account is brought up to date.
#[derive(Clone, Debug, PartialEq)]
pub struct OtherDaemon {
    /// The daemon's name.
    pub node: String,
    /// Weight of the daemon's claim to a share of the rate, in units per second.
    pub weight: f64,
    /// Time of the last contact with the daemon.
    pub last_seen_ms: u64,
    /// The daemon's notice is overdue, so it may be cut off.
    pub late: bool,
    /// The daemon has been silent for so long that its share is taken out of the bucket.
    pub silent: bool,
    /// This daemon admits the requests of the other one now and takes over its share.
    pub replaced: bool,
}

/// The quota of one client account in the view of one daemon.
///
/// Each daemon keeps a replica of the same token bucket. It takes out its own admissions at
/// once, and those of other daemons when their notices arrive. Notices that arrive late can
/// drive the bucket into debt, so that the rate holds on average. Between two notices, a
/// daemon admits no more than a small multiple of its share of the level. For a silent
/// daemon, the share of the rate that it claimed last is taken out as if it were used.
/// Times are milliseconds of a steady clock.
#[derive(Clone, Debug)]
pub struct QuotaAccount {
    /// Units left in the bucket; negative while it is in debt.
    level: f64,
    /// Time of the last refill.
    updated_ms: u64,
    /// Moving average of the demand at this daemon as of `demand_ms`, in units per second.
    demand: f64,
    demand_ms: u64,
    /// Units that this daemon has admitted.
    admitted: f64,
    /// The other daemons by name.
    others: HashMap<String, Other>,
    /// Share of the rate that belongs to daemons that are not known yet.
    unknown_share: f64,
    /// This daemon's share of the rate, by weight.
    own_share: f64,
    /// Level at the last tick, at least 0.
    level_at_tick: f64,
    /// Units admitted since the last tick.
    admitted_since_tick: f64,
    /// Units that this daemon left unused of its shares at earlier ticks. They admit a
    /// request that is larger than one share.
    unused_shares: f64,
    /// No notice of another daemon was overdue at the last tick.
    all_on_time: bool,
    /// Units that were given back and are still included in `admitted`.
    given_back: f64,
    /// Units of the slack that this daemon may use between two notices.
    own_slack: f64,
    /// Time at which this account was opened.
    opened_ms: u64,
    /// An older daemon has announced its level to this one.
    has_adopted_level: bool,
    /// A request waits for the next notice.
    is_notice_awaited: bool,
}

impl QuotaAccount {
    /// Opens an account with a low level, since the admissions before a restart are not known.
    /// `own_share` is this daemon's share of the rate until it knows other daemons.
    pub fn new(own_share: f64, limit: &QuotaLimit, now_ms: u64) -> Self {
        let start = limit.burst * START_BURST_SHARE;
        let likely = (limit.slack * START_SLACK_SHARE).min(limit.burst);
        Self {
            level: start.max(likely),
            updated_ms: now_ms,
            demand: 0.0,
            demand_ms: now_ms,
            admitted: 0.0,
            others: HashMap::new(),
            unknown_share: 1.0 - own_share,
            own_share,
            level_at_tick: 0.0,
            admitted_since_tick: 0.0,
            unused_shares: 0.0,
            all_on_time: false,
            given_back: 0.0,
            own_slack: 0.0,
            opened_ms: now_ms,
            has_adopted_level: false,
            is_notice_awaited: false,
        }
    }

    /// Returns the units left in the bucket, in this daemon's view.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns this daemon's share of the rate.
    pub fn own_share(&self) -> f64 {
        self.own_share
    }

    /// Adopts the level that an older daemon announced, minus this daemon's own admissions,
    /// while this daemon is new and can't know what was admitted before it started. Of
    /// several announced levels, the lowest applies.
    pub fn adopt_level(&mut self, announced: f64, now_ms: u64) {
        if now_ms >= self.opened_ms + LEVEL_ADOPTION_MS {
            return;
        }
        let announced = announced - self.admitted;
        self.level = match self.has_adopted_level {
            true => self.level.min(announced),
            false => announced,
        };
        self.has_adopted_level = true;
    }

    /// Takes out units that were admitted elsewhere and that this daemon has to count.
    pub fn record_admitted(&mut self, units: f64) {
        self.level -= units;
        self.admitted += units;
    }

    /// Gives back units that were admitted and are not used. The next admissions use them up before
    /// they count as admitted, so the announced sum never falls. Other daemons learn later that they may
    /// use more, but never count units twice.
    pub fn give_back(&mut self, units: f64, burst: f64) {
        self.level = (self.level + units).min(burst);
        self.given_back += units;
        self.admitted_since_tick = (self.admitted_since_tick - units).max(0.0);
    }

    /// Returns the units that this daemon has counted as admitted since it opened the account.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns the weight of this daemon's claim to a share of the rate: its demand, but at
    /// least [`IDLE_SHARE`] of an even split.
    pub fn weight(&self, rate: f64, daemons: usize, now_ms: u64) -> f64 {
        let even = rate / daemons.max(1) as f64;
        self.demand(now_ms).max(even * IDLE_SHARE)
    }

    /// Returns whether the admissions should be announced to the other daemons now: a request
    /// waits for the next notice, or the level is low and much was admitted since the last.
    pub fn should_announce(&self, burst: f64) -> bool {
        let is_low = self.level < burst * LOW_BURST_SHARE;
        self.is_notice_awaited
            || (is_low && self.admitted_since_tick > burst * EARLY_NOTICE_BURST_SHARE)
    }

    /// Takes out what another daemon has admitted since its last notice, and gives back what
    /// was charged for it while it was silent. `is_younger` says that the other daemon has not
    /// run for longer than this one, so that all its admissions happened while this one ran.
    pub fn apply(&mut self, node: &str, incarnation: u64, total: f64, is_younger: bool) {
        let first = !self.others.contains_key(node);
        let other = self.others.entry(node.to_string()).or_default();
        let newly_admitted = match other.incarnation == incarnation {
            true => (total - other.total).max(0.0),
            // The admissions of an older daemon before the first contact are not counted.
            false if first && !is_younger => 0.0,
            false => total,
        };
        // The charges are given back, since they would otherwise empty the buckets of daemons
        // that are only starting to exchange notices. The next refill caps the level at the
        // burst.
        self.level += other.charged - newly_admitted;
        *other = Other {
            incarnation,
            total,
            ..Other::default()
        };
    }

    /// Refills the bucket, recomputes the shares by the weights of the other daemons, charges
    /// silent daemons, and starts a new period between notices.
    pub fn tick(
        &mut self,
        own_weight: f64,
        others: &[OtherDaemon],
        limit: &QuotaLimit,
        now_ms: u64,
    ) {
        self.refill(limit, now_ms);
        let total_weight = own_weight + sum_of_weights(others);
        if !others.is_empty() {
            self.unknown_share = 0.0;
            self.own_share = own_weight / total_weight.max(f64::MIN_POSITIVE);
            let daemons = (others.len() + 1) as f64;
            self.own_slack = limit.slack * UNANNOUNCED_SLACK_SHARE / daemons;
        }
        self.charge_silent(others, total_weight, limit.rate, now_ms);
        self.all_on_time = !others.iter().any(|o| o.late);
        self.level_at_tick = self.level.max(0.0);
        let share = self.level_at_tick * self.own_share * UNANNOUNCED_SHARES;
        let most = limit.burst * LARGE_REQUEST_BURST_SHARE;
        self.unused_shares = (self.unused_shares + share).min(most);
        self.admitted_since_tick = 0.0;
        self.is_notice_awaited = false;
    }

    /// Takes out what silent daemons may use: their shares of the rate since the last contact
    /// and, once, of the level. Those that fall silent together are charged by the same level, as
    /// it is when half of their use of the rate is taken out, so that their order doesn't matter.
    fn charge_silent(&mut self, others: &[OtherDaemon], total_weight: f64, rate: f64, now_ms: u64) {
        // Sums are made in the order of names, since their last digits depend on it.
        let mut silent: Vec<_> = others.iter().filter(|o| o.silent).collect();
        silent.sort_unstable_by(|a, b| a.node.cmp(&b.node));
        let share_of = |other: &OtherDaemon| other.weight / total_weight.max(f64::MIN_POSITIVE);
        let (mut used, mut shares, mut kept) = (0.0, 0.0, 1.0);
        let mut newly_silent = Vec::new();
        for silent in silent {
            let share = share_of(silent);
            let other = self.others.entry(silent.node.clone()).or_default();
            if other.charged_to_ms.is_none() {
                newly_silent.push(silent);
                shares += share;
                kept *= 1.0 - share;
            }
            let from_ms = other.charged_to_ms.unwrap_or(silent.last_seen_ms);
            let elapsed_s = now_ms.saturating_sub(from_ms) as f64 / 1_000.0;
            other.charged_to_ms = Some(now_ms);
            other.charged += rate * share * elapsed_s;
            used += rate * share * elapsed_s;
        }
        let left = (self.level - used / 2.0).max(0.0) * (1.0 - kept);
        for silent in newly_silent {
            let other = self.others.entry(silent.node.clone()).or_default();
            other.charged += left * share_of(silent) / f64::max(shares, f64::MIN_POSITIVE);
        }
        self.level -= used + left;
    }

    /// Admits a request. One that costs more than half of the burst needs a level of half of
    /// the burst.
    ///
    /// # Errors
    ///
    /// Returns why the request is not admitted now.
    pub fn admit(&mut self, cost: f64, limit: &QuotaLimit, now_ms: u64) -> Result<(), QuotaWait> {
        self.refill(limit, now_ms);
        let needed = cost.min(limit.burst * LARGE_REQUEST_BURST_SHARE);
        let left = match self.unknown_share > 0.0 {
            true => self.level.min(limit.burst * START_BURST_SHARE),
            false => self.level_at_tick.max(self.level),
        };
        let own_allowance = left * self.own_share * UNANNOUNCED_SHARES;
        let free_allowance = match self.all_on_time {
            true => self.level_at_tick - limit.burst * SCARCE_BURST_SHARE,
            false => 0.0,
        };
        let allowance = own_allowance.max(free_allowance).max(self.own_slack);
        let is_first = self.admitted_since_tick <= 0.0;
        let has_unused_shares = is_first && self.unused_shares >= needed;
        let is_within_share = has_unused_shares || self.admitted_since_tick + cost <= allowance;
        if self.level >= needed && is_within_share {
            self.level -= cost;
            let used_again = cost.min(self.given_back);
            self.given_back -= used_again;
            self.admitted += cost - used_again;
            self.admitted_since_tick += cost;
            self.unused_shares = (self.unused_shares - cost).max(0.0);
            return Ok(());
        }
        let missing = needed - self.level;
        if missing <= 0.0 {
            self.is_notice_awaited = true;
            return Err(QuotaWait::NotYetDue);
        }
        let wait_s = missing / (limit.rate * (1.0 - self.unknown_share)).max(1.0);
        let wait_ms = (wait_s * 1_000.0).min(MAX_WAIT_MS) as u64 + 1;
        Err(QuotaWait::UsedUp(wait_ms))
    }

    /// Adds the units gained since the last refill, up to the burst. The share of the rate that
    /// belongs to unknown daemons is left out.
    pub(super) fn refill(&mut self, limit: &QuotaLimit, now_ms: u64) {
        let rate = limit.rate * (1.0 - self.unknown_share);
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.level = (self.level + rate * elapsed_s).min(limit.burst);
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Records the cost of a request as demand, once for each request, whether it is admitted
    /// or not.
    pub fn record_demand(&mut self, cost: f64, now_ms: u64) {
        self.demand = self.demand(now_ms) + cost * 1_000.0 / DEMAND_WINDOW_MS;
        self.demand_ms = now_ms;
    }

    /// Returns the moving average of the demand at `now_ms`, in units per second.
    fn demand(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.demand_ms) as f64;
        self.demand * (-age_ms / DEMAND_WINDOW_MS).exp()
    }
}

/// Sums the weights of other daemons in ascending order, so that no digit depends on the order in
/// which the daemons are given.
pub(super) fn sum_of_weights(others: &[OtherDaemon]) -> f64 {
    let mut weights: Vec<f64> = others.iter().map(|o| o.weight).collect();
    weights.sort_unstable_by(f64::total_cmp);
    weights.iter().sum()
}

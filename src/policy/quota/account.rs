use {
    super::{QuotaLimit, QuotaWait},
    std::collections::HashMap,
};

/// Over which time demand is averaged, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 3_000.0;
/// Of a daemon's even part, what one without demand keeps.
const IDLE_PART: f64 = 0.25;
/// Of the burst, what a daemon that starts reckons with until it hears others.
const START_LEVEL: f64 = 0.12;
/// Of the slack, what a daemon starts with once it has heard others that are no
/// older than itself: after a loss of all, the bucket is likely to be full. All
/// may be lost twice within a window.
const START_SLACK: f64 = 0.25;
/// Of the slack, what all daemons together may let in between two notices,
/// whatever is left: the debt pays it back.
const UNHEARD_SLACK: f64 = 0.35;
/// How long a daemon that starts takes over what is left from older ones, in
/// milliseconds: some notices' time.
const LEARNING_MS: u64 = 1_000;
/// Of the burst, what has to be there for a request that is larger.
const LARGE_REQUEST_LEVEL: f64 = 0.5;
/// How many times its part of what is left a daemon may let in between two
/// notices of the others.
const UNHEARD_PARTS: f64 = 2.0;
/// The longest wait that is told, in milliseconds: a client account without a rate
/// would wait forever.
const MAX_WAIT_MS: f64 = 60_000.0;
/// What is left above this part of the burst, any daemon may let in unheard.
const SCARCE_LEVEL: f64 = 0.4;
/// Below this part of the burst, others should hear early of what is let in.
const LOW_LEVEL: f64 = 0.5;
/// Of the burst, what may be let in before others should hear of it.
const UNHEARD_BURST: f64 = 0.05;

/// Another daemon, as a client account's account sees it.
#[derive(Clone, Copy, Debug, Default)]
struct Other {
    incarnation: u64,
    /// What it has let in, by its own count.
    total: f64,
    /// What was taken out for it while it was silent.
    charged: f64,
    /// Until when that was.
    charged_to_ms: Option<u64>,
}

/// What is known of another daemon when an account is brought up to date.
#[derive(Clone, Debug, PartialEq)]
pub struct OtherDaemon {
    /// Its name.
    pub node: String,
    /// The weight with which it asks for a part of the rate.
    pub weight: f64,
    /// When it was heard last.
    pub last_seen_ms: u64,
    /// Whether its notice is late: it may be cut off.
    pub late: bool,
    /// Whether it has been silent for too long since.
    pub silent: bool,
    /// Whether this daemon lets in now what that one did: its part has gone over.
    pub replaced: bool,
}

/// One client account's quota as one daemon sees it.
///
/// All daemons keep the same token bucket: each takes from it what it lets in
/// at once, and what the others let in when it hears of it. What it hears late
/// drives the bucket into debt, so that the rate holds on average. Between two
/// notices a daemon lets in no more than some parts of what is left. For a
/// daemon that is silent, the part of the rate that it asked for last is taken
/// out as if it used it. Times are milliseconds of a steady clock.
#[derive(Clone, Debug)]
pub struct QuotaAccount {
    level: f64,
    updated_ms: u64,
    demand: f64,
    demand_ms: u64,
    admitted: f64,
    others: HashMap<String, Other>,
    /// The part of the rate that belongs to daemons not yet heard of.
    unknown_part: f64,
    /// This daemon's part by weight.
    own_part: f64,
    /// What was left at the last tick, and what was let in since.
    left_at_tick: f64,
    since_tick: f64,
    /// What this daemon left unused of its parts at earlier ticks: it lets a
    /// request in that is larger than one part.
    saved_turns: f64,
    /// Whether all others were heard at the last tick.
    all_heard: bool,
    /// Of the slack, this daemon's part between two notices.
    own_slack: f64,
    /// When this account was opened.
    opened_ms: u64,
    /// Whether an older daemon has told what is left.
    is_announced: bool,
    /// Whether a request waits for the next notice.
    is_turn_awaited: bool,
}

impl QuotaAccount {
    /// Starts with nothing heard and little left: what was let in before a
    /// restart is not known.
    pub fn new(own_part: f64, limit: &QuotaLimit, now_ms: u64) -> Self {
        let start = limit.burst * START_LEVEL;
        let likely = (limit.slack * START_SLACK).min(limit.burst);
        Self {
            level: start.max(likely),
            updated_ms: now_ms,
            demand: 0.0,
            demand_ms: now_ms,
            admitted: 0.0,
            others: HashMap::new(),
            unknown_part: 1.0 - own_part,
            own_part,
            left_at_tick: 0.0,
            since_tick: 0.0,
            saved_turns: 0.0,
            all_heard: false,
            own_slack: 0.0,
            opened_ms: now_ms,
            is_announced: false,
            is_turn_awaited: false,
        }
    }

    /// Returns what is left, as this daemon sees it.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes over what an older daemon says is left, while this one is new: it
    /// can't know what was let in before it started.
    pub fn learn_level(&mut self, told: f64, now_ms: u64) {
        if now_ms >= self.opened_ms + LEARNING_MS {
            return;
        }
        let told = told - self.admitted;
        self.level = match self.is_announced {
            true => self.level.min(told),
            false => told,
        };
        self.is_announced = true;
    }

    /// Takes out what was let in elsewhere and is this daemon's to count.
    pub fn record_admitted(&mut self, units: f64) {
        self.level -= units;
        self.admitted += units;
    }

    /// Returns what was let in here so far.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns the weight with which this daemon asks for a part of the rate.
    pub fn weight(&self, rate: f64, daemons: usize, now_ms: u64) -> f64 {
        let even = rate / daemons.max(1) as f64;
        self.demand(now_ms).max(even * IDLE_PART)
    }

    /// Returns whether others should hear now of what was let in.
    pub fn should_announce(&self, burst: f64) -> bool {
        let is_low = self.level < burst * LOW_LEVEL;
        self.is_turn_awaited || (is_low && self.since_tick > burst * UNHEARD_BURST)
    }

    /// Takes out what another daemon has let in since it was last heard, and
    /// gives back what was charged for it beyond that while it was silent.
    /// `is_younger` says that it has not run for longer than this one: all that
    /// it let in was let in meanwhile.
    pub fn apply(&mut self, node: &str, incarnation: u64, total: f64, is_younger: bool) {
        let first = !self.others.contains_key(node);
        let other = self.others.entry(node.to_string()).or_default();
        let news = match other.incarnation == incarnation {
            true => (total - other.total).max(0.0),
            // What it let in before this daemon knew it is over and done.
            false if first && !is_younger => 0.0,
            false => total,
        };
        // Kept, such charges would empty the buckets of daemons that get to know each other.
        // The next refill cuts what is over the burst.
        self.level += other.charged - news;
        *other = Other {
            incarnation,
            total,
            ..Other::default()
        };
    }

    /// Brings the account up to date with what is known of the others.
    pub fn tick(
        &mut self,
        own_weight: f64,
        others: &[OtherDaemon],
        limit: &QuotaLimit,
        now_ms: u64,
    ) {
        self.refill(limit, now_ms);
        let all: f64 = own_weight + others.iter().map(|o| o.weight).sum::<f64>();
        if !others.is_empty() {
            self.unknown_part = 0.0;
            self.own_part = own_weight / all.max(f64::MIN_POSITIVE);
            let daemons = (others.len() + 1) as f64;
            self.own_slack = limit.slack * UNHEARD_SLACK / daemons;
        }
        for other in others.iter().filter(|o| o.silent) {
            self.charge(
                other,
                other.weight / all.max(f64::MIN_POSITIVE),
                limit.rate,
                now_ms,
            );
        }
        self.all_heard = !others.iter().any(|o| o.late);
        self.left_at_tick = self.level.max(0.0);
        let part = self.left_at_tick * self.own_part * UNHEARD_PARTS;
        let most = limit.burst * LARGE_REQUEST_LEVEL;
        self.saved_turns = (self.saved_turns + part).min(most);
        self.since_tick = 0.0;
        self.is_turn_awaited = false;
    }

    /// Takes out the part of a silent daemon, back to when it was heard last.
    fn charge(&mut self, silent: &OtherDaemon, part: f64, rate: f64, now_ms: u64) {
        let other = self.others.entry(silent.node.clone()).or_default();
        let from_ms = match other.charged_to_ms {
            Some(to_ms) => to_ms,
            None => {
                // It may use its part of what was left, too.
                let left = self.level.max(0.0) * part;
                self.level -= left;
                other.charged += left;
                silent.last_seen_ms
            }
        };
        let used = rate * part * now_ms.saturating_sub(from_ms) as f64 / 1_000.0;
        other.charged_to_ms = Some(now_ms);
        other.charged += used;
        self.level -= used;
    }

    /// Lets a request in. One larger than the burst allows needs half of it.
    ///
    /// # Errors
    ///
    /// Returns why it is not let in now.
    pub fn admit(&mut self, cost: f64, limit: &QuotaLimit, now_ms: u64) -> Result<(), QuotaWait> {
        self.refill(limit, now_ms);
        let needed = cost.min(limit.burst * LARGE_REQUEST_LEVEL);
        let left = match self.unknown_part > 0.0 {
            true => self.level.min(limit.burst * START_LEVEL),
            false => self.left_at_tick.max(self.level),
        };
        let own = left * self.own_part * UNHEARD_PARTS;
        let spare = match self.all_heard {
            true => self.left_at_tick - limit.burst * SCARCE_LEVEL,
            false => 0.0,
        };
        let unheard = own.max(spare).max(self.own_slack);
        let is_first = self.since_tick <= 0.0;
        let has_saved = is_first && self.saved_turns >= needed;
        let in_turn = has_saved || self.since_tick + cost <= unheard;
        if self.level >= needed && in_turn {
            self.level -= cost;
            self.admitted += cost;
            self.since_tick += cost;
            self.saved_turns = (self.saved_turns - cost).max(0.0);
            return Ok(());
        }
        let missing = needed - self.level;
        if missing <= 0.0 {
            self.is_turn_awaited = true;
            return Err(QuotaWait::NotYetDue);
        }
        let wait_s = missing / (limit.rate * (1.0 - self.unknown_part)).max(1.0);
        let wait_ms = (wait_s * 1_000.0).min(MAX_WAIT_MS) as u64 + 1;
        Err(QuotaWait::UsedUp(wait_ms))
    }

    fn refill(&mut self, limit: &QuotaLimit, now_ms: u64) {
        let rate = limit.rate * (1.0 - self.unknown_part);
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.level = (self.level + rate * elapsed_s).min(limit.burst);
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Notes what a request asks for, once, whether it is let in or not.
    pub fn record_demand(&mut self, cost: f64, now_ms: u64) {
        self.demand = self.demand(now_ms) + cost * 1_000.0 / DEMAND_WINDOW_MS;
        self.demand_ms = now_ms;
    }

    fn demand(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.demand_ms) as f64;
        self.demand * (-age_ms / DEMAND_WINDOW_MS).exp()
    }
}

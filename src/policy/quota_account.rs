use std::collections::HashMap;

/// Over which time demand is averaged, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 1_500.0;
/// Of a daemon's even part, what one without demand keeps.
const IDLE_PART: f64 = 0.25;
/// Of its part of the burst, how much a daemon starts with.
const START_LEVEL: f64 = 0.3;
/// Of the burst, what has to be there for a request that is larger.
const LARGE_REQUEST_LEVEL: f64 = 0.5;

/// What another daemon has let in, by its own count.
#[derive(Clone, Copy, Debug, Default)]
struct SeenTotal {
    incarnation: u64,
    total: f64,
}

/// One tenant's quota as one daemon sees it.
///
/// All daemons keep the same token bucket: each takes from it what it lets in
/// at once, and what the others let in when it hears of it. What it hears late
/// drives the bucket into debt, so that the rate holds on average and a burst
/// is exceeded by no more than what is offered in that time. For daemons that
/// are silent, the rate that they asked for last is taken out as if they used
/// it. Times are milliseconds of a steady clock.
#[derive(Clone, Debug)]
pub struct QuotaAccount {
    level: f64,
    updated_ms: u64,
    demand: f64,
    demand_ms: u64,
    admitted: f64,
    seen: HashMap<String, SeenTotal>,
    /// The part of the rate that silent daemons may be using.
    reserved: f64,
}

impl QuotaAccount {
    /// Starts with nothing heard.
    pub fn new(burst: f64, reserved: f64, now_ms: u64) -> Self {
        Self {
            level: burst * START_LEVEL * (1.0 - reserved),
            updated_ms: now_ms,
            demand: 0.0,
            demand_ms: now_ms,
            admitted: 0.0,
            seen: HashMap::new(),
            reserved,
        }
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

    /// Sets the part of the rate that silent daemons may be using.
    pub fn reserve(&mut self, part: f64) {
        self.reserved = part.clamp(0.0, 1.0);
    }

    /// Takes out what another daemon has let in since it was last heard.
    pub fn hear(&mut self, node: &str, incarnation: u64, total: f64) {
        let first = !self.seen.contains_key(node);
        let seen = self.seen.entry(node.to_string()).or_default();
        let news = match seen.incarnation == incarnation {
            true => (total - seen.total).max(0.0),
            // What it let in before this daemon knew it is over and done.
            false if first => 0.0,
            false => total,
        };
        *seen = SeenTotal { incarnation, total };
        self.level -= news;
    }

    /// Lets a request in. One larger than the burst allows needs half of it.
    ///
    /// # Errors
    ///
    /// Returns after how many milliseconds it would be let in.
    pub fn admit(&mut self, cost: f64, rate: f64, burst: f64, now_ms: u64) -> Result<(), u64> {
        self.note_demand(cost, now_ms);
        let rate = rate * (1.0 - self.reserved);
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.level = (self.level + rate * elapsed_s).min(burst);
        self.updated_ms = now_ms;
        let needed = cost.min(burst * LARGE_REQUEST_LEVEL);
        if self.level >= needed {
            self.level -= cost;
            self.admitted += cost;
            return Ok(());
        }
        let wait_s = (needed - self.level) / rate.max(1.0);
        Err((wait_s * 1_000.0).min(60_000.0) as u64 + 1)
    }

    fn note_demand(&mut self, cost: f64, now_ms: u64) {
        self.demand = self.demand(now_ms) + cost * 1_000.0 / DEMAND_WINDOW_MS;
        self.demand_ms = now_ms;
    }

    fn demand(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.demand_ms) as f64;
        self.demand * (-age_ms / DEMAND_WINDOW_MS).exp()
    }
}

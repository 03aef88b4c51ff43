use {
    super::{
        LANES, OrderRefusal, OrderedRequest, PLAIN_LANE, PRIORITIES, TurnCounts, lane::Lane,
        split_rate, turn::Turn,
    },
    crate::policy::{
        QuotaAccount, QuotaLimit, QuotaWait, quota::account::LARGE_REQUEST_BURST_SHARE,
    },
    std::collections::HashMap,
};

/// Level, as a share of the burst, from which on a quota is not short even if more than its rate is
/// asked for. Below it, there is room for the units that lanes gather.
const PLENTY_BURST_SHARE: f64 = 0.65;
/// Level, as a share of the burst, that is kept in addition to the gathered units: for what lanes owe,
/// and for what other daemons admit before their notices arrive.
const CUSHION_BURST_SHARE: f64 = 0.25;
/// Share of the burst that a lane may owe for a request: that much of its cost need not be gathered
/// before it is admitted. Otherwise, a lane with few requests would admit none of them in time.
const OWED_BURST_SHARE: f64 = 0.1;
/// The most units that are assumed to be gathered at all daemons, as a share of the burst.
const GATHERED_BURST_SHARE: f64 = 0.45;
/// Time in which the level is brought back to the intended one, in seconds.
const SETTLE_S: f64 = 2.0;
/// The largest share of the rate by which lanes get more or less to bring the level back. A larger
/// change would move the times that turns were promised for too far.
const SETTLE_SHARE: f64 = 0.5;
/// The longest time for which the units of a lane may be promised in advance, in milliseconds. A
/// longer queue delays all requests and admits no more of them. The units of the new request itself
/// don't count, so that large requests get a turn as often as small ones.
const QUEUE_MS: f64 = 500.0;
/// The most turns that are kept for an account; they take about 70 bytes each.
const MAX_TURNS: usize = 1_024;
/// How often lapsed turns are looked for, in milliseconds.
const LAPSE_INTERVAL_MS: u64 = 10;
/// The least share that a daemon has in the rate, as a fraction of its part of the recent demand. Its
/// share in the account follows demand slowly. With the whole part, the shares of all daemons would
/// add up to more than the rate while demand moves between them.
const RECENT_SHARE: f64 = 0.6;
/// The longest time for which units are produced at once, in milliseconds. After a longer pause, the
/// rates of the lanes are out of date.
const MAX_ELAPSED_MS: u64 = 500;
/// How long a request that waits for the next notice at its turn has precedence, in milliseconds: in
/// this time, no request without a turn is admitted in lanes whose rate doesn't cover their demand.
const PRECEDENCE_MS: u64 = 100;
/// The longest retry time named to a client, in milliseconds.
const MAX_WAIT_MS: f64 = 60_000.0;

/// The order in which the requests of one client account get its quota at one hub while the quota
/// is short.
///
/// There is a lane for each priority, and one for plain calls. The hub's share of the rate is split
/// among the lanes ([`split_rate`]), and each lane gathers units at its part of the rate. A request
/// may be admitted if its lane has gathered its cost. Otherwise it gets a turn: the time at which the
/// lane will have gathered its cost after all earlier turns. Turns are kept by the fingerprint of the
/// request.
///
/// The order only decides which requests are offered to [`QuotaAccount`], which still decides whether
/// they are admitted. It isn't replicated: a new hub gives new turns.
#[derive(Clone, Debug)]
pub struct AccountOrder {
    lanes: [Lane; LANES],
    turns: HashMap<u64, Turn>,
    /// The demand at all daemons as last announced, in units per second.
    demand_at_all: f64,
    /// The fingerprint of a request that waits for the next notice at its turn, and until when it has
    /// precedence.
    precedence: Option<(u64, u64)>,
    updated_ms: u64,
    /// When lapsed turns were last looked for.
    looked_ms: u64,
    counts: TurnCounts,
}

impl AccountOrder {
    /// Creates an order without turns.
    pub fn new(now_ms: u64) -> Self {
        Self {
            lanes: [Lane::default(); LANES],
            turns: HashMap::new(),
            demand_at_all: 0.0,
            precedence: None,
            updated_ms: now_ms,
            looked_ms: now_ms,
            counts: TurnCounts::default(),
        }
    }

    /// Returns whether an account that is asked for more than its rate has too little left to admit
    /// requests as they arrive.
    pub fn is_short(account: &QuotaAccount, limit: &QuotaLimit) -> bool {
        account.level() < limit.burst * PLENTY_BURST_SHARE
    }

    /// Sets the demand at all daemons, in units per second.
    pub fn set_demand_at_all(&mut self, demand: f64) {
        self.demand_at_all = demand;
    }

    /// Records a request as demand of its lane, unless it is a repetition that has a turn.
    pub fn record_demand(&mut self, request: &OrderedRequest, is_plain: bool, now_ms: u64) {
        let turn = self.turns.get(&request.fingerprint);
        if turn.is_none_or(|t| t.is_lapsed(now_ms)) {
            self.lanes[lane_of(request, is_plain)].record_demand(request.cost, now_ms);
        }
    }

    /// Checks whether a request may be admitted: its turn has come, or its lane has gathered its
    /// cost. Otherwise, gives it a turn. `account` is up to date.
    ///
    /// # Errors
    ///
    /// Returns the turn of the request, or why it gets none.
    pub fn check(
        &mut self,
        request: &OrderedRequest,
        is_plain: bool,
        account: &QuotaAccount,
        limit: &QuotaLimit,
        now_ms: u64,
    ) -> Result<(), OrderRefusal> {
        self.advance(account, limit, now_ms);
        if let Some(checked) = self.check_turn(request, now_ms) {
            return checked;
        }
        let lane = lane_of(request, is_plain);
        let is_covered = self.lanes[lane].is_covered();
        let needed = request.cost.min(limit.burst * LARGE_REQUEST_BURST_SHARE);
        let units = (needed - limit.burst * OWED_BURST_SHARE).max(0.0);
        let has_gathered = self.precedence.is_none() && self.lanes[lane].has_gathered(units);
        if is_covered || has_gathered {
            return Ok(());
        }
        let wait_ms = self.lanes[lane].wait_ms(units);
        Err(self.give_turn(request, lane, wait_ms, now_ms))
    }

    /// Checks the turn of a request; `None` if it has none, or only a told time that is over.
    fn check_turn(
        &mut self,
        request: &OrderedRequest,
        now_ms: u64,
    ) -> Option<Result<(), OrderRefusal>> {
        let turn = self.turns.get(&request.fingerprint)?;
        if !turn.is_due(now_ms) {
            self.counts.early += 1;
            let wait_ms = turn.told_ms.saturating_sub(now_ms);
            return Some(Err(match turn.is_promised() {
                true => OrderRefusal::Turn(wait_ms),
                false => OrderRefusal::NoTurn(wait_ms),
            }));
        }
        if turn.is_promised() {
            return Some(Ok(()));
        }
        self.turns.remove(&request.fingerprint);
        None
    }

    /// Records that a request that passed [`AccountOrder::check`] is admitted.
    pub fn record_admitted(&mut self, request: &OrderedRequest, is_plain: bool) {
        self.precedence = self.precedence.filter(|f| f.0 != request.fingerprint);
        match self.turns.remove(&request.fingerprint) {
            Some(turn) => {
                self.lanes[turn.lane].promised -= turn.units;
                self.counts.kept += u64::from(turn.is_promised());
            }
            None => self.lanes[lane_of(request, is_plain)].backlog += request.cost,
        }
    }

    /// Takes units that were given back off the backlog of the lane of their request.
    pub fn give_back(&mut self, units: f64, priority: u8, is_plain: bool) {
        let lane = &mut self.lanes[lane_index(priority, is_plain)];
        lane.backlog -= units.min(lane.backlog.max(0.0));
    }

    /// Records that the quota does not admit a request that passed [`AccountOrder::check`], and
    /// returns what to tell it. It keeps its turn, or gets one at the time at which the quota is
    /// expected to suffice.
    pub fn record_delayed(
        &mut self,
        request: &OrderedRequest,
        is_plain: bool,
        wait: QuotaWait,
        now_ms: u64,
    ) -> OrderRefusal {
        let wait_ms = wait.retry_after_ms();
        if let Some(turn) = self.turns.get_mut(&request.fingerprint) {
            if wait == QuotaWait::NotYetDue && self.precedence.is_none() {
                self.precedence = Some((request.fingerprint, now_ms + PRECEDENCE_MS));
            }
            turn.due_ms = now_ms + wait_ms;
            turn.told_ms = turn.due_ms;
            self.counts.missed += u64::from(!turn.is_missed);
            turn.is_missed = true;
            return OrderRefusal::Missed(wait);
        }
        let lane = lane_of(request, is_plain);
        // Requests that are refused together get different times, by the backlog of their lane.
        let wait_ms = self.lanes[lane].wait_ms(0.0).max(wait_ms as f64);
        self.give_turn(request, lane, wait_ms, now_ms)
    }

    /// Forgets the turn of a request that was admitted without the order.
    pub fn forget(&mut self, fingerprint: u64) {
        if let Some(turn) = self.turns.remove(&fingerprint) {
            self.take_back(&turn);
        }
    }

    /// Returns the units that are kept for turns and for requests of other lanes to come.
    pub fn reserve(&self) -> f64 {
        self.lanes.iter().map(Lane::gathered).sum()
    }

    /// Returns the time until a request's turn, in milliseconds; none if it has no turn.
    pub fn turn_ms(&self, fingerprint: u64, now_ms: u64) -> Option<u64> {
        let turn = self.turns.get(&fingerprint).filter(|t| t.is_promised())?;
        Some(turn.due_ms.saturating_sub(now_ms))
    }

    /// Returns what became of the turns.
    pub fn counts(&self) -> TurnCounts {
        self.counts
    }

    /// Gives a turn after `wait_ms`, unless the lane's queue is too long or the client would not wait.
    fn give_turn(
        &mut self,
        request: &OrderedRequest,
        lane: usize,
        wait_ms: f64,
        now_ms: u64,
    ) -> OrderRefusal {
        let longest_ms = request.longest_wait_ms();
        let queue_ms = self.lanes[lane].wait_ms(0.0);
        let is_acceptable = queue_ms <= QUEUE_MS && wait_ms <= longest_ms;
        let is_given = is_acceptable && self.turns.len() < MAX_TURNS;
        let told_ms = now_ms + wait_ms.min(MAX_WAIT_MS) as u64 + 1;
        let mut turn = Turn {
            lane,
            units: request.cost,
            due_ms: told_ms,
            told_ms,
            is_missed: false,
        };
        if !is_given {
            // The time that it was told is kept until its longest wait is over; then it counts as new.
            turn.units = 0.0;
            turn.due_ms = told_ms.min(now_ms + longest_ms as u64);
            if self.turns.len() < MAX_TURNS / 2 {
                self.turns.insert(request.fingerprint, turn);
            }
            return OrderRefusal::NoTurn(told_ms - now_ms);
        }
        self.turns.insert(request.fingerprint, turn);
        self.lanes[lane].backlog += request.cost;
        self.lanes[lane].promised += request.cost;
        self.counts.given += 1;
        OrderRefusal::Turn(told_ms - now_ms)
    }

    /// Produces units since the last time, takes back lapsed turns, and splits the rate anew.
    fn advance(&mut self, account: &QuotaAccount, limit: &QuotaLimit, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms).min(MAX_ELAPSED_MS);
        self.updated_ms = now_ms.max(self.updated_ms);
        self.precedence = self.precedence.filter(|f| f.1 > now_ms);
        for lane in &mut self.lanes {
            lane.produce(elapsed_ms as f64);
        }
        if now_ms >= self.looked_ms + LAPSE_INTERVAL_MS {
            self.looked_ms = now_ms;
            self.take_back_lapsed(now_ms);
        }
        let rate = self.own_rate(account, limit, now_ms);
        // Promised units count as demand, even if no more requests arrive.
        let demand = self.lanes.map(|l| l.demand(now_ms).max(l.backlog));
        let parts = split_rate(rate, &demand).into_iter().zip(demand);
        for (lane, (part, demand)) in self.lanes.iter_mut().zip(parts) {
            lane.set_rate(part, demand);
        }
    }

    /// Returns the rate for the lanes of this daemon, in units per second: its share of the account's
    /// rate, and more or less if the level is above or below the intended one.
    fn own_rate(&self, account: &QuotaAccount, limit: &QuotaLimit, now_ms: u64) -> f64 {
        let asked: f64 = self.lanes.iter().map(|l| l.demand(now_ms)).sum();
        let share = asked / self.demand_at_all.max(asked).max(f64::MIN_POSITIVE);
        let share = (share * RECENT_SHARE).max(account.own_share());
        // Other daemons are assumed to have gathered as much in proportion to their shares.
        let gathered = self.reserve() / share.max(f64::MIN_POSITIVE);
        let gathered = gathered.min(limit.burst * GATHERED_BURST_SHARE);
        let intended = gathered + limit.burst * CUSHION_BURST_SHARE;
        let excess = (account.level() - intended) / (limit.rate * SETTLE_S).max(f64::MIN_POSITIVE);
        share * limit.rate * (1.0 + excess.clamp(-SETTLE_SHARE, SETTLE_SHARE))
    }

    /// Removes turns that were not used in time.
    fn take_back_lapsed(&mut self, now_ms: u64) {
        let lapsed = self.turns.extract_if(|_, turn| turn.is_lapsed(now_ms));
        let lapsed: Vec<Turn> = lapsed.map(|(_, turn)| turn).collect();
        for turn in &lapsed {
            self.take_back(turn);
            self.counts.lapsed += u64::from(turn.is_promised());
        }
    }

    /// Returns the units of an unused turn to its lane.
    fn take_back(&mut self, turn: &Turn) {
        let lane = &mut self.lanes[turn.lane];
        lane.promised -= turn.units;
        lane.backlog -= turn.units;
    }
}

fn lane_of(request: &OrderedRequest, is_plain: bool) -> usize {
    lane_index(request.priority, is_plain)
}

fn lane_index(priority: u8, is_plain: bool) -> usize {
    match is_plain {
        true => PLAIN_LANE,
        false => PLAIN_LANE + 1 + usize::from(priority).min(PRIORITIES - 1),
    }
}

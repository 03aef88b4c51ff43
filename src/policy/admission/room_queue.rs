use {
    super::{
        AssuredShares, Room, RoomForecast, RoomJoin, RoomLane, RoomOutcome, RoomRefusal,
        ShareClaim, WaitingRequest,
    },
    crate::names::ClientAccount,
    std::collections::{BTreeMap, VecDeque},
};

/// The most requests that wait at once. Each takes about a kilobyte with the query that it arrived
/// with, so the queue stays within a small part of a daemon's memory.
const MAX_WAITING: usize = 1_000;
/// The longest forecast time until all requests have begun, in milliseconds. Few clients wait for
/// longer, and a longer forecast is unreliable.
const MAX_QUEUED_MS: f64 = 20_000.0;
/// Interval at which the forecast is computed to refuse requests that wait, in milliseconds.
const FORECAST_INTERVAL_MS: u64 = 50;
/// Share of the work that is assured to the accounts that wait, in equal parts. The other half
/// goes by [`WaitingRequest::rank`] alone, so that one account's requests with little time left can
/// pass another's with much.
const ACCOUNTS_SHARE: f64 = 0.5;

/// The requests of one service that wait at one hub until an upstream can soon begin with them.
///
/// Requests wait while the load exceeds the capacity for some time, as in a burst or after the
/// reclaim of many upstreams. Those that can still be in time go first, by priority, then by the
/// time left until they have to be sent. Each lower lane and each account is assured a share of the
/// released work.
#[derive(Clone, Debug, Default)]
pub struct RoomQueue {
    waiting: BTreeMap<u64, WaitingRequest>,
    last_ticket: u64,
    lanes: AssuredShares<RoomLane>,
    accounts: AssuredShares<ClientAccount>,
    /// Work of the requests that were released but are not placed yet, by ticket.
    unplaced: BTreeMap<u64, f64>,
    /// When requests were released since the newest reported loads, and their work.
    recent: VecDeque<(u64, f64)>,
    /// When the forecast was last computed to refuse requests.
    forecast_ms: u64,
    /// The room when an upstream was last usable.
    last_usable_room: Option<Room>,
    /// Since when no upstream is usable; `None` while one is.
    unusable_since_ms: Option<u64>,
}

impl RoomQueue {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many requests of each priority wait.
    pub fn by_priority(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for request in self.waiting.values() {
            *counts.entry(request.priority).or_default() += 1;
        }
        counts
    }

    /// Lets a request wait, unless the forecast says that it can't begin before it is given up.
    /// If the queue is full, the last request in the order of service is refused: here if it is the
    /// new one, else by the next [`RoomQueue::release`].
    pub fn join(&mut self, request: WaitingRequest, room: &Room, now_ms: u64) -> RoomJoin {
        self.observe(room, now_ms);
        let room = &self.known_room(room);
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.insert(ticket, request.clone());
        let forecast = RoomForecast::new(&self.waiting, &self.lane_claims(now_ms), room, now_ms);
        let wait_ms = forecast.wait_ms(ticket);
        let begins_in_time = request.begins_in_time(wait_ms, now_ms);
        let is_last = is_too_long(&forecast) && forecast.last() == Some(ticket);
        if begins_in_time && !is_last {
            return RoomJoin::Waits(ticket);
        }
        self.waiting.remove(&ticket);
        RoomJoin::Refused(RoomRefusal {
            retry_after_ms: to_ms(wait_ms),
            is_full: begins_in_time,
        })
    }

    /// Takes out the requests for which there is room now, and those that can't begin before
    /// they are given up. While no upstream is usable, requests go on waiting for up to
    /// [`Room::bound_ms`]; then all are released, and fail as any request to a service without
    /// upstreams does.
    pub fn release(&mut self, room: &Room, now_ms: u64) -> RoomOutcome {
        self.observe(room, now_ms);
        let since_ms = self.unusable_since_ms;
        if since_ms.is_some_and(|since| now_ms > since + room.bound_ms as u64) {
            return self.let_all_go(now_ms);
        }
        let room = &self.known_room(room);
        self.drop_reported(room, now_ms);
        let mut outcome = RoomOutcome::default();
        while self.has_room(room) {
            let Some(released) = self.release_next(now_ms) else {
                break;
            };
            outcome.released.push(released);
        }
        let is_due = now_ms >= self.forecast_ms + FORECAST_INTERVAL_MS;
        if is_due || self.waiting.len() > MAX_WAITING {
            self.forecast_ms = now_ms;
            outcome.refused = self.refuse_hopeless(room, now_ms);
        }
        outcome
    }

    /// Releases all requests in the order of service, whatever room there is.
    pub fn let_all_go(&mut self, now_ms: u64) -> RoomOutcome {
        RoomOutcome {
            released: std::iter::from_fn(|| self.release_next(now_ms)).collect(),
            refused: Vec::new(),
        }
    }

    /// Removes a request that no longer waits, or whose work the load of its upstream now includes.
    pub fn leave(&mut self, ticket: u64) {
        self.waiting.remove(&ticket);
        self.unplaced.remove(&ticket);
    }

    /// Drops recent releases that the reported loads of the other hubs already allow for.
    fn drop_reported(&mut self, room: &Room, now_ms: u64) {
        while self
            .recent
            .front()
            .is_some_and(|(at_ms, _)| now_ms > at_ms + room.loads_age_ms)
        {
            self.recent.pop_front();
        }
    }

    /// Returns whether the upstreams have room for one more request after those that are released
    /// but not placed yet, and whether this hub has sent less than its part since the other hubs
    /// reported their loads. The second condition keeps all hubs together within the room.
    fn has_room(&self, room: &Room) -> bool {
        let unplaced: f64 = self.unplaced.values().sum();
        let recent: f64 = self.recent.iter().map(|(_, work)| work).sum();
        unplaced < room.work_ms
            && (self.unplaced.len() as f64) < room.slots
            && room.allows_more(recent, self.recent.len())
    }

    /// Records since when no upstream is usable, or else the room that there is.
    fn observe(&mut self, room: &Room, now_ms: u64) {
        if room.upstreams == 0 {
            self.unusable_since_ms.get_or_insert(now_ms);
        } else {
            self.unusable_since_ms = None;
            self.last_usable_room = Some(*room);
        }
    }

    /// Returns the room for forecasts. While no upstream is usable, no room is free, but the rates
    /// are those from before: usable upstreams are expected again soon.
    fn known_room(&self, room: &Room) -> Room {
        match self.last_usable_room {
            Some(usable) if room.upstreams == 0 => Room {
                work_ms: 0.0,
                slots: 0.0,
                ..usable
            },
            _ => *room,
        }
    }

    /// Takes out the request that goes next. Returns its ticket, and how long it waited in
    /// milliseconds.
    fn release_next(&mut self, now_ms: u64) -> Option<(u64, u64)> {
        let ticket = self.next(now_ms)?;
        let request = self.waiting.remove(&ticket)?;
        let work_ms = request.counted_work_ms();
        self.unplaced.insert(ticket, work_ms);
        self.recent.push_back((now_ms, work_ms));
        Some((ticket, now_ms.saturating_sub(request.arrived_ms)))
    }

    /// Returns the ticket of the request that goes next, and records its work for the assured
    /// shares.
    fn next(&mut self, now_ms: u64) -> Option<u64> {
        let lane_claims = self.lane_claims(now_ms);
        let first = lane_claims.first()?.key;
        let lane = self.lanes.due(&lane_claims).copied().unwrap_or(first);
        let account_claims = self.account_claims(lane, now_ms);
        let account = self.accounts.due(&account_claims);
        let inside = self.waiting.iter().filter(|(_, r)| r.lane(now_ms) == lane);
        let eligible = inside.filter(|(_, r)| account.is_none_or(|a| r.account == *a));
        let (ticket, request) = eligible.min_by_key(|(ticket, r)| (r.rank(lane), **ticket))?;
        let (ticket, work_ms) = (*ticket, request.counted_work_ms());
        let account = request.account.clone();
        self.lanes.record(&lane, work_ms, &lane_claims);
        self.accounts.record(&account, work_ms, &account_claims);
        Some(ticket)
    }

    /// Returns the claims of the lanes in which requests wait, the first lane first.
    fn lane_claims(&self, now_ms: u64) -> Vec<ShareClaim<RoomLane>> {
        let mut next: BTreeMap<RoomLane, RankedWork> = BTreeMap::new();
        for request in self.waiting.values() {
            let lane = request.lane(now_ms);
            let own = (request.rank(lane), request.counted_work_ms());
            keep_lowest(&mut next, lane, own);
        }
        let lanes: Vec<RoomLane> = next.keys().copied().collect();
        let claim = |(lane, (_, next_work_ms)): (RoomLane, RankedWork)| ShareClaim {
            key: lane,
            share: lane_share(&lanes, lane),
            next_work_ms,
        };
        next.into_iter().map(claim).collect()
    }

    /// Returns the claims of the accounts that wait in any lane, each with its next request in
    /// `lane`. An account without one there claims infinite work, so that it is never due.
    fn account_claims(&self, lane: RoomLane, now_ms: u64) -> Vec<ShareClaim<ClientAccount>> {
        let mut next: BTreeMap<&ClientAccount, RankedWork> = BTreeMap::new();
        for request in self.waiting.values() {
            let own = match request.lane(now_ms) == lane {
                true => (request.rank(lane), request.counted_work_ms()),
                false => (u64::MAX, f64::INFINITY),
            };
            keep_lowest(&mut next, &request.account, own);
        }
        let share = ACCOUNTS_SHARE / next.len().max(1) as f64;
        let claim = |(account, (_, next_work_ms)): (&ClientAccount, RankedWork)| ShareClaim {
            key: account.clone(),
            share,
            next_work_ms,
        };
        next.into_iter().map(claim).collect()
    }

    /// Takes out the requests that can't begin before they are given up, and those that make the
    /// queue too long.
    fn refuse_hopeless(&mut self, room: &Room, now_ms: u64) -> Vec<(u64, RoomRefusal)> {
        let mut refused = Vec::new();
        if self.waiting.is_empty() {
            return refused;
        }
        let mut forecast =
            RoomForecast::new(&self.waiting, &self.lane_claims(now_ms), room, now_ms);
        let waits: Vec<(u64, f64)> = forecast.waits().collect();
        // From the last to the first: a refusal doesn't change the wait of the requests before it.
        for (ticket, wait_ms) in waits.into_iter().rev() {
            let request = &self.waiting[&ticket];
            let begins_in_time = request.begins_in_time(wait_ms, now_ms);
            if begins_in_time && !is_too_long(&forecast) {
                continue;
            }
            if begins_in_time {
                forecast.remove(request);
            }
            self.waiting.remove(&ticket);
            let refusal = RoomRefusal {
                retry_after_ms: to_ms(wait_ms),
                is_full: begins_in_time,
            };
            refused.push((ticket, refusal));
        }
        refused
    }
}

/// The rank of a request and its work in milliseconds.
type RankedWork = (u64, f64);

/// Keeps the request with the lowest rank for each key.
fn keep_lowest<K: Ord>(next: &mut BTreeMap<K, RankedWork>, key: K, own: RankedWork) {
    let best = next.entry(key).or_insert(own);
    if own.0 < best.0 {
        *best = own;
    }
}

/// Returns whether more requests wait, or for longer, than the queue may hold.
fn is_too_long(forecast: &RoomForecast) -> bool {
    forecast.len() > MAX_WAITING || forecast.total_ms() > MAX_QUEUED_MS
}

/// Returns the share of the work that is assured to a lane. The first of `lanes` is assured of
/// nothing: it gets what the others leave.
///
/// Lanes with a more urgent priority than the first lane's hold late requests. Each of them gets an
/// equal part with the first lane, so that no priority is served less than one below it. The other
/// lanes, in the order of priority, get an eighth of such a part, then half of the lane before.
fn lane_share(lanes: &[RoomLane], lane: RoomLane) -> f64 {
    let Some(first) = lanes.first().filter(|first| **first != lane) else {
        return 0.0;
    };
    let is_urgent = |l: &RoomLane| l.priority < first.priority;
    let parts = 1.0 + lanes.iter().filter(|l| is_urgent(l)).count() as f64;
    if is_urgent(&lane) {
        return 1.0 / parts;
    }
    let key = |l: &RoomLane| (l.priority, l.is_late);
    let others = lanes.iter().filter(|l| *l != first && !is_urgent(l));
    let before = others.filter(|l| key(l) < key(&lane)).count();
    0.5_f64.powi(before as i32) / 8.0 / parts
}

fn to_ms(wait_ms: f64) -> u64 {
    wait_ms.clamp(0.0, MAX_QUEUED_MS).ceil() as u64
}

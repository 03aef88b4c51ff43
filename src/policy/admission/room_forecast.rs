use {
    super::{Room, RoomLane, ShareClaim, WaitingRequest},
    std::collections::BTreeMap,
};

/// Forecasts when each request of a queue begins: from the work that goes before it, and the rate at
/// which the upstreams do work. Requests that would begin only after they are given up use no work.
#[derive(Clone, Debug)]
pub struct RoomForecast {
    /// Tickets in the order of service, with the time until each begins in milliseconds.
    waits: Vec<(u64, f64)>,
    /// The requests that begin before they are given up.
    queued: QueuedWork,
    work_per_ms: f64,
    requests_per_ms: f64,
}

/// The number of some requests that wait, and their work in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedWork {
    work_ms: f64,
    requests: usize,
}

impl QueuedWork {
    fn add(&mut self, request: &WaitingRequest) {
        self.work_ms += request.counted_work_ms();
        self.requests += 1;
    }

    fn remove(&mut self, request: &WaitingRequest) {
        self.work_ms -= request.counted_work_ms();
        self.requests -= 1;
    }
}

/// A lane while the forecast goes through its requests.
#[derive(Debug)]
struct LaneProgress {
    is_first: bool,
    /// The share of the work that the lane gets in any case.
    share: f64,
    /// The requests of the lane that begin, as far as the forecast has come.
    queued: QueuedWork,
}

impl LaneProgress {
    /// Starts with `lane` of `lanes`, of which the first gets what is not assured to the others.
    fn new(lanes: &[ShareClaim<RoomLane>], lane: RoomLane) -> Self {
        let is_first = lanes.first().is_some_and(|l| l.key == lane);
        let assured: f64 = lanes.iter().map(|l| l.share).sum();
        let share = match lanes.iter().find(|l| l.key == lane) {
            Some(_) if is_first => 1.0 - assured,
            Some(claim) => claim.share,
            None => 0.0,
        };
        Self {
            is_first,
            share,
            queued: QueuedWork::default(),
        }
    }
}

impl RoomForecast {
    /// Computes the forecast for all requests that wait. `lanes` are the lanes in which they wait,
    /// with their assured shares.
    pub fn new(
        waiting: &BTreeMap<u64, WaitingRequest>,
        lanes: &[ShareClaim<RoomLane>],
        room: &Room,
        now_ms: u64,
    ) -> Self {
        let mut forecast = Self {
            waits: Vec::with_capacity(waiting.len()),
            queued: QueuedWork::default(),
            // Without upstreams, the rates are 0; the minimum keeps the divisions defined.
            work_per_ms: room.own_work_per_ms().max(f64::MIN_POSITIVE),
            requests_per_ms: (room.requests_per_ms * room.own_share).max(f64::MIN_POSITIVE),
        };
        let mut all = QueuedWork::default();
        waiting.values().for_each(|r| all.add(r));
        let total_ms = forecast.duration_ms(&all);
        let order = service_order(waiting, now_ms);
        for lane_order in order.chunk_by(|a, b| a.0 == b.0) {
            let mut progress = LaneProgress::new(lanes, lane_order[0].0);
            for (_, _, ticket) in lane_order {
                let request = &waiting[ticket];
                let wait_ms = forecast.wait_of_next(request, &progress, total_ms);
                forecast.waits.push((*ticket, wait_ms));
                if request.begins_in_time(wait_ms, now_ms) {
                    forecast.queued.add(request);
                    progress.queued.add(request);
                }
            }
        }
        forecast
    }

    /// Returns the time until the next request of a lane begins, in milliseconds. `total_ms` is the
    /// time for all requests that wait.
    fn wait_of_next(&self, request: &WaitingRequest, lane: &LaneProgress, total_ms: f64) -> f64 {
        let share = lane.share.max(f64::MIN_POSITIVE);
        let by_share = self.duration_ms(&lane.queued) / share;
        if lane.is_first {
            return by_share.min(total_ms);
        }
        // A lower lane is served once all requests before it have begun, or earlier by its share.
        let by_order = self.duration_ms(&self.queued);
        if by_order <= by_share {
            return by_order;
        }
        // By its share, the lane first has to earn the work of the request itself.
        let mut own = QueuedWork::default();
        own.add(request);
        let earn_ms = self.duration_ms(&own) / share;
        by_share.max(earn_ms.min(by_order))
    }

    /// Returns the time until a request begins, in milliseconds.
    pub fn wait_ms(&self, ticket: u64) -> f64 {
        let found = self.waits.iter().find(|(t, _)| *t == ticket);
        found.map_or(f64::INFINITY, |(_, wait_ms)| *wait_ms)
    }

    /// Returns the requests in the order of service, with the time until each begins.
    pub fn waits(&self) -> impl DoubleEndedIterator<Item = (u64, f64)> + '_ {
        self.waits.iter().copied()
    }

    /// Returns the ticket of the request that goes last.
    pub fn last(&self) -> Option<u64> {
        self.waits.last().map(|(ticket, _)| *ticket)
    }

    /// Returns the time until all requests that begin have begun, in milliseconds.
    pub fn total_ms(&self) -> f64 {
        self.duration_ms(&self.queued)
    }

    /// Returns the number of requests that begin before they are given up.
    pub fn len(&self) -> usize {
        self.queued.requests
    }

    /// Returns whether no request begins before it is given up.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes out the work of a request that is refused though it would have begun.
    pub fn remove(&mut self, request: &WaitingRequest) {
        self.queued.remove(request);
    }

    /// Returns the time in which the upstreams do this work and finish as many requests.
    fn duration_ms(&self, queued: &QueuedWork) -> f64 {
        let reading_ms = queued.work_ms / self.work_per_ms;
        reading_ms.max(queued.requests as f64 / self.requests_per_ms)
    }
}

/// Returns lane, rank and ticket of each request, in the order of service.
fn service_order(
    waiting: &BTreeMap<u64, WaitingRequest>,
    now_ms: u64,
) -> Vec<(RoomLane, u64, u64)> {
    let keys = waiting.iter().map(|(ticket, request)| {
        let lane = request.lane(now_ms);
        (lane, request.rank(lane), *ticket)
    });
    let mut order: Vec<_> = keys.collect();
    order.sort_unstable();
    order
}

use crate::policy::{Candidate, EngineTimes};

/// Share of the smallest target latency of a service that a request may wait behind others at
/// an upstream. The rest is for its own prompt and for the network.
const BOUND_SHARE: f64 = 0.25;

/// The work and requests that the upstreams of a service can take now, as one hub estimates it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Number of usable upstreams.
    pub upstreams: usize,
    /// The time that a request waits behind others at the upstream with the least work, in
    /// milliseconds; infinity without upstreams.
    pub least_backlog_ms: f64,
    /// The longest time that a request may wait behind others at an upstream, in milliseconds. If it
    /// would wait longer, it waits at the hub instead.
    pub bound_ms: f64,
    /// Work that upstreams can take up to the bound, in milliseconds of an upstream of the usual
    /// speed.
    pub work_ms: f64,
    /// Work that the upstreams do in a millisecond: the sum of their speeds, 1 for a usual one.
    pub work_per_ms: f64,
    /// Number of requests that upstreams can take up to the bound.
    pub slots: f64,
    /// Requests that the upstreams finish in a millisecond at most.
    pub requests_per_ms: f64,
    /// This hub's share of the room, from 0 to 1.
    pub own_share: f64,
    /// Age of what is known of the other hubs' requests, in milliseconds.
    pub loads_age_ms: u64,
}

impl Room {
    /// Returns the bound on the wait behind others for a service with this smallest target latency.
    /// The age of the loads is added, since upstreams have worked since the loads were reported.
    pub fn bound_ms(smallest_target_ms: u64, loads_age_ms: u64) -> f64 {
        smallest_target_ms as f64 * BOUND_SHARE + loads_age_ms as f64
    }

    /// Adds up the room at a service's upstreams. `unread_ms` holds, for each candidate, the time for
    /// reading the prompts that wait there. Avoided upstreams count only if there are no others.
    pub fn of(
        candidates: &[Candidate],
        unread_ms: &[f64],
        times: &EngineTimes,
        bound_ms: f64,
    ) -> Self {
        let mut room = Self {
            least_backlog_ms: f64::INFINITY,
            bound_ms,
            own_share: 1.0,
            ..Self::default()
        };
        let any_preferred = candidates.iter().any(|c| !c.tried && !c.avoided);
        for (candidate, unread_ms) in candidates.iter().zip(unread_ms) {
            if candidate.tried || (candidate.avoided && any_preferred) {
                continue;
            }
            let slots = f64::from(candidate.slots.max(1));
            let factor = candidate.time_factor;
            let slots_per_ms = slots / (times.stay_ms.max(1.0) * factor);
            let backlog_ms = unread_ms + candidate.slot_wait_ms(times) * factor;
            room.upstreams += 1;
            room.work_per_ms += 1.0 / factor;
            room.least_backlog_ms = room.least_backlog_ms.min(backlog_ms);
            room.requests_per_ms += slots_per_ms;
            if backlog_ms < bound_ms {
                room.work_ms += (bound_ms - backlog_ms) / factor;
                let free = slots - f64::from(candidate.active) + bound_ms * slots_per_ms;
                room.slots += free.max(1.0);
            }
        }
        room
    }

    /// Sets this hub's share of the room, and the age of the other hubs' loads. The share is that of
    /// the hub's own requests among `all` at the upstreams, but at least an even part.
    pub fn among_hubs(self, own: u32, all: u32, hubs: usize, loads_age_ms: u64) -> Self {
        let even = 1.0 / hubs.max(1) as f64;
        // A hub may have few requests at the upstreams only because it could send none lately.
        let share = (f64::from(own) / f64::from(all.max(1))).clamp(even, 1.0);
        Self {
            own_share: share,
            loads_age_ms,
            ..self
        }
    }

    /// Returns whether a request would wait for less than the bound at some upstream.
    pub fn is_open(&self) -> bool {
        self.least_backlog_ms < self.bound_ms
    }

    /// Returns the work that the upstreams do for this hub in a millisecond.
    pub(super) fn own_work_per_ms(&self) -> f64 {
        self.work_per_ms * self.own_share
    }

    /// Returns whether this hub has sent less than its share since the other hubs reported their
    /// loads: its share of the room that there was, and of what the upstreams have done since.
    pub(super) fn allows_more(&self, sent_ms: f64, sent: usize) -> bool {
        let age_ms = self.loads_age_ms as f64;
        let sent = sent as f64;
        let work_ms = self.work_ms + sent_ms + self.work_per_ms * age_ms;
        let slots = self.slots + sent + self.requests_per_ms * age_ms;
        sent_ms < self.own_share * work_ms && sent < self.own_share * slots
    }
}

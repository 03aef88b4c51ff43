use crate::{
    names::ServiceName,
    policy::{Candidate, EngineTimes, in_time_bound_ms, least_cost_ms},
};

/// The free room for a service at the upstreams of one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainRoom {
    /// The service.
    pub service: ServiceName,
    /// The work that the upstreams can take and still begin in time, in milliseconds of an upstream
    /// of usual speed.
    pub work_ms: f64,
    /// The least time to the first event at an upstream there, in milliseconds, for a request whose
    /// prompt is empty.
    pub best_ms: f64,
}

impl DomainRoom {
    /// Adds up the room at the upstreams of a domain for requests with this target latency; `None` if no
    /// upstream is usable. The candidates have to be those of a request whose prompt is empty.
    pub fn of<'a>(
        service: ServiceName,
        candidates: impl Iterator<Item = &'a Candidate> + Clone,
        times: &EngineTimes,
        target_ms: f64,
    ) -> Option<Self> {
        let best_ms = least_cost_ms(candidates.clone(), times, target_ms);
        if best_ms.is_infinite() {
            return None;
        }
        let bound_ms = in_time_bound_ms(target_ms);
        let usable = candidates.filter(|c| !c.tried && !c.avoided);
        let rooms = usable.map(|c| {
            let left_ms = bound_ms - c.cost_ms(times, target_ms);
            left_ms.max(0.0) / c.time_factor
        });
        Some(Self {
            service,
            work_ms: rooms.sum(),
            best_ms,
        })
    }
}

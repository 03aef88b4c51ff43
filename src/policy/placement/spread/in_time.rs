use crate::policy::{Candidate, EngineTimes};

/// The part of the target latency within which the first event is to be expected for a request to count
/// as in time. The rest is for load that a hub doesn't know of yet.
const IN_TIME_SHARE: f64 = 0.25;

/// Returns the estimated time to the first event, in milliseconds, up to which a request counts as
/// in time.
pub fn in_time_bound_ms(target_ms: f64) -> f64 {
    target_ms * IN_TIME_SHARE
}

/// Returns the least cost of a request among the usable candidates, in milliseconds; infinity if
/// there are none.
pub fn least_cost_ms<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    times: &EngineTimes,
    target_ms: f64,
) -> f64 {
    let usable = candidates.filter(|c| !c.tried && !c.avoided);
    let costs = usable.map(|c| c.cost_ms(times, target_ms));
    costs.fold(f64::INFINITY, f64::min)
}

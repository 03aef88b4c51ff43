use std::time::Duration;

/// Number of writes to the shared log of origins per second, of all hubs together: a part of what the store
/// takes.
const MAX_WRITES_PER_S: f64 = 100.0;
/// Lower bound of the interval, in which one hub's streams share a write.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Upper bound of the interval. Streams that were not written are unknown after a loss of all daemons.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the interval between two writes of a hub to the shared log of origins. Answers the loss of all
/// daemons while several software versions serve: the fewer hubs write, the sooner each may.
pub fn origin_write_interval(hubs: usize) -> Duration {
    let shared = Duration::from_secs_f64(hubs as f64 / MAX_WRITES_PER_S);
    shared.clamp(MIN_INTERVAL, MAX_INTERVAL)
}

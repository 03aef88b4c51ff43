//! What a daemon learns about model engines: how fast they prefill prompts, how long requests
//! stay, how fast each upstream is compared with its service, and which prompt parts are cached.

mod engine_model;
mod engine_times;
mod first_event;
mod fixed_time;
mod known_speed;
mod prefill_speed;
mod prefix_cache_tracker;
mod received_speeds;
mod recent_samples;
mod speed_change;
mod speed_estimate;
mod speed_sample;
mod upstream_speeds;

pub use {
    engine_model::*, engine_times::*, first_event::*, known_speed::*, prefill_speed::*,
    prefix_cache_tracker::*, speed_change::*, speed_estimate::*, speed_sample::*,
    upstream_speeds::*,
};
use {fixed_time::*, received_speeds::*, recent_samples::*};

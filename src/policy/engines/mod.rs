//! What a daemon learns about model engines: how fast they prefill prompts, how long requests
//! stay, and which prompt parts they have cached.

mod engine_model;
mod engine_times;
mod first_event;
mod prefix_cache_tracker;
mod prefill_speed;

pub use {
    engine_model::*, engine_times::*, first_event::*, prefix_cache_tracker::*, prefill_speed::*,
};

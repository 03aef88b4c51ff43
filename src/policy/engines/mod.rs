//! What a daemon learns about model engines: how fast they prefill prompts, how long requests
//! stay, and which prompt parts they have cached.

mod engine_model;
mod engine_times;
mod first_event;
mod prefill_speed;
mod prefix_cache_tracker;

pub use {
    engine_model::*, engine_times::*, first_event::*, prefill_speed::*, prefix_cache_tracker::*,
};

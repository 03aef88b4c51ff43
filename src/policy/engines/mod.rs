//! What a daemon learns about model engines: how fast they read prompts, how long requests
//! stay, and which prompt parts they have cached.

mod prefix_cache_tracker;
mod engine_model;
mod engine_times;
mod first_event;
mod reading_speed;

pub use {prefix_cache_tracker::*, engine_model::*, engine_times::*, first_event::*, reading_speed::*};

//! What is learned of engines: how fast they read, how long requests stay, what they keep.

mod cache_memory;
mod engine_model;
mod engine_times;
mod first_event;
mod reading_speed;

pub use {cache_memory::*, engine_model::*, engine_times::*, first_event::*, reading_speed::*};

//! What one daemon does at a time for all.

mod duty_backends;
mod duty_runner;
mod fleet_scaler;

pub use {duty_backends::*, duty_runner::*, fleet_scaler::*};

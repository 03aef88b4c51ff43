//! What one daemon does at a time for all.

mod duty_borders;
mod duty_runner;
mod fleet_scaler;

pub use {duty_borders::*, duty_runner::*, fleet_scaler::*};

//! Duties that one daemon at a time performs for all daemons.

mod duty_backends;
mod duty_runner;
mod fleet_scaler;

pub use {duty_backends::*, duty_runner::*, fleet_scaler::*};

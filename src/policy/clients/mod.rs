//! When connections of clients are closed, and what a daemon that stops still
//! takes.

mod activity;
mod stop_schedule;

pub use {activity::*, stop_schedule::*};

//! When connections of clients are closed, and what a daemon that stops still
//! takes.

mod activity;
mod stop_times;

pub use {activity::*, stop_times::*};

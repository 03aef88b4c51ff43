//! Closing of client connections, and the requests that a stopping daemon still
//! accepts.

mod activity;
mod stop_schedule;

pub use {activity::*, stop_schedule::*};

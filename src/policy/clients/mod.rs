//! Closing of client connections, connections that an overloaded daemon does not serve, the requests that a stopping daemon still
//! accepts, and the memory for clients that read slowly.

mod activity;
mod added;
mod buffer_budget;
mod connection_shedder;
mod held_for;
mod stop_schedule;

pub use {
    activity::*, added::*, buffer_budget::*, connection_shedder::*, held_for::*, stop_schedule::*,
};

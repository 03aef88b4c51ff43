//! What the stand-ins share: a small HTTP server that can misbehave.

mod faults;
mod reply;
mod server;

pub use {faults::*, reply::*, server::*};

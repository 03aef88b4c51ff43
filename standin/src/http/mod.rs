//! HTTP server with fault injection, shared by the stand-ins.

mod faults;
mod reply;
mod server;

pub use {faults::*, reply::*, server::*};

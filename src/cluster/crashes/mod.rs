//! Requests under which upstreams crash: announced to all daemons, and stored on the
//! platform.

mod crash_announcer;
mod crashes_part;
mod quarantine_sync;

pub(super) use crash_announcer::*;
pub use {crashes_part::*, quarantine_sync::*};

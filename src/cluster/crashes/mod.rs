//! Requests under which upstreams end: told to all, and kept on the platform.

mod crash_teller;
mod crashes_part;
mod quarantine_keeper;

pub(super) use crash_teller::*;
pub use {crashes_part::*, quarantine_keeper::*};

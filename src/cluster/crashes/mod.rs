//! Requests, and parts of prompts, under which upstreams crash: announced to all daemons, and stored on the
//! platform.

mod crash_announcer;
mod crashes_part;
mod part_crash_announcer;
mod part_crashes_part;
mod quarantine_sync;

pub(super) use crash_announcer::*;
use part_crash_announcer::{announce_held_parts, announce_part_changes};
pub use {crashes_part::*, part_crashes_part::*, quarantine_sync::*};

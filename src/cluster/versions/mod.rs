//! Roll-outs of new versions: answers by version, and who leads.

mod rollout_duty;
mod versions_announcer;
mod versions_part;

pub(super) use versions_announcer::*;
pub use {rollout_duty::*, versions_part::*};

//! Rollouts of new versions: answer counts by version, and the duty that leads the rollouts.

mod rollout_duty;
mod versions_announcer;
mod versions_part;

pub(super) use versions_announcer::*;
pub use {rollout_duty::*, versions_part::*};

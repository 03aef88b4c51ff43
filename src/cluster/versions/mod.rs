//! Roll-outs of new versions: answers by version, and who leads.

mod rollout_duty;
mod versions_part;
mod versions_teller;

pub(super) use versions_teller::*;
pub use {rollout_duty::*, versions_part::*};

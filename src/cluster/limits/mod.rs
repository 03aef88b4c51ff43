//! Bounds that upstreams name: their announcement to all daemons, and the permits and slots that
//! enforce them.

mod issuer_client;
mod limit_announcer;
mod limits_part;
mod permit_answers;
mod permit_query;
mod slot_answers;
mod slot_query;
mod slot_releaser;

pub use {issuer_client::*, limits_part::*, permit_query::*, slot_query::*};
pub(super) use {limit_announcer::*, permit_answers::*, slot_answers::*, slot_releaser::*};

//! Rate limits that upstreams name: their announcement to all daemons, and permits that enforce them.

mod limit_announcer;
mod limits_part;
mod permit_answers;
mod permit_client;
mod permit_query;

pub(super) use {limit_announcer::*, permit_answers::*};
pub use {limits_part::*, permit_client::*, permit_query::*};

//! Ranking of the daemons of a failure domain, by which they agree on their hubs, and the
//! backoff of queries to hubs and seeds.

mod contact;
mod rank;
mod seed_backoff;

pub use {contact::*, rank::*, seed_backoff::*};

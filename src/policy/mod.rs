//! Decisions. Pure and synchronous: time and randomness are arguments.

mod admission;
mod clients;
mod cooldowns;
mod copies;
mod duties;
mod engines;
mod fleet;
mod hubs;
mod limits;
mod placement;
mod quarantine;
mod quota;
mod reclaim;
mod retries;
mod sources;

pub use {
    admission::*, clients::*, cooldowns::*, copies::*, duties::*, engines::*, fleet::*, hubs::*,
    limits::*, placement::*, quarantine::*, quota::*, reclaim::*, retries::*, sources::*,
};

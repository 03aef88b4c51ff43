//! The decisions of the daemons, as pure and synchronous code: it performs no I/O, and takes
//! the time and the source of randomness as arguments.

mod admission;
mod clients;
mod cooldowns;
mod copies;
mod duties;
mod engines;
mod fleet;
mod hubs;
mod limits;
mod origins;
mod placement;
mod quarantine;
mod quota;
mod reach;
mod reclaim;
mod retries;
mod slots;
mod sources;

pub use {
    admission::*, clients::*, cooldowns::*, copies::*, duties::*, engines::*, fleet::*, hubs::*,
    limits::*, origins::*, placement::*, quarantine::*, quota::*, reach::*, reclaim::*, retries::*,
    slots::*, sources::*,
};

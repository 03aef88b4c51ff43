//! The protocols among daemons, and the duties that one daemon at a time performs for all.

mod configs;
mod crashes;
mod duties;
mod feed;
mod hubs;
mod leaving;
mod limits;
mod membership;
mod messages;
mod origins;
mod quotas;
mod relays;
mod rooms;
mod speeds;
mod usage;
mod versions;

pub(crate) use origins::send_origins;
pub use {
    configs::*, crashes::*, duties::*, feed::*, hubs::*, leaving::*, limits::*, membership::*,
    messages::*, origins::*, quotas::*, relays::*, rooms::*, speeds::*, usage::*, versions::*,
};

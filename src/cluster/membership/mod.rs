//! Membership: the other daemons, their liveness, and which of them are hubs.

mod daemon_entry;
mod peer;
mod peer_duties;
mod peer_index;
mod peer_loads;
mod peer_origins;
mod peer_quotas;
mod peer_relays;
mod peer_sources;
mod peer_table;
mod peer_versions;

pub use {daemon_entry::*, peer_loads::*, peer_quotas::*, peer_table::*, peer_versions::*};

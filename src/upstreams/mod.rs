//! Upstreams: the directory of known upstreams, their loads and failures as this daemon
//! sees them, and pooled connections to them.

mod directory_changes;
mod directory_eras;
mod directory_exchange;
mod directory_update;
mod endpoint;
mod ends_with_connection;
mod exchange;
mod followed_view;
mod lapsed_upstreams;
mod newest_incarnations;
mod ready_upstreams;
mod removed_upstreams;
mod revision_index;
mod send_failure;
mod source_read;
mod unlogged_changes;
mod upstream;
mod upstream_directory;
mod upstream_load;
mod upstream_pool;

pub use {
    directory_changes::*, directory_update::*, endpoint::*, ends_with_connection::*, exchange::*,
    newest_incarnations::*, ready_upstreams::*, send_failure::*, source_read::*,
    unlogged_changes::*, upstream::*, upstream_directory::*, upstream_load::*, upstream_pool::*,
};

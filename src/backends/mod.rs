//! Back ends: which there are, how they fare, and connections to them.

mod backend;
mod backend_directory;
mod backend_load;
mod backend_pool;
mod exchange;
mod send_failure;

pub use {
    backend::*, backend_directory::*, backend_load::*, backend_pool::*, exchange::*,
    send_failure::*,
};

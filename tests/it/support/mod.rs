//! What the integration tests share.

mod caller;
mod cluster;
mod daemon_process;
mod fault_proxy;

pub use {caller::*, cluster::*, daemon_process::*, fault_proxy::*};

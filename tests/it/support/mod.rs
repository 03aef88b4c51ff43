//! Helpers shared by the integration tests and the benchmarks: test cluster, caller, fault
//! proxy.

mod authority;
mod caller;
mod cluster;
mod daemon_process;
mod fault_proxy;
mod version_monitor;

pub use {
    authority::*, caller::*, cluster::*, daemon_process::*, fault_proxy::*, version_monitor::*,
};

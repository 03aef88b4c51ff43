//! The load tool: open loop, seeded, with latencies counted from the time at
//! which a request should have been sent.

mod report;
mod run;
mod workload;

pub use {report::*, run::*, workload::*};

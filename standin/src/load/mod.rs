//! Open-loop load generator with a seeded schedule. Latencies are measured from the
//! scheduled time of a request.

mod report;
mod run;
mod workload;

pub use {report::*, run::*, workload::*};

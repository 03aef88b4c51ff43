//! Integration tests: real daemons as processes, stand-ins behind a proxy that
//! injects faults.

mod bad_input;
mod cli;
mod overload;
mod promise_leaving;
mod promise_not_run;
mod promise_once;
mod promise_orders;
mod promise_stop;
mod promise_survives;
mod promise_table;
mod promise_whole;
mod refused_early;
mod soak;
mod stop_arrivals;
// The benches use parts of it that the tests don't.
#[allow(dead_code, unused_imports)]
mod support;
mod tls;

//! Integration tests: the daemons run as separate processes, and the stand-ins for the
//! platform and the upstreams run behind proxies that inject faults.

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
// The benchmarks include this module too and use items that the tests don't.
#[allow(dead_code, unused_imports)]
mod support;
mod tls;

//! Integration tests: real daemons as processes, stand-ins behind a proxy that
//! injects faults.

mod promise_survives;
mod support;

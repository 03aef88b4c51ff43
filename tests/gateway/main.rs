//! The routed request path: real daemons as processes, runners and a store as
//! stand-ins.

mod answers;
mod configuration;
mod duties;
mod logs;
mod repeats;
mod soak;
mod stops;
mod streams;
mod support;

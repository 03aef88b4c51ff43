//! The routed request path: real daemons as processes, runners and a store as
//! stand-ins.

mod answers;
mod configuration;
mod crashing_requests;
mod duties;
mod entries;
mod large_configuration;
mod limits_soak;
mod logs;
mod lost_requests;
mod misdirected;
mod mixed_builds;
mod planned_soak;
mod raw_client;
mod repeats;
mod restart_soak;
mod rollouts;
mod soak;
mod start;
mod stops;
mod store_support;
mod streams;
mod support;
mod upstream_limits;

//! Requests that are sent to upstreams through another daemon, since their own daemon has lost its
//! network path there.

mod further_daemons;
mod link_watcher;
mod reach_query;
mod relay_client;
mod relay_headers;
mod relay_server;

pub use reach_query::*;
pub(super) use {further_daemons::*, relay_server::*};
pub(crate) use {link_watcher::*, relay_client::*};

//! Stand-in of the platform: log service, box list, cloud API and weight store.

mod cloud_state;
mod log_streams;
mod service;

pub use {cloud_state::*, log_streams::*, service::*};

//! The platform's stand-in: log service, box list, cloud API and weight store.

mod log_streams;
mod service;
mod world;

pub use {log_streams::*, service::*, world::*};

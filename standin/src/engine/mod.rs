//! Stand-in of a model engine with continuous batching, a prefix cache, priorities,
//! resume, cancel, KV cache export and import, delayed cache events and delayed load
//! reports.

mod answer;
mod batch;
mod config;
mod prefix_cache;
mod sequence;
mod service;
mod wire;

pub use {answer::*, batch::*, config::*, prefix_cache::*, sequence::*, service::*, wire::*};

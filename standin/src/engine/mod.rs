//! A model engine's stand-in: continuous batching, a prefix cache, priorities,
//! resume, cancel, KV export and import, late cache events, lagging load.

mod answer;
mod batch;
mod config;
mod prefix_cache;
mod sequence;
mod service;
mod wire;

pub use {answer::*, batch::*, config::*, prefix_cache::*, sequence::*, service::*, wire::*};

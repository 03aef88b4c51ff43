//! Replication of requests: the boxes that hold copies or read loads, the heartbeat
//! topology, and the assembly of an answer across attempts.

mod holder;
mod neighbours;
mod splice;

pub use {holder::*, neighbours::*, splice::*};

//! State of boxes that may be reclaimed, and how streams move away from upstreams that are.

mod box_state;
mod stream_moves;

pub use {box_state::*, stream_moves::*};

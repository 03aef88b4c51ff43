//! What is known of boxes that are taken back, and what is ordered in their place.

mod box_state;
mod stream_moves;

pub use {box_state::*, stream_moves::*};

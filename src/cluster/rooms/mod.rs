//! The room in failure domains, as their hubs announce it.

mod rooms_part;

pub use rooms_part::*;

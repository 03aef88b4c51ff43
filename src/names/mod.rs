//! Names and identifiers that every part shares.

mod clock;
mod name;
mod request_id;
mod upstream_id;

pub use {clock::*, name::*, request_id::*, upstream_id::*};

//! Names and identifiers that all modules share.

mod clock;
mod name;
mod request_fingerprint;
mod request_id;
mod upstream_id;

pub use {clock::*, name::*, request_fingerprint::*, request_id::*, upstream_id::*};

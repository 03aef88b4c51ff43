//! Names and identifiers that all modules share.

mod clock;
mod name;
mod part_fingerprint;
mod request_fingerprint;
mod request_id;
mod source_era;
mod upstream_id;

pub use {
    clock::*, name::*, part_fingerprint::*, request_fingerprint::*, request_id::*, source_era::*,
    upstream_id::*,
};

//! How many requests a second upstreams take that say so, and who may send them some.

mod known_limit;
mod limit_table;
mod named_limit;
mod permit_bucket;
mod permit_share;
mod request_rate;

pub use {
    known_limit::*, limit_table::*, named_limit::*, permit_bucket::*, permit_share::*,
    request_rate::*,
};

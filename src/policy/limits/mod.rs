//! Rate limits that upstreams name in their answers, and the permits by which daemons share
//! them.

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

//! How many requests a second upstreams take that say so.

mod named_limit;
mod request_rate;

pub use {named_limit::*, request_rate::*};

//! The HTTP client that the clients of the platform and of upstreams share.

mod http_client;
mod http_error;

pub use {http_client::*, http_error::*};

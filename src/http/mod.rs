//! The HTTP client that the clients of the platform and of upstreams share.

mod call_once;
mod http_client;
mod http_error;

pub use {call_once::*, http_client::*, http_error::*};

//! HTTP clients, and the request bodies of HTTP servers.

mod call_once;
mod head_fault;
mod http_client;
mod http_error;
mod request_body;

pub use {call_once::*, head_fault::*, http_client::*, http_error::*, request_body::*};

//! Clients of the upstreams, which are model engines and plain services, each behind a trait.

mod engine_client;
mod engine_error;
mod engine_http;
mod engine_wire;
mod plain_http;
mod plain_service;
mod prefix_hash;

pub use {
    engine_client::*, engine_error::*, engine_http::*, engine_wire::*, plain_http::*,
    plain_service::*, prefix_hash::*,
};

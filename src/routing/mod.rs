//! The routing configuration: the routes from requests to services, and the client accounts.

mod account_terms;
mod client_limits;
mod number_limits;
mod packed_config;
mod route;
mod route_table;
mod routing_config;
mod service;

pub use {
    account_terms::*, client_limits::*, packed_config::*, route::*, route_table::*,
    routing_config::*, service::*,
};

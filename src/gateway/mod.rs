//! The routed request path: accepts, authenticates, limits, places and forwards requests and
//! returns the responses. Requests and responses are forwarded unchanged, byte for byte.

mod answer;
mod attempts;
mod budgets;
mod client_connection;
mod client_socket;
mod config_state;
mod cooldown_state;
mod crash_state;
mod cut_offs;
mod engines;
mod event_splitter;
mod follow_file;
mod forward_stream;
mod forward_whole;
mod gateway_phase;
mod gateway_state;
mod header_names;
mod hub_state;
mod intake;
mod left_upstream;
mod limit_state;
mod listen;
mod metrics_page;
mod open_connections;
mod open_request;
mod phase_state;
mod placement;
mod placing;
mod process;
mod prompt;
mod request_context;
mod rollout_state;
mod send;
mod send_notes;
mod source_state;
mod upstream_signals;

pub use {
    answer::*, client_connection::*, client_socket::*, event_splitter::*, follow_file::*,
    gateway_phase::*, gateway_state::*, header_names::*, hub_state::*, intake::*, listen::*,
    metrics_page::*, open_connections::*, placement::*, placing::*, process::*, prompt::*,
    request_context::*,
};

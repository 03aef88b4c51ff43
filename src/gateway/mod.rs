//! The routed request path: accepts, authenticates, limits, places and forwards requests and
//! returns the responses. Requests and responses are forwarded unchanged, byte for byte.

mod answer;
mod attempts;
mod budgets;
mod buffered_bytes;
mod buffers;
mod client_connection;
mod client_socket;
mod config_state;
mod connection_closer;
mod cooldown_state;
mod crash_state;
mod cut_offs;
mod domain_state;
mod engines;
mod follow_file;
mod foreign_answer;
mod forward_buffered;
mod forward_stream;
mod gateway_phase;
mod gateway_state;
mod header_names;
mod hub_state;
mod intake;
mod leaving_upstream;
mod limit_state;
mod link_state;
mod listen;
mod memory_state;
mod metrics_page;
mod open_connections;
mod open_request;
mod origin_search;
mod origin_state;
mod part_state;
mod phase_state;
mod placement;
mod process;
mod prompt;
mod read_ahead;
mod receive_body;
mod refusal;
mod relay_guard;
mod request_context;
mod request_placement;
mod rollout_state;
mod room_state;
mod room_table;
mod send;
mod send_outcomes;
mod slot_state;
mod source_state;
mod speed_state;
mod stream_state;
mod upstream_signals;
mod version_state;

pub use {
    answer::*, buffered_bytes::*, buffers::*, client_connection::*, client_socket::*,
    connection_closer::*, follow_file::*, foreign_answer::*, gateway_phase::*, gateway_state::*,
    header_names::*, hub_state::*, intake::*, listen::*, metrics_page::*, open_connections::*,
    part_state::*, placement::*, process::*, prompt::*, read_ahead::*, refusal::*, relay_guard::*,
    request_context::*, request_placement::*,
};

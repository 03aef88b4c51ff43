//! Messages between hubs and the daemons that send them admission queries, and the tasks that
//! send and apply these messages.

mod cooldowns_part;
mod digest;
mod digest_announcer;
mod event_log;
mod former_listeners;
mod hub_client;
mod loads_part;
mod member_table;
mod open_queries;
mod query;
mod query_answers;
mod query_terms;
mod report;
mod report_announcer;
mod request_urgency;

pub use {
    cooldowns_part::*, digest::*, event_log::*, former_listeners::*, hub_client::*, loads_part::*,
    member_table::*, open_queries::*, query::*, query_terms::*, report::*, request_urgency::*,
};
pub(super) use {digest_announcer::*, query_answers::*, report_announcer::*};

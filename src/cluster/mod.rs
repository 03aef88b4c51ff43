//! What equal daemons tell each other, and the duties that one has at a time.

mod ask;
mod ask_answers;
mod config_follower;
mod config_message;
mod config_teller;
mod control_traffic;
mod crash_teller;
mod crashes_part;
mod daemon_entry;
mod datagram;
mod digest;
mod digest_teller;
mod duty_borders;
mod duty_runner;
mod event_log;
mod exchange;
mod extension;
mod feed;
mod fleet_scaler;
mod hub_desk;
mod limit_teller;
mod limits_part;
mod loads_part;
mod lone_quotas;
mod member_table;
mod packet;
mod peer;
mod peer_index;
mod peer_table;
mod permit_answers;
mod permit_ask;
mod permit_desk;
mod quarantine_keeper;
mod quotas_part;
mod report;
mod report_teller;
mod rollout_duty;
mod spoken_versions;
mod usage_part;
mod usage_teller;
mod versions_part;
mod versions_teller;

pub use {
    ask::*, config_follower::*, config_message::*, config_teller::*, control_traffic::*, crashes_part::*,
    daemon_entry::*, datagram::*, digest::*, duty_borders::*, duty_runner::*, event_log::*,
    exchange::*, extension::*, feed::*, fleet_scaler::*, hub_desk::*, limits_part::*, loads_part::*,
    lone_quotas::*, member_table::*, packet::*, peer_table::*, permit_ask::*, permit_desk::*,
    quarantine_keeper::*, quotas_part::*, report::*, rollout_duty::*, spoken_versions::*,
    usage_part::*, usage_teller::*, versions_part::*,
};
use {
    ask_answers::*, crash_teller::*, digest_teller::*, limit_teller::*, permit_answers::*,
    report_teller::*, versions_teller::*,
};

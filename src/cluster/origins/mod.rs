//! Announces which software version began a stream to a few other daemons and to the shared log, so that
//! it is still known when the daemon of the stream has ended.

mod origin_announcer;
mod origin_answers;
mod origin_log;
mod origin_query;
mod origins_part;
mod version_recorder;
mod version_records;

pub(crate) use origin_announcer::*;
pub(super) use origin_answers::*;
pub use {
    origin_log::*, origin_query::*, origins_part::*, version_recorder::*, version_records::*,
};

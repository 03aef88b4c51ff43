//! Where streams began: which software version wrote the first event of a stream that its client may
//! take up again. Answers loads in which upstreams of several versions serve side by side.

mod attempt_key;
mod origin_keepers;
mod origin_table;
mod recorded_versions;
mod resumption;
mod service_versions;
mod stream_origin;
mod version_history;
mod write_interval;

pub use {
    attempt_key::*, origin_keepers::*, origin_table::*, recorded_versions::*, resumption::*,
    service_versions::*, stream_origin::*, version_history::*, write_interval::*,
};

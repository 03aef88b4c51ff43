//! Speeds of upstreams: the samples that daemons report, and the speeds that hubs announce.

mod samples_part;
mod speed_announcer;
mod speeds_part;

pub(super) use speed_announcer::*;
pub use {samples_part::*, speed_announcer::speed_packets, speeds_part::*};

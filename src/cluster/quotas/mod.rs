//! What is told of client accounts' quotas.

mod lone_quotas;
mod quota_announcer;
mod quotas_part;

pub use {lone_quotas::*, quota_announcer::*, quotas_part::*};

//! What is told of client accounts' quotas.

mod quota_announcer;
mod quotas_part;
mod standalone_quotas;

pub use {quota_announcer::*, quotas_part::*, standalone_quotas::*};

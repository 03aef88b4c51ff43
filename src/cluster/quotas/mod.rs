//! Announcements of client accounts' quotas, and the quotas that daemons enforce without a hub.

mod quota_announcer;
mod quotas_part;
mod standalone_quotas;

pub use {quota_announcer::*, quotas_part::*, standalone_quotas::*};

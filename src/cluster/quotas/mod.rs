//! What is told of client accounts' quotas.

mod lone_quotas;
mod quota_news;
mod quotas_part;

pub use {lone_quotas::*, quota_news::*, quotas_part::*};

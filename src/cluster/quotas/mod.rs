//! What is told of client accounts' quotas.

mod lone_quotas;
mod quotas_part;

pub use {lone_quotas::*, quotas_part::*};

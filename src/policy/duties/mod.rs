//! Tasks that only one daemon may do at a time: leases, claims, and usage reports by
//! time window.

mod claim;
mod claim_fold;
mod claimant;
mod duty_fitness;
mod duty_log;
mod duty_record;
mod duty_topic;
mod lease;
mod topic_restoration;
mod usage_due;
mod usage_windows;

pub use {
    claim::*, claim_fold::*, claimant::*, duty_fitness::*, duty_log::*, duty_record::*, lease::*,
    topic_restoration::*, usage_due::*, usage_windows::*,
};

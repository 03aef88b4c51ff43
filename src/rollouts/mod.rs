//! Roll-outs of new versions of a service's upstreams: the share of requests that a new
//! version gets, how it is judged beside the old ones, and when it is completed or
//! rolled back.
//!
//! Everything here is pure: time is passed in, and nothing is sent. One daemon at a time
//! leads a roll-out (`cluster/rollout_duty.rs`); all follow the share that it tells.

mod evaluator;
mod evidence;
mod outcome_meter;
mod rollout;
mod rollout_steps;
mod rollout_table;
mod version_counts;

pub use {
    evaluator::*, evidence::*, outcome_meter::*, rollout::*, rollout_steps::*, rollout_table::*,
    version_counts::*,
};

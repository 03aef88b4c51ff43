//! Rollouts of new versions of a service's upstreams: the share of requests that a new
//! version gets, its assessment against the old versions, and the decision to complete the
//! rollout or to roll it back.
//!
//! This module is pure: callers pass the time in, and nothing is sent. One daemon at a time
//! leads a rollout (the rollout duty in `cluster`); all daemons follow the share that the
//! leader announces.

mod evaluator;
mod evidence;
mod order_numbers;
mod outcome_meter;
mod rollout;
mod rollout_steps;
mod rollout_table;
mod version_counts;

pub use {
    evaluator::*, evidence::*, order_numbers::*, outcome_meter::*, rollout::*, rollout_steps::*,
    rollout_table::*, version_counts::*,
};

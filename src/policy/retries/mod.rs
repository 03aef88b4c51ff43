//! Retries: budgets, backoff, the conditions for another attempt, and the detection of
//! stalled streams.

mod retry;
mod retry_allowance;
mod retry_situation;
mod slack_share;
mod stall;

pub use {retry::*, retry_allowance::*, retry_situation::*, slack_share::*, stall::*};

//! Whether and when a request is sent again.

mod retry;
mod retry_allowance;
mod retry_situation;
mod slack_share;
mod stall;

pub use {retry::*, retry_allowance::*, retry_situation::*, slack_share::*, stall::*};

//! How quotas of client accounts hold over all daemons together.

mod account;
mod bounds;
mod limit;
mod quota_table;
mod standalone;
mod wait;

pub use {account::*, bounds::*, limit::*, quota_table::*, standalone::*, wait::*};

//! How quotas of client accounts hold over all daemons together.

mod account;
mod bounds;
mod limit;
mod lone;
mod quota_table;
mod wait;

pub use {account::*, bounds::*, limit::*, lone::*, quota_table::*, wait::*};

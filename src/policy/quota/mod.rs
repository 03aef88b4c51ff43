//! Quotas of client accounts, enforced jointly by all daemons.

mod account;
mod bounds;
mod limit;
mod quota_table;
mod standalone;
mod wait;

pub use {account::*, bounds::*, limit::*, quota_table::*, standalone::*, wait::*};

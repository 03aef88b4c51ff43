//! Quotas of client accounts, enforced jointly by all daemons.

mod account;
mod bounds;
mod limit;
mod order;
mod quota_table;
mod standalone;
mod wait;

pub use {account::*, bounds::*, limit::*, order::*, quota_table::*, standalone::*, wait::*};

//! How quotas of client accounts hold over all daemons together.

mod account;
mod book;
mod bounds;
mod limit;
mod lone;
mod wait;

pub use {account::*, book::*, bounds::*, limit::*, lone::*, wait::*};

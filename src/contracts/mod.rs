//! Contracts: the rows of the table that operators publish, and the rule by which edits of the
//! table are folded from the log.

mod contract;
mod edit;
mod table;
mod table_check;
mod table_error;
mod table_file;

pub use {contract::*, edit::*, table::*, table_check::*, table_error::*, table_file::*};

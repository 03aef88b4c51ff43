//! Structured logs on standard output: bounded, and never waited for.

mod history;
mod line_budget;
mod log_line;
mod log_writer;

pub use {history::*, line_budget::*, log_line::*, log_writer::*};

//! Structured logs on standard output: bounded, and never waited for.

mod line_budget;
mod log_line;
mod log_writer;
mod history;

pub use {line_budget::*, log_line::*, log_writer::*, history::*};

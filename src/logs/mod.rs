//! Structured logs on standard output, with a limited rate and without blocking the caller.

mod history;
mod line_budget;
mod log_line;
mod log_writer;

pub use {history::*, line_budget::*, log_line::*, log_writer::*};

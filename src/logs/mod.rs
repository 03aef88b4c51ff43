//! Structured logs on standard output: bounded, and never waited for.

mod line_budget;
mod log_line;
mod log_writer;
mod story;

pub use {line_budget::*, log_line::*, log_writer::*, story::*};

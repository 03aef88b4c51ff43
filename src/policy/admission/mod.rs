//! Whether a request is let in: limits by row, fair sharing, adaptive limits.

mod admission_queue;
mod concurrency;

pub use {admission_queue::*, concurrency::*};

//! Admission of requests: limits by table row, fair queueing between client
//! accounts, and adaptive concurrency limits.

mod admission_queue;
mod concurrency;

pub use {admission_queue::*, concurrency::*};

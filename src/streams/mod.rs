//! Streamed answers: how events are read from bytes, and which of them belong to a run.

mod event_batch;
mod event_fields;
mod event_order;
mod event_reader;
mod event_verdict;
mod id_history;
mod service_ids;
mod stream_fault;
mod stream_ids;
mod usual_ids;
mod usual_number;
mod usual_value;

pub use {
    event_batch::*, event_order::*, event_reader::*, event_verdict::*, id_history::*,
    service_ids::*, stream_fault::*, stream_ids::*, usual_ids::*, usual_number::*,
};

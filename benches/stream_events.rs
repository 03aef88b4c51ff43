//! Measures the cost of reading the events of a stream.
//!
//! `cargo bench --bench stream_events`

use {
    bytes::Bytes,
    saddlepulley::streams::{EventReader, UsualIds, UsualNumber},
    std::{hint::black_box, time::Instant},
};

const STREAMS: u64 = 2_000;
const EVENTS: u64 = 100;
const USUAL: UsualIds = UsualIds {
    first: UsualNumber::Always(1),
    step: UsualNumber::Always(1),
};

fn main() {
    for (data_bytes, per_chunk) in [(20, 1), (200, 1), (200, 10), (4_000, 1)] {
        let chunks = stream(data_bytes, per_chunk);
        let started = Instant::now();
        for _ in 0..STREAMS {
            read(&chunks);
        }
        let each_ns = started.elapsed().as_secs_f64() * 1e9 / (STREAMS * EVENTS) as f64;
        println!(
            "{data_bytes} bytes of data, {per_chunk} events a chunk: {each_ns:.0} ns an event"
        );
    }
}

fn stream(data_bytes: usize, per_chunk: usize) -> Vec<Bytes> {
    let data = "x".repeat(data_bytes);
    let events: Vec<String> = (1..=EVENTS)
        .map(|n| format!("id: {n}\ndata: {data}\n\n"))
        .collect();
    let chunks = events.chunks(per_chunk);
    chunks.map(|events| events.concat().into()).collect()
}

fn read(chunks: &[Bytes]) {
    let mut reader = EventReader::after(None);
    for chunk in chunks {
        let batch = reader.push(chunk.clone(), &USUAL);
        assert!(batch.fault.is_none());
        black_box(batch);
    }
}

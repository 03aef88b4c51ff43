//! Measures the cost of many upstreams leaving at once, for the daemon that reads the source
//! and for a daemon that follows it, by the number of upstreams.
//!
//! `cargo bench --bench directory`

use {
    saddlepulley::{
        cluster::pack_upstreams,
        names::{FailureDomain, ServiceName, UpstreamId},
        upstreams::{Upstream, UpstreamDirectory},
    },
    std::{hint::black_box, time::Instant},
};

fn main() {
    for upstreams in [1_500, 5_000, 10_000, 20_000] {
        let leaving = upstreams / 2;
        let mut reader = UpstreamDirectory::default();
        let mut follower = UpstreamDirectory::default();
        let position = u64::from(upstreams) + 1;
        let listing = (0..upstreams).map(|n| upstream(n, u64::from(n) + 1, false));
        reader.replace(listing.collect(), position, None);
        let full_update = reader.update_since(None);
        let cursor = full_update.cursor;
        follower.apply_update(full_update, 0);
        let read_ms = timed(|| {
            for n in 0..leaving {
                reader.upsert(upstream(n, position + u64::from(n), true));
            }
            reader.read_to(position + u64::from(leaving));
        });
        let mut update = None;
        let announced_ms = timed(|| update = Some(reader.update_since(Some(cursor))));
        let update = update.expect("the directory update was taken");
        let mut packed = Default::default();
        let packed_ms = timed(|| {
            packed = pack_upstreams(&update.upstreams, &update.removed_ids)
                .expect("the update is packed");
        });
        let applied_ms = timed(|| {
            follower.apply_update(update, 0);
        });
        let service = ServiceName::from("s");
        let listed_ms = timed(|| {
            black_box(follower.ready_list(&service));
        });
        println!(
            "{upstreams} upstreams, of which half leave: {read_ms:.2} ms to take in, {announced_ms:.2} \
             to gather for a follower, {packed_ms:.2} to pack into {} bytes, {applied_ms:.2} to \
             apply, {listed_ms:.2} to list those that are ready",
            packed.len()
        );
    }
}

/// Returns the duration of a call, in milliseconds.
fn timed(act: impl FnOnce()) -> f64 {
    let started = Instant::now();
    act();
    started.elapsed().as_secs_f64() * 1e3
}

fn upstream(n: u32, offset: u64, draining: bool) -> Upstream {
    let [_, _, high, low] = n.to_be_bytes();
    Upstream {
        id: UpstreamId::from(format!("i-{:010x}~{n}", u64::from(n) * 2_654_435_761).as_str()),
        service: ServiceName::from("s"),
        address: ([10, 1, high, low], 8_140).into(),
        domain: FailureDomain::from("a"),
        slots: 8,
        draining,
        version: Default::default(),
        reclaimable: false,
        offset,
    }
}

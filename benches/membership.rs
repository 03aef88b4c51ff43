//! Measures the cost of applying the reports of other daemons and of membership queries, by
//! the number of daemons.
//!
//! `cargo bench --bench membership`

use {
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    saddlepulley::cluster::{DaemonEntry, DaemonStatus, PeerTable, Report},
    std::{hint::black_box, net::SocketAddr, time::Instant},
};

const DOMAINS: usize = 5;
const ROUNDS: u64 = 20;

fn main() {
    for daemons in [100, 300, 1_000, 2_000] {
        let mut table = PeerTable::new(entry(0));
        apply_reports(&mut table, daemons, 1);
        table.tick(1, 1);
        let mut sequence = 1;
        let report_us = timed(|_| {
            sequence += 1;
            apply_reports(&mut table, daemons, sequence);
        }) / daemons as f64;
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let named_us = timed(|n| {
            black_box(table.sample_daemons_for(&domain(n as usize), &mut rng));
        });
        let is_hub_us = timed(|_| {
            black_box(table.is_hub());
        });
        let hubs_us = timed(|_| {
            black_box(table.own_hubs());
        });
        println!(
            "{daemons} daemons: {report_us:.2} us a report, {named_us:.1} us to name others, \
             {is_hub_us:.2} us whether it is a hub, {hubs_us:.2} us whom to ask"
        );
    }
}

/// Returns the mean duration of `ROUNDS` calls, in microseconds.
fn timed(mut act: impl FnMut(u64)) -> f64 {
    let started = Instant::now();
    (0..ROUNDS).for_each(&mut act);
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn apply_reports(table: &mut PeerTable, daemons: usize, sequence: u64) {
    for n in 1..daemons {
        table.apply_report(&report(n, sequence), 1);
    }
}

fn domain(n: usize) -> String {
    format!("domain-{}", n % DOMAINS)
}

fn entry(n: usize) -> DaemonEntry {
    let [high, low] = (n as u16).to_be_bytes();
    DaemonEntry {
        name: format!("box-{n}"),
        domain: domain(n),
        capacity: 0.25,
        address: SocketAddr::from(([10, 1, high, low], 8_229)),
    }
}

fn report(n: usize, sequence: u64) -> Report {
    Report {
        daemon: entry(n),
        incarnation: 1,
        sequence,
        interval_ms: 500,
        is_dependent: false,
        wants_digest: true,
        wants_all: true,
        status: DaemonStatus::default(),
        events: Vec::new(),
        admitted_standalone: Vec::new(),
        standalone_batch: 0,
    }
}

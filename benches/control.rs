//! Measures the cost of the control plane for a daemon (bytes, processor time and memory,
//! by the number of daemons and upstreams) and how long a change takes to reach all daemons.
//!
//! `cargo bench --bench control -- 3x1 6x2 ...` (daemons x engines per failure domain)

#[path = "../tests/it/support/mod.rs"]
#[allow(dead_code, unused_imports)]
mod support;

use {
    std::time::{Duration, Instant},
    support::*,
};

const DOMAINS: usize = 3;
/// Time without requests over which the costs are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
const CHANGES: usize = 10;

fn main() {
    let mut sizes: Vec<(usize, usize)> = std::env::args().filter_map(|a| parse(&a)).collect();
    if sizes.is_empty() {
        sizes = vec![(1, 1), (4, 1), (12, 1), (4, 20)];
    }
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(async {
            println!("daemons engines | peer B/s a daemon, platform B/s a daemon, cpu % a daemon, MB a daemon | table in force: median ms, max ms");
            for (daemons, engines) in sizes {
                measure(daemons, engines).await;
            }
        });
}

fn parse(arg: &str) -> Option<(usize, usize)> {
    let (d, e) = arg.split_once('x')?;
    Some((d.parse().ok()?, e.parse().ok()?))
}

async fn measure(daemons_per_domain: usize, engines_per_domain: usize) {
    let plan = Plan {
        domains: DOMAINS,
        daemons_per_domain,
        engines_per_domain,
        peers: "heartbeat_ms = 1000\nsilence_ms = 4000\n".to_string(),
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await;
    let n = cluster.daemons.len() as f64;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = usage(&cluster).await;
    let started = Instant::now();
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = usage(&cluster).await;
    let s = started.elapsed().as_secs_f64();
    let cpu = (after.cpu_ms - before.cpu_ms) as f64 / 10.0 / s / n;
    let (median, max) = measure_changes(&cluster).await;
    println!(
        "{:>7} {:>7} | {:>8.0} {:>8.0} {:>6.2} {:>6.1} | {median:>6} {max:>6}",
        cluster.daemons.len(),
        engines_per_domain * DOMAINS,
        (after.peer - before.peer) as f64 / s / n,
        (after.platform - before.platform) as f64 / s / n,
        cpu,
        after.memory as f64 / n / 1e6,
    );
}

struct Usage {
    peer: u64,
    platform: u64,
    cpu_ms: u64,
    memory: u64,
}

async fn usage(cluster: &Cluster) -> Usage {
    let mut usage = Usage {
        peer: cluster.peer_proxies.iter().map(FaultProxy::bytes).sum(),
        platform: cluster.platform_proxies.iter().map(FaultProxy::bytes).sum(),
        cpu_ms: 0,
        memory: 0,
    };
    for daemon in &cluster.daemons {
        let s = cluster.status(daemon).await.unwrap();
        usage.cpu_ms += s.cpu_ms;
        usage.memory += s.memory_bytes;
    }
    usage
}

/// Publishes changes of the table and returns the median and maximum time until each is
/// active on all daemons, in milliseconds.
async fn measure_changes(cluster: &Cluster) -> (u128, u128) {
    let mut times = Vec::new();
    for n in 0..CHANGES {
        let file = with_weight(&published_table(cluster).await, 0, n + 2);
        let started = Instant::now();
        let version = cluster.publish(&file).await.unwrap();
        for daemon in &cluster.daemons {
            cluster
                .wait_status(daemon, "changed", |s| s.table_version >= version)
                .await;
        }
        times.push(started.elapsed().as_millis());
    }
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

//! Measures the cost of one entry box: requests and tokens per second of processor time, and
//! the added latency as a ratio to direct calls of the stand-in in the same run.
//!
//! `cargo bench --bench overhead`

#[path = "../tests/it/support/mod.rs"]
#[allow(dead_code, unused_imports)]
mod support;

use {
    hdrhistogram::Histogram,
    saddlepulley_standin::{
        engine::EngineConfig,
        load::{LoadReport, Stream, Workload, run},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::*,
    tokio::task::JoinSet,
};

const CONCURRENCY: usize = 16;
const CALLS_PER_WORKER: usize = 1_500;
const STREAM_RATE: f64 = 60.0;
const STREAM_SECONDS: f64 = 8.0;

#[derive(Debug)]
struct Figures {
    per_s: f64,
    p50_us: u64,
    p99_us: u64,
}

fn main() {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(all());
}

async fn all() {
    for domains in [1, 3] {
        let plan = Plan {
            domains,
            plain_work_ms: 0,
            row: "rate = 100000\nconcurrency = 10000\n".to_string(),
            engine: EngineConfig {
                slots: 512,
                step_ms: 20.0,
                step_ms_per_request: 0.0,
                ..EngineConfig::default()
            },
            ..Plan::default()
        };
        let cluster = Cluster::start(plan).await;
        println!(
            "\n{domains} failure domains ({})",
            if domains == 1 {
                "no copies"
            } else {
                "copies in another domain"
            }
        );
        plain(&cluster).await;
        tokens(&cluster).await;
    }
}

async fn plain(cluster: &Cluster) {
    let codes = cluster
        .upstreams
        .iter()
        .find(|u| u.service == "codes")
        .unwrap();
    // Both paths pass the fault proxy, so its cost cancels out.
    let direct = calls(codes.proxy.addr(), "/call").await;
    let before = cpu_ms(cluster).await;
    let through = calls(cluster.daemons[0].callers, "/codes/call").await;
    let cpu = cpu_ms(cluster).await - before;
    let n = (CONCURRENCY * CALLS_PER_WORKER) as f64;
    println!(
        "calls a second: direct {:.0}, through one box {:.0}",
        direct.per_s, through.per_s
    );
    println!("plain calls, {CONCURRENCY} at once: direct {direct:?}");
    println!("plain calls, {CONCURRENCY} at once: through one box {through:?}");
    println!(
        "  added p50 {} us ({:.2} x), p99 {} us ({:.2} x); all daemons' processor time {:.0} us a call, {:.0} calls/s a core",
        through.p50_us.saturating_sub(direct.p50_us),
        through.p50_us as f64 / direct.p50_us as f64,
        through.p99_us.saturating_sub(direct.p99_us),
        through.p99_us as f64 / direct.p99_us as f64,
        cpu as f64 * 1_000.0 / n,
        n / (cpu as f64 / 1_000.0)
    );
}

async fn calls(at: SocketAddr, path: &'static str) -> Figures {
    let started = Instant::now();
    let mut set = JoinSet::new();
    for _ in 0..CONCURRENCY {
        set.spawn(async move {
            let client = test_client::Client::pooled();
            let auth = bearer(TOKEN);
            let mut h = Histogram::<u64>::new(3).unwrap();
            for _ in 0..CALLS_PER_WORKER {
                let sent = Instant::now();
                let headers = [("authorization", auth.as_str())];
                let rep = client
                    .send("POST", at, path, &headers, "umbrella")
                    .await
                    .unwrap();
                assert_eq!(rep.status, 200);
                h.record(sent.elapsed().as_micros() as u64).unwrap();
            }
            h
        });
    }
    let mut all = Histogram::<u64>::new(3).unwrap();
    for h in set.join_all().await {
        all.add(h).unwrap();
    }
    Figures {
        per_s: (CONCURRENCY * CALLS_PER_WORKER) as f64 / started.elapsed().as_secs_f64(),
        p50_us: all.value_at_quantile(0.5),
        p99_us: all.value_at_quantile(0.99),
    }
}

async fn tokens(cluster: &Cluster) {
    let stream = |answer| Stream {
        token: TOKEN.to_string(),
        service: "assistant".to_string(),
        model: true,
        rate: STREAM_RATE,
        from_s: 0.0,
        to_s: 0.0,
        documents: 0,
        document_tokens: 0,
        prompt_tokens: [40, 40],
        answer_tokens: [answer, answer],
        first_ms: 400,
        deadline_ms: 0,
        caller_retries: 0,
    };
    let mut points = Vec::new();
    for answer in [5, 150] {
        let workload = Workload {
            seed: 1,
            duration_s: STREAM_SECONDS,
            streams: vec![stream(answer)],
        };
        let before = cpu_ms(cluster).await;
        let samples = run(&workload, &cluster.caller_addrs()[..1]).await;
        let cpu = (cpu_ms(cluster).await - before) as f64;
        let report = LoadReport::from_samples(&samples);
        println!(
            "streams of {answer} tokens: {} requests, {} tokens, first token p50 {:.1} ms p99 {:.1} ms, processor time {cpu:.0} ms, outcomes {:?}",
            report.requests, report.tokens, report.first_ms[0], report.first_ms[2], report.outcomes
        );
        points.push((report.requests as f64, report.tokens as f64, cpu));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let [(r1, t1, c1), (r2, t2, c2)] = points[..] else {
        return;
    };
    // Two runs determine two unknowns: the processor time of a request and of a token.
    let token = (c2 / r2 - c1 / r1) / (t2 / r2 - t1 / r1);
    let request = c1 / r1 - token * t1 / r1;
    println!(
        "  slopes: {:.0} us a request, {:.1} us a token; {:.0} tokens/s a core",
        request * 1_000.0,
        token * 1_000.0,
        1_000.0 / token
    );
}

/// Returns the total processor time of all daemons, in milliseconds.
async fn cpu_ms(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for daemon in &cluster.daemons {
        sum += cluster.status(daemon).await.unwrap().cpu_ms;
    }
    sum
}

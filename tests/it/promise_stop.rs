//! Promise 6: a planned stop interrupts no request in flight.

use {
    crate::support::*,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::task::JoinSet,
};

/// Sends a request as through a load balancer: a box that is not ready or cannot be reached is
/// skipped, and so is a box that refuses the request as `not-run` with status 503. Every other
/// outcome is returned.
async fn stream_behind_balancer(boxes: &[SocketAddr], first: usize, prompt: &str) -> Transcript {
    let client = test_client::Client::default();
    for i in 0..100 {
        let at = (first + i) % boxes.len();
        let ready = client.send("GET", boxes[at], "/readyz", &[], "").await;
        if !ready.is_ok_and(|r| r.status == 200) {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        }
        let t = stream_completion(boxes, at, prompt, 60).await;
        // The box began to stop between the readiness check and the request, and refused the
        // request at once.
        if t.end != CallerOutcome::Refused(503, "not-run".to_string()) {
            return t;
        }
    }
    panic!("no box was ready");
}

/// Callers that send streamed requests, one after another, until they are stopped.
struct Load {
    set: JoinSet<usize>,
    stop: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
}

impl Load {
    fn start(boxes: &[SocketAddr], n: usize) -> Self {
        let mut load = Self {
            set: JoinSet::new(),
            stop: Arc::default(),
            done: Arc::default(),
        };
        for i in 0..n {
            let boxes = boxes.to_vec();
            let (stop, done) = (load.stop.clone(), load.done.clone());
            load.set.spawn(async move {
                let mut interrupted = 0;
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let t = stream_behind_balancer(&boxes, i + n, &format!("load {i} {n}")).await;
                    assert_eq!(t.end, CallerOutcome::Complete, "{t:?}");
                    interrupted += usize::from(t.reattaches > 0);
                    done.fetch_add(1, Ordering::SeqCst);
                }
                interrupted
            });
        }
        load
    }

    /// Stops the callers and returns how many streams had to be re-attached.
    async fn stop(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        assert!(self.done.load(Ordering::SeqCst) > 0);
        self.set.join_all().await.into_iter().sum()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_interrupts_no_stream() {
    let mut cluster = Cluster::start(Plan::default()).await;
    let load = Load::start(&cluster.caller_addrs(), 9);
    for n in 0..cluster.daemons.len() {
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.daemons[n].terminate();
        assert!(cluster.daemons[n].wait_exit(Duration::from_secs(30)).await);
        cluster.daemons[n].start();
        cluster.wait_ready().await;
    }
    assert_eq!(load.stop().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_lets_requests_in_flight_finish() {
    let cluster = Cluster::start(Plan::default()).await;
    let boxes = cluster.caller_addrs();
    let load = Load::start(&boxes, 6);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let auth = bearer(OPERATOR_TOKEN);
    let at = cluster.daemons[0].operators;
    let drained = cluster
        .client
        .send("POST", at, "/drain", &[("authorization", &auth)], "")
        .await;
    assert_eq!(drained.unwrap().status, 200);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let ready = cluster
        .client
        .send("GET", boxes[0], "/readyz", &[], "")
        .await
        .unwrap();
    assert_eq!(ready.status, 503);
    assert_eq!(load.stop().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_drain_a_stop_interrupts_streams() {
    let plan = Plan {
        trial: "drain = false".to_string(),
        ..Plan::default()
    };
    let mut cluster = Cluster::start(plan).await;
    let load = Load::start(&cluster.caller_addrs(), 9);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.daemons[0].terminate();
    assert!(cluster.daemons[0].wait_exit(Duration::from_secs(30)).await);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(load.stop().await > 0);
}

//! Daemons that know each other before upstreams of one file, and an even load on them.

use {
    crate::support::*,
    http::StatusCode,
    saddlepulley_standin::runner::Runner,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// The names of daemons.
const NAMES: [&str; 6] = ["n0", "n1", "n2", "n3", "n4", "n5"];

/// Daemons and upstreams.
pub struct FileWorld {
    pub runners: Vec<Runner>,
    pub daemons: Vec<GatewayDaemon>,
}

impl FileWorld {
    /// Starts some daemons before some upstreams.
    pub async fn start(daemons: usize, runners: usize) -> Self {
        let mut world = Self {
            runners: Vec::new(),
            daemons: Vec::new(),
        };
        for n in 0..runners {
            let runner = Runner::start(&format!("u{n}"), 3).await.unwrap();
            world.runners.push(runner);
        }
        let all: Vec<&Runner> = world.runners.iter().collect();
        let routes = routes_file(1, &[&IDEMPOTENT], &all);
        for name in &NAMES[..daemons] {
            let seeds = world.daemons.iter().map(|d| d.peers).collect();
            let daemon = GatewayDaemon::spawn_on_file(name, &routes, seeds);
            daemon.wait_ready().await;
            world.daemons.push(daemon);
        }
        world
    }

    /// Sends requests at an even pace, at one of the daemons after the other, without
    /// waiting for answers. An attempt names its daemon first: `d0-…`.
    pub async fn load(&self, daemons: &[usize], per_s: f64, for_how_long: Duration) -> Vec<ClientResponse> {
        let mut asked = JoinSet::new();
        let started = Instant::now();
        for n in 0.. {
            let due = Duration::from_secs_f64(f64::from(n) / per_s);
            if due >= for_how_long {
                break;
            }
            tokio::time::sleep_until((started + due).into()).await;
            let daemon = daemons[n as usize % daemons.len()];
            let to = self.daemons[daemon].clients;
            asked.spawn(fetch_once(to, format!("d{daemon}-{n}-{started:?}")));
        }
        asked.join_all().await
    }

    /// Returns how many requests an upstream began to run since some time.
    pub fn runs_since(&self, runner: usize, from: Instant) -> usize {
        let runs = self.runners[runner].runs();
        runs.iter().filter(|run| run.at >= from).count()
    }
}

/// What a client was told, and after how long.
pub struct ClientResponse {
    pub status: StatusCode,
    pub retry_after_s: Option<f64>,
    pub after: Duration,
}

/// Asks a daemon over a connection of its own.
pub async fn fetch_once(to: SocketAddr, attempt: String) -> ClientResponse {
    let asked = Instant::now();
    let mut client = Client::connect(to).await.expect("the daemon listens");
    let answer = client.fetch(&attempt, "/look/x", "").await;
    ClientResponse {
        status: answer.status,
        retry_after_s: answer.header("retry-after").parse().ok(),
        after: asked.elapsed(),
    }
}

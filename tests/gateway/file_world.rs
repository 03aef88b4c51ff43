//! Daemons that know each other and read the same upstreams from a file, under a steady
//! request rate.

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

const NAMES: [&str; 6] = ["n0", "n1", "n2", "n3", "n4", "n5"];

/// A group of daemons and the upstreams that they send to.
pub struct FileWorld {
    pub runners: Vec<Runner>,
    pub daemons: Vec<GatewayDaemon>,
}

impl FileWorld {
    /// Starts the given numbers of daemons and upstreams.
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

    /// Sends requests at a steady rate, to the given daemons in turn, without waiting for the
    /// responses of earlier ones. An attempt id begins with the index of its daemon: `d0-…`.
    pub async fn load(
        &self,
        daemons: &[usize],
        per_s: f64,
        duration: Duration,
    ) -> Vec<ClientResponse> {
        let mut requests = JoinSet::new();
        let started = Instant::now();
        for n in 0.. {
            let due = Duration::from_secs_f64(f64::from(n) / per_s);
            if due >= duration {
                break;
            }
            tokio::time::sleep_until((started + due).into()).await;
            let daemon = daemons[n as usize % daemons.len()];
            let to = self.daemons[daemon].clients;
            requests.spawn(fetch_once(to, format!("d{daemon}-{n}-{started:?}")));
        }
        requests.join_all().await
    }

    /// Counts the requests that an upstream began to run at or after `from`.
    pub fn runs_since(&self, runner: usize, from: Instant) -> usize {
        let runs = self.runners[runner].runs();
        runs.iter().filter(|run| run.at >= from).count()
    }
}

/// A response as a client received it.
pub struct ClientResponse {
    pub status: StatusCode,
    pub retry_after_s: Option<f64>,
    /// Time from connecting to the end of the response.
    pub after: Duration,
}

/// Sends one request to a daemon over a new connection.
pub async fn fetch_once(to: SocketAddr, attempt: String) -> ClientResponse {
    let sent_at = Instant::now();
    let mut client = Client::connect(to).await.expect("the daemon listens");
    let answer = client.fetch(&attempt, "/look/x", "").await;
    ClientResponse {
        status: answer.status,
        retry_after_s: answer.header("retry-after").parse().ok(),
        after: sent_at.elapsed(),
    }
}

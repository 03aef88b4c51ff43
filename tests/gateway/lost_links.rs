//! Daemons that reach no upstream while clients and the other daemons still reach them.
//!
//! The failure: callers of such daemons were served 0 of 120 requests at the first attempt, callers
//! of the others 181 of 186. The daemons answered 503 after some milliseconds, although they knew
//! all the time that the others served.

use {
    crate::{
        cut_proxy::{CutProxy, LinkState},
        support::*,
    },
    http::StatusCode,
    nix::sys::signal::Signal,
    saddlepulley_standin::runner::{CrashingPart, Runner},
    std::{
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::task::JoinSet,
};

const NAMES: [&str; 6] = ["n0", "n1", "n2", "n3", "n4", "n5"];
const RUNNERS: usize = 12;
/// Events in each response stream.
const EVENTS: u64 = 3;
/// Events of a stream that runs for some seconds.
const LONG: u64 = 200;
const ROUTES: [&TestRoute; 4] = [&IDEMPOTENT, &ONCE, &STREAM, &STREAM_ONCE];
/// Requests that clients send per second, over all daemons.
const REQUESTS_PER_S: f64 = 100.0;
/// From this time after its begin on, callers must not notice a cut.
const NOTICED_FOR: Duration = Duration::from_secs(3);
/// How long a cut lasts after that.
const WATCHED: Duration = Duration::from_secs(3);
/// How long callers are watched after the paths are restored and `NOTICED_FOR` has passed.
const WATCHED_AFTER: Duration = Duration::from_secs(2);
/// The fewest requests from whose outcomes anything is concluded.
const MIN_SENT: usize = 15;
/// A daemon that reaches no upstream may fail this many of its callers' requests, and one in
/// `ALLOWED_SHARE` more.
const ALLOWED_FAILED: usize = 10;
const ALLOWED_SHARE: usize = 50;

/// A daemon with its paths to all upstreams.
pub struct CutDaemon {
    pub daemon: GatewayDaemon,
    links: Vec<CutProxy>,
}

impl CutDaemon {
    /// Cuts or heals the paths to all upstreams.
    pub fn set_links(&self, state: LinkState) {
        for link in &self.links {
            link.set(state);
        }
    }
}

/// Daemons that reach each upstream over a path of their own.
pub struct CutWorld {
    pub runners: Vec<Runner>,
    pub daemons: Vec<CutDaemon>,
}

impl CutWorld {
    /// Starts one daemon in each of the given failure domains.
    pub async fn start(domains: &[&str]) -> Self {
        Self::start_with_events(domains, EVENTS).await
    }

    /// Does the same, with upstreams whose streams have the given number of events.
    async fn start_with_events(domains: &[&str], events: u64) -> Self {
        Self::start_with_direct(domains, events, &[]).await
    }

    /// Does the same. The paths of the given daemons can't be cut, so that they see that an upstream
    /// refuses connections.
    async fn start_with_direct(domains: &[&str], events: u64, direct: &[usize]) -> Self {
        let mut world = Self {
            runners: Vec::new(),
            daemons: Vec::new(),
        };
        for n in 0..RUNNERS {
            let runner = Runner::start(&format!("u{n}"), events).await.unwrap();
            world.runners.push(runner);
        }
        for (n, domain) in domains.iter().enumerate() {
            world.add(NAMES[n], domain, direct.contains(&n)).await;
        }
        let all_known = format!("saddlepulley_daemons {}", domains.len());
        for cut in &world.daemons {
            eventually("the daemons know each other", async || {
                cut.daemon.metrics_page().await.contains(&all_known)
            })
            .await;
        }
        world
    }

    async fn add(&mut self, name: &'static str, domain: &str, is_direct: bool) {
        let mut links = Vec::new();
        let all: Vec<&Runner> = self.runners.iter().collect();
        let mut routes = routes_file(1, &ROUTES, &all);
        for runner in self.runners.iter().filter(|_| !is_direct) {
            let link = CutProxy::start(runner.address()).await;
            let (direct, through_link) = (runner.address(), link.address());
            routes = routes.replace(&format!("\"{direct}\""), &format!("\"{through_link}\""));
            links.push(link);
        }
        let dir = TempDir::new().unwrap();
        let path = dir.path().join("routes.toml");
        fs::write(&path, routes).unwrap();
        let settings = DaemonSettings {
            name,
            source: format!("kind = \"file\"\npath = \"{}\"", path.display()),
            extra_settings: String::new(),
            seeds: self.daemons.iter().map(|d| d.daemon.peers).collect(),
            stdout: fs::File::create(dir.path().join("log")).unwrap().into(),
        };
        let daemon = GatewayDaemon::spawn_in_domain(domain, &this_build(), dir, settings);
        daemon.wait_ready().await;
        self.daemons.push(CutDaemon { daemon, links });
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.daemon.clients).collect()
    }

    fn cut(&self, daemons: &[usize], state: LinkState) {
        for n in daemons {
            self.daemons[*n].set_links(state);
        }
    }

    /// Returns how often an attempt was run by any upstream.
    fn runs(&self, attempt: &str) -> usize {
        let runs = self.runners.iter().flat_map(Runner::runs);
        runs.filter(|run| run.attempt == attempt).count()
    }
}

/// A request as its client saw it.
struct Outcome {
    daemon: usize,
    attempt: String,
    route: usize,
    sent: Instant,
    after: Duration,
    /// `None` if the daemon closed the connection without an answer.
    answer: Option<Response>,
}

impl Outcome {
    fn is_served(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|a| a.status == StatusCode::OK && a.complete)
    }
}

/// Sends requests of all kinds to the daemons in turn, at a steady rate, each over a new
/// connection.
async fn load(addresses: Vec<SocketAddr>, duration: Duration) -> Vec<Outcome> {
    let (mut requests, began) = (JoinSet::new(), Instant::now());
    for n in 0.. {
        let due = Duration::from_secs_f64(f64::from(n) / REQUESTS_PER_S);
        if due >= duration {
            break;
        }
        tokio::time::sleep_until((began + due).into()).await;
        let (daemon, n) = (n as usize % addresses.len(), n as usize);
        let route = n / addresses.len() % ROUTES.len();
        requests.spawn(fetch(daemon, addresses[daemon], route, format!("c{n}")));
    }
    requests.join_all().await
}

async fn fetch(daemon: usize, to: SocketAddr, route: usize, attempt: String) -> Outcome {
    let sent = Instant::now();
    let target = format!("{}{attempt}", ROUTES[route].prefix);
    let answer = async {
        let mut client = Client::connect(to).await?;
        client.send(request(&attempt, &target), "a body").await.ok()
    };
    Outcome {
        answer: answer.await,
        daemon,
        route,
        sent,
        after: sent.elapsed(),
        attempt,
    }
}

/// Counts the outcomes of requests that were sent in a period, and how many were served.
fn tally(outcomes: &[Outcome], daemons: &[usize], from: Instant, to: Instant) -> (usize, usize) {
    let counted = outcomes.iter().filter(|o| {
        let in_period = o.sent >= from && o.sent < to;
        in_period && daemons.contains(&o.daemon)
    });
    let all: Vec<&Outcome> = counted.collect();
    (all.len(), all.iter().filter(|o| o.is_served()).count())
}

/// Checks that callers of cut daemons are served like those of others, in a period in which a cut
/// had lasted for [`NOTICED_FOR`].
fn check_served(outcomes: &[Outcome], cut: &[usize], others: &[usize], from: Instant, to: Instant) {
    let (cut_sent, cut_served) = tally(outcomes, cut, from, to);
    let (other_sent, other_served) = tally(outcomes, others, from, to);
    let statuses = outcomes.iter().filter(|o| cut.contains(&o.daemon));
    let failed: Vec<_> = statuses
        .filter(|o| o.sent >= from && o.sent < to && !o.is_served())
        .map(|o| (o.answer.as_ref().map(|a| a.status), o.route, o.after))
        .take(12)
        .collect();
    let what = format!(
        "cut daemons served {cut_served} of {cut_sent}, the others {other_served} of {other_sent}: {failed:?}"
    );
    println!("{what}");
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    assert!(
        cut_sent >= MIN_SENT && (others.is_empty() || other_sent >= MIN_SENT),
        "{what}"
    );
    assert!(
        share(cut_served, cut_sent) >= share(other_served, other_sent) * 2.0 / 3.0,
        "{what}"
    );
    let allowed = ALLOWED_FAILED + cut_sent / ALLOWED_SHARE;
    assert!(cut_sent - cut_served <= allowed, "{what}");
}

/// Checks that no answer belongs to another request, that nothing that may not be repeated ran
/// twice, and that nothing ran that was refused as not run.
fn check_promises(world: &CutWorld, outcomes: &[Outcome]) {
    for outcome in outcomes {
        let route = ROUTES[outcome.route];
        let runs_once = !route.resumable && route.kind != "idempotent";
        let runs = world.runs(&outcome.attempt);
        let what = format!("{}{}: {runs} runs", route.prefix, outcome.attempt);
        assert!(!runs_once || runs <= 1, "{what}");
        let Some(answer) = &outcome.answer else {
            continue;
        };
        let is_refusal = matches!(answer.status.as_u16(), 408 | 421 | 429 | 503);
        assert!(!(is_refusal && runs_once && runs > 0), "{what}, {answer:?}");
        if outcome.is_served() && route.kind == "streaming" {
            let events: String = (1..=EVENTS)
                .map(|n| format!("id: {n}\ndata: event {n}\n\n"))
                .collect();
            assert_eq!(answer.body, events, "{what}");
        }
        if outcome.is_served() && route.kind != "streaming" {
            assert!(answer.body.contains(&outcome.attempt), "{what}, {answer:?}");
        }
    }
}

/// Cuts the paths of some daemons, and checks what their callers get from `NOTICED_FOR` on, and
/// after the paths are restored.
async fn cut_and_check(domains: &[&str], cut: &[usize], state: LinkState) {
    cut_in_and_check(&CutWorld::start(domains).await, cut, state).await;
}

async fn cut_in_and_check(world: &CutWorld, cut: &[usize], state: LinkState) {
    let all = 0..world.daemons.len();
    let others: Vec<usize> = all.filter(|n| !cut.contains(n)).collect();
    let warm_up = Duration::from_secs(1);
    let duration = warm_up + NOTICED_FOR + WATCHED + NOTICED_FOR + WATCHED_AFTER;
    let load = tokio::spawn(load(world.addresses(), duration));
    tokio::time::sleep(warm_up).await;
    let began = Instant::now();
    world.cut(cut, state);
    tokio::time::sleep(NOTICED_FOR + WATCHED).await;
    let ended = Instant::now();
    world.cut(cut, LinkState::Up);
    let outcomes = load.await.unwrap();
    check_promises(world, &outcomes);
    check_served(&outcomes, cut, &others, began + NOTICED_FOR, ended);
    let healed = ended + NOTICED_FOR;
    check_served(
        &outcomes,
        cut,
        &others,
        healed,
        healed + Duration::from_secs(1),
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_by_daemons_whose_connections_to_upstreams_are_reset_and_refused() {
    cut_and_check(&["a"; 6], &[0, 3], LinkState::Reset).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_by_members_that_lost_all_hubs() {
    let world = CutWorld::start(&["a"; 6]).await;
    let (mut cut, mut members) = (Vec::new(), Vec::new());
    eventually("three daemons are hubs", async || {
        (cut, members) = (Vec::new(), Vec::new());
        for (n, cut_daemon) in world.daemons.iter().enumerate() {
            match metric(&cut_daemon.daemon, "saddlepulley_is_hub ").await > 0.0 {
                true => cut.push(n),
                false => members.push(n),
            }
        }
        cut.len() == 3
    })
    .await;
    cut.extend(members.split_off(1));
    cut_in_and_check(&world, &cut, LinkState::Silent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_by_daemons_that_can_open_no_new_connections_to_upstreams() {
    cut_and_check(&["a"; 6], &[0, 3], LinkState::NewRefused).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_by_daemons_whose_connections_to_upstreams_hang() {
    cut_and_check(&["a"; 6], &[0, 3], LinkState::Silent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_if_most_daemons_reach_no_upstream() {
    cut_and_check(&["a"; 6], &[0, 1, 2, 3, 4], LinkState::Silent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_if_all_daemons_of_a_failure_domain_reach_no_upstream() {
    let domains = ["a", "b", "a", "b", "a", "b"];
    cut_and_check(&domains, &[0, 2, 4], LinkState::Silent).await;
}

/// Sends the same request for a stream to a daemon until one runs at each upstream, and then cuts the
/// daemon's paths.
async fn cut_while_streams_run(world: &CutWorld, cut: usize) {
    let to = world.daemons[cut].daemon.clients;
    let mut streams = JoinSet::new();
    eventually("one runs at each upstream", async || {
        let attempt = format!("s{}", streams.len());
        streams.spawn(async move {
            let mut client = Client::connect(to).await.unwrap();
            let sent = client.send(request(&attempt, "/stream/once/x"), "the same");
            sent.await.ok()
        });
        world.runners.iter().all(|runner| !runner.runs().is_empty())
    })
    .await;
    world.cut(&[cut], LinkState::Reset);
    streams.join_all().await;
    // The daemon checks within this time whether the upstreams have crashed.
    tokio::time::sleep(Duration::from_secs(1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_not_held_back_because_its_daemon_lost_its_paths_while_it_ran() {
    let world = CutWorld::start_with_events(&["a"; 2], LONG).await;
    cut_while_streams_run(&world, 0).await;
    world.cut(&[0], LinkState::Up);
    for cut in &world.daemons {
        let held = metric(&cut.daemon, "saddlepulley_held_requests").await;
        let crashes = metric(&cut.daemon, "saddlepulley_ended_upstreams_total").await;
        let answer = cut
            .daemon
            .client()
            .await
            .fetch("again", "/stream/once/x", "the same")
            .await;
        assert_eq!((held, crashes, answer.status), (0.0, 0.0, StatusCode::OK));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstreams_are_not_rated_by_connections_that_a_daemon_lost_with_its_paths() {
    let world = CutWorld::start_with_events(&["a"; 2], LONG).await;
    cut_while_streams_run(&world, 0).await;
    world.cut(&[0], LinkState::Up);
    let cut = &world.daemons[0].daemon;
    for n in 0..20 {
        let answer = cut
            .client()
            .await
            .fetch(&format!("later{n}"), "/look/x", "")
            .await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let placed = || {
        let log = fs::read_to_string(cut.dir.path().join("log")).unwrap();
        let lines = log.lines().filter(|l| l.contains("request=later"));
        let placed = lines.filter(|l| l.contains("request placed."));
        placed.map(String::from).collect::<Vec<String>>()
    };
    // Lines are written in the background, at times after the answers.
    eventually("all lines are written", async || placed().len() >= 20).await;
    assert_eq!(placed().len(), 20);
    for line in placed() {
        assert!(line.contains("failure_rate=0.00"), "{line}");
    }
}

/// Sends requests with a part that crashes upstreams, two for each upstream one after the other, so that
/// the second one runs when the first one crashes it. The upstreams are up again when it returns.
async fn send_crashing(to: SocketAddr, round: usize) {
    let mut requests = JoinSet::new();
    for n in 0..2 * RUNNERS {
        let attempt = format!("bad-{round}-{n}");
        let head = request(&attempt, "/stream/once/x")
            .header("saddlepulley-prompt-parts", format!("bad:100,{attempt}:50"))
            .header("saddlepulley-token-count", "150,80");
        requests.spawn(async move {
            let mut client = Client::connect(to).await?;
            client.send(head, &attempt).await.ok()
        });
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    requests.join_all().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// Guards against parts held back in vain: a relay passed an answer on as whole that ended with a crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_answer_that_a_crash_cut_off_clears_no_part() {
    let world = CutWorld::start_with_direct(&["a"; 2], LONG, &[1]).await;
    for runner in &world.runners {
        runner.set_unframed();
        runner.set_crashing_parts(vec![CrashingPart {
            id: "bad".into(),
            before_head: false,
            inside_event: true,
            delay: Duration::from_millis(100),
        }]);
    }
    let addresses = world.addresses();
    world.cut(&[0], LinkState::Reset);
    send_crashing(addresses[1], 0).await;
    for round in 1..=3 {
        send_crashing(addresses[0], round).await;
    }
    let log = |n: usize| fs::read_to_string(world.daemons[n].daemon.dir.path().join("log"));
    let (cut, relay) = (log(0).unwrap(), log(1).unwrap());
    assert!(cut.contains("stream completed. request=bad"));
    assert!(relay.contains("upstream crashed while running requests"));
    for line in cut.lines().chain(relay.lines()) {
        assert!(!line.contains("part cleared of crashes"), "{line}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_to_which_some_daemons_lost_their_paths_gets_its_share_of_requests() {
    let world = CutWorld::start(&["a"; 6]).await;
    let mut dependents = Vec::new();
    for cut in &world.daemons {
        if metric(&cut.daemon, "saddlepulley_is_hub").await == 0.0 {
            dependents.push(cut);
        }
    }
    assert_eq!(dependents.len(), 3);
    for cut in dependents {
        cut.links[0].set(LinkState::Reset);
    }
    load(world.addresses(), Duration::from_secs(5)).await;
    let runs: Vec<usize> = world.runners.iter().map(|r| r.runs().len()).collect();
    let mean = runs[1..].iter().sum::<usize>() / (RUNNERS - 1);
    assert!(runs[0] * 2 > mean, "{runs:?}");
}

/// Cuts two of six daemons, disturbs another one meanwhile, and checks that the callers of the cut ones
/// are served as well as those of the daemons that are neither cut nor disturbed.
async fn disturb_a_relay(disturb: impl AsyncFnOnce(&mut CutDaemon)) {
    let mut world = CutWorld::start(&["a"; 6]).await;
    let (cut, disturbed, others) = ([0, 3], 1, [2, 4, 5]);
    let load = tokio::spawn(load(world.addresses(), Duration::from_secs(9)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let began = Instant::now();
    world.cut(&cut, LinkState::Silent);
    tokio::time::sleep(NOTICED_FOR).await;
    disturb(&mut world.daemons[disturbed]).await;
    let outcomes = load.await.unwrap();
    check_promises(&world, &outcomes);
    let watched = began + NOTICED_FOR;
    check_served(
        &outcomes,
        &cut,
        &others,
        watched,
        watched + Duration::from_secs(5),
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_cut_daemons_are_served_if_a_relay_is_killed() {
    disturb_a_relay(async |relay| relay.daemon.signal(Signal::SIGKILL)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_cut_daemons_are_served_if_a_relay_is_frozen() {
    disturb_a_relay(async |relay| {
        relay.daemon.signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_secs(2)).await;
        relay.daemon.signal(Signal::SIGCONT);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_cut_daemons_are_served_if_a_relay_loses_its_paths_too() {
    disturb_a_relay(async |relay| relay.set_links(LinkState::Reset)).await;
}

/// Nothing that a relay has taken is cut off by its graceful stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_stop_of_a_relay_cuts_off_no_request() {
    let mut world = CutWorld::start_with_events(&["a"; 2], LONG).await;
    world.cut(&[0], LinkState::Reset);
    let to = world.daemons[0].daemon.clients;
    eventually("relayed", async || {
        let outcome = fetch(0, to, 0, "first".into()).await;
        outcome.is_served()
    })
    .await;
    let mut streams = JoinSet::new();
    for n in 0..10 {
        streams.spawn(fetch(0, to, 3, format!("s{n}")));
    }
    eventually("all run", async || {
        let runs = world.runners.iter().flat_map(Runner::runs);
        runs.filter(|run| run.attempt.starts_with('s')).count() == 10
    })
    .await;
    world.daemons[1].daemon.signal(Signal::SIGTERM);
    let outcomes = streams.join_all().await;
    let served = outcomes.iter().filter(|o| o.is_served()).count();
    assert_eq!(served, 10);
    assert!(world.daemons[1].daemon.wait_end().await);
}

/// How long a request may be held that can't be served.
const REFUSED_WITHIN: Duration = Duration::from_millis(250);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_as_not_run_while_no_daemon_reaches_an_upstream() {
    let world = CutWorld::start(&["a"; 6]).await;
    let load = tokio::spawn(load(world.addresses(), Duration::from_secs(6)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let began = Instant::now();
    world.cut(&[0, 1, 2, 3, 4, 5], LinkState::Silent);
    let outcomes = load.await.unwrap();
    check_promises(&world, &outcomes);
    let late: Vec<&Outcome> = outcomes
        .iter()
        .filter(|o| o.sent >= began + NOTICED_FOR)
        .collect();
    assert!(late.len() > 100);
    for outcome in late {
        let answer = outcome.answer.as_ref().expect("an answer");
        let what = format!(
            "{} {:?} {:?}",
            outcome.attempt, answer.status, outcome.after
        );
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{what}");
        assert!(outcome.after < REFUSED_WITHIN, "{what}");
        assert!(!answer.header("retry-after").is_empty(), "{what}");
    }
    world.cut(&[0, 1, 2, 3, 4, 5], LinkState::Up);
    let healed = Instant::now();
    let after = self::load(world.addresses(), Duration::from_secs(5)).await;
    let all: Vec<usize> = (0..6).collect();
    check_served(
        &after,
        &all,
        &[],
        healed + NOTICED_FOR,
        healed + Duration::from_secs(5),
    );
}

/// Three daemons by turns, in the three ways and overlapping.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_while_daemons_lose_their_paths_by_turns() {
    let world = CutWorld::start(&["a"; 6]).await;
    let load = tokio::spawn(load(world.addresses(), Duration::from_secs(14)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let began = Instant::now();
    for (n, state) in [
        (0, LinkState::Silent),
        (1, LinkState::Reset),
        (2, LinkState::NewRefused),
    ] {
        world.cut(&[n], state);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    world.cut(&[0], LinkState::Up);
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.cut(&[1, 2], LinkState::Up);
    let outcomes = load.await.unwrap();
    check_promises(&world, &outcomes);
    let watched = began + NOTICED_FOR;
    let until = began + Duration::from_secs(13);
    check_served(&outcomes, &[0, 1, 2], &[3, 4, 5], watched, until);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_pass_through_a_relay_unchanged() {
    let world = CutWorld::start(&["a"; 2]).await;
    world.cut(&[0], LinkState::Reset);
    let to = world.daemons[0].daemon.clients;
    eventually("relayed", async || {
        fetch(0, to, 0, "first".into()).await.is_served()
    })
    .await;
    // The upstream sends the request's body back.
    let body = "0123456789abcdef".repeat(64 * 1_024);
    let mut client = Client::connect(to).await.unwrap();
    for n in 0..4 {
        let answer = client.fetch(&format!("large{n}"), "/look/x", &body).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.complete && answer.body.ends_with(&body), "{n}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_disconnects_cancels_its_relayed_request() {
    let world = CutWorld::start_with_events(&["a"; 2], LONG).await;
    world.cut(&[0], LinkState::Reset);
    let to = world.daemons[0].daemon.clients;
    eventually("relayed", async || {
        fetch(0, to, 0, "first".into()).await.is_served()
    })
    .await;
    let client = Client::connect(to).await.unwrap();
    client
        .fetch_head_and_disconnect("left", "/stream/once/x")
        .await;
    let left = Instant::now();
    eventually("cancelled", async || {
        world.runners.iter().map(Runner::abandoned).sum::<u64>() == 1
    })
    .await;
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "{:?}",
        left.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_is_not_ready_while_neither_it_nor_another_one_reaches_an_upstream() {
    let world = CutWorld::start(&["a"; 2]).await;
    let load = tokio::spawn(load(world.addresses(), Duration::from_secs(12)));
    let is_ready = async |n: usize| {
        let status = world.daemons[n].daemon.readiness_status().await;
        status == Some(StatusCode::OK)
    };
    world.cut(&[0], LinkState::Reset);
    tokio::time::sleep(NOTICED_FOR).await;
    assert!(is_ready(0).await && is_ready(1).await);
    world.cut(&[1], LinkState::Reset);
    tokio::time::sleep(NOTICED_FOR).await;
    assert!(!is_ready(0).await && !is_ready(1).await);
    world.cut(&[1], LinkState::Up);
    tokio::time::sleep(NOTICED_FOR).await;
    assert!(is_ready(0).await && is_ready(1).await);
    load.await.unwrap();
}

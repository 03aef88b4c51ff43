//! Load on several daemon processes while a seeded schedule kills, freezes, gracefully stops
//! and replaces them and makes runners faulty. The guarantees to clients are then checked
//! against the requests that the runners ran and the responses that the clients received.
//!
//! `SADDLEPULLEY_SOAK_S=60 SADDLEPULLEY_SOAK_SEED=7 cargo test --test gateway soak`

use {
    crate::support::*,
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    saddlepulley_standin::runner::{Behaviour, Runner},
    std::{
        collections::HashMap,
        env,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Duration of the soak in seconds unless `SADDLEPULLEY_SOAK_S` is set.
const SHORT_S: u64 = 6;
const DAEMONS: usize = 4;
const RUNNERS: usize = 4;
const WORKERS: usize = 12;
/// Events in each response stream of a runner.
const EVENTS: u64 = 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Behaviours of which one is chosen for a faulty runner.
const FAULTY_BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::Refuse,
    Behaviour::LoseAnswer,
    Behaviour::CutStream(7),
    Behaviour::Hang,
    Behaviour::Fail,
    Behaviour::BareUnavailable,
    Behaviour::WrongAttempt,
];
const ROUTES: [&TestRoute; 4] = [&IDEMPOTENT, &ONCE, &STREAM, &STREAM_ONCE];

fn from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// A daemon of the soak, and the faults that were injected into it.
struct Member {
    daemon: GatewayDaemon,
    /// Set when the daemon is killed or frozen, after which its connections may break.
    was_killed_or_frozen: Arc<AtomicBool>,
    /// When it was sent SIGTERM.
    stopped_at: Arc<Mutex<Option<Instant>>>,
}

impl Member {
    async fn start(routes: &str) -> Self {
        Self {
            daemon: GatewayDaemon::start(routes).await,
            was_killed_or_frozen: Arc::default(),
            stopped_at: Arc::default(),
        }
    }
}

type Members = Arc<Mutex<Vec<Member>>>;

/// A request and its outcome for the client.
struct SentRequest {
    attempt: String,
    route: usize,
    target: String,
    /// `None` if the connection broke, or after a timeout, without a response.
    answer: Option<Response>,
    /// The daemon was neither killed nor frozen, and not stopped before the request began.
    only_stopped: bool,
}

async fn fetch(members: &Members, attempt: &str, rng: &mut ChaCha8Rng) -> Option<SentRequest> {
    let route = rng.random_range(0..ROUTES.len());
    let target = format!("{}{attempt}", ROUTES[route].prefix);
    let (address, was_killed_or_frozen, stopped_at) = {
        let members = members.lock().unwrap();
        let member = members.choose(rng)?;
        let marks = (
            member.was_killed_or_frozen.clone(),
            member.stopped_at.clone(),
        );
        (member.daemon.clients, marks.0, marks.1)
    };
    let began = Instant::now();
    let mut client = Client::connect(address).await?;
    let sent = client.send(request(attempt, &target), attempt);
    let answer = tokio::time::timeout(CALL_TIMEOUT, sent).await;
    let stopped_at = *stopped_at.lock().unwrap();
    Some(SentRequest {
        attempt: attempt.to_string(),
        route,
        target,
        answer: answer.ok().and_then(Result::ok),
        only_stopped: !was_killed_or_frozen.load(Ordering::SeqCst)
            && stopped_at.is_none_or(|at| began < at),
    })
}

async fn load(members: Members, seed: u64, worker: u64, stop: Arc<AtomicBool>) -> Vec<SentRequest> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + worker);
    let mut all = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let attempt = format!("a{}", NEXT.fetch_add(1, Ordering::SeqCst));
        match fetch(&members, &attempt, &mut rng).await {
            Some(sent_request) => all.push(sent_request),
            None => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    all
}

/// Kills, freezes or gracefully stops a randomly chosen daemon, and replaces one that exits.
async fn inject_daemon_fault(members: &Members, routes: &str, rng: &mut ChaCha8Rng) {
    let kind = rng.random_range(0..3);
    let mut member = {
        let mut members = members.lock().unwrap();
        let index = rng.random_range(0..members.len());
        members.swap_remove(index)
    };
    match kind {
        0 => {
            member.was_killed_or_frozen.store(true, Ordering::SeqCst);
            member.daemon.signal(Signal::SIGKILL);
        }
        1 => {
            member.was_killed_or_frozen.store(true, Ordering::SeqCst);
            member.daemon.signal(Signal::SIGSTOP);
            let pause_ms = rng.random_range(200..1_500);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            member.daemon.signal(Signal::SIGCONT);
            members.lock().unwrap().push(member);
            return;
        }
        _ => {
            *member.stopped_at.lock().unwrap() = Some(Instant::now());
            member.daemon.signal(Signal::SIGTERM);
            assert!(
                member.daemon.wait_end().await,
                "a graceful stop exits with success"
            );
        }
    }
    let fresh = Member::start(routes).await;
    members.lock().unwrap().push(fresh);
}

/// Makes a randomly chosen runner faulty for a short time.
async fn inject_runner_fault(runners: &[Runner], rng: &mut ChaCha8Rng) {
    let runner = runners.choose(rng).expect("there is at least one runner");
    runner.set_behaviour(
        *FAULTY_BEHAVIOURS
            .choose(rng)
            .expect("FAULTY_BEHAVIOURS is not empty"),
    );
    let faulty_ms = rng.random_range(200..800);
    tokio::time::sleep(Duration::from_millis(faulty_ms)).await;
    runner.set_behaviour(Behaviour::Serve);
}

fn events() -> String {
    (1..=EVENTS)
        .map(|n| format!("id: {n}\ndata: event {n}\n\n"))
        .collect()
}

/// Describes the guarantee that a request's outcome violates, if any.
fn violated_guarantee(sent_request: &SentRequest, runs: usize) -> Option<&'static str> {
    let route = ROUTES[sent_request.route];
    let is_stream = route.kind == "streaming";
    let runs_once = route.kind == "non-idempotent" || (is_stream && !route.resumable);
    if runs_once && runs > 1 {
        return Some("ran more than once");
    }
    if runs > route.max_attempts as usize {
        return Some("was sent to more upstreams than its route allows");
    }
    let Some(answer) = &sent_request.answer else {
        return sent_request
            .only_stopped
            .then_some("cut off by a graceful stop");
    };
    if matches!(answer.status.as_u16(), 408 | 421 | 429 | 503) && runs_once && runs > 0 {
        return Some("ran, but got a status that says that it has not");
    }
    if !answer.status.is_success() || !answer.complete {
        return None;
    }
    let is_own = match is_stream {
        true => answer.body == events(),
        false => answer.body.ends_with(&format!(
            " {} {}",
            sent_request.target, sent_request.attempt
        )),
    };
    (!is_own).then_some("got a response that is not its own")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak_guarantees_hold_under_kills_freezes_stops_and_faulty_runners() {
    let seed = from_env("SADDLEPULLEY_SOAK_SEED", 1);
    let length = Duration::from_secs(from_env("SADDLEPULLEY_SOAK_S", SHORT_S));
    let mut runners = Vec::new();
    for n in 0..RUNNERS {
        runners.push(Runner::start(&format!("r{n}"), EVENTS).await.unwrap());
    }
    let routes = routes_file(1, &ROUTES, &runners.iter().collect::<Vec<_>>());
    let routes = routes.replace("100000.0", "100000000.0");
    let members = Members::default();
    for _ in 0..DAEMONS {
        let member = Member::start(&routes).await;
        members.lock().unwrap().push(member);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut workers = JoinSet::new();
    for worker in 0..WORKERS as u64 {
        workers.spawn(load(members.clone(), seed, worker, stop.clone()));
    }
    let ends = Instant::now() + length;
    let daemon_faults = async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while Instant::now() < ends {
            let pause_ms = rng.random_range(50..600);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            inject_daemon_fault(&members, &routes, &mut rng).await;
        }
    };
    let runner_faults = async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
        while Instant::now() < ends {
            inject_runner_fault(&runners, &mut rng).await;
            let pause_ms = rng.random_range(50..400);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    };
    tokio::join!(daemon_faults, runner_faults);
    stop.store(true, Ordering::SeqCst);
    let all: Vec<SentRequest> = workers.join_all().await.into_iter().flatten().collect();

    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in runners.iter().flat_map(Runner::runs) {
        *runs.entry(run.attempt).or_default() += 1;
    }
    let violations: Vec<String> = all
        .iter()
        .filter_map(|sent_request| {
            let runs = runs.get(&sent_request.attempt).copied().unwrap_or(0);
            let violation = violated_guarantee(sent_request, runs)?;
            let status = sent_request.answer.as_ref().map(|a| a.status);
            Some(format!(
                "{} {violation}: runs {runs}, {status:?}",
                sent_request.target
            ))
        })
        .collect();
    let served = all.iter().filter_map(|a| a.answer.as_ref());
    let served = served
        .filter(|a| a.status.is_success() && a.complete)
        .count();
    println!(
        "seed {seed}: {} requests, {served} served completely",
        all.len()
    );
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(
        served * 2 > all.len(),
        "seed {seed}: {served} of {}",
        all.len()
    );
}

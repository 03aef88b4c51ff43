//! Everything at once on the routed path: load over several daemons, as
//! processes of their own, while a seeded schedule kills, freezes, stops and
//! replaces them and spoils runners. Then promises are checked from what the
//! runners ran and what the callers got.
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

const SHORT_S: u64 = 6;
const DAEMONS: usize = 4;
const RUNNERS: usize = 4;
const WORKERS: usize = 12;
const EVENTS: u64 = 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
const SPOILED: [Behaviour; 7] = [
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

/// A daemon of the soak, and what was done to it.
struct Member {
    daemon: GatewayDaemon,
    /// Killed or frozen: its connections may break.
    harmed: Arc<AtomicBool>,
    stopped_at: Arc<Mutex<Option<Instant>>>,
}

impl Member {
    async fn start(routes: &str) -> Self {
        Self {
            daemon: GatewayDaemon::start(routes).await,
            harmed: Arc::default(),
            stopped_at: Arc::default(),
        }
    }
}

type Members = Arc<Mutex<Vec<Member>>>;

/// A request and how it ended for its caller.
struct Asked {
    attempt: String,
    route: usize,
    target: String,
    /// None if the connection broke without an answer.
    answer: Option<Answer>,
    /// The daemon was only ever stopped as planned, after the request began.
    only_stopped: bool,
}

async fn ask(members: &Members, attempt: &str, rng: &mut ChaCha8Rng) -> Option<Asked> {
    let route = rng.random_range(0..ROUTES.len());
    let target = format!("{}{attempt}", ROUTES[route].prefix);
    let (address, harmed, stopped_at) = {
        let members = members.lock().unwrap();
        let member = members.choose(rng)?;
        let marks = (member.harmed.clone(), member.stopped_at.clone());
        (member.daemon.clients, marks.0, marks.1)
    };
    let began = Instant::now();
    let mut client = Client::connect(address).await?;
    let sent = client.send(request(attempt, &target), attempt);
    let answer = tokio::time::timeout(CALL_TIMEOUT, sent).await;
    let stopped_at = *stopped_at.lock().unwrap();
    Some(Asked {
        attempt: attempt.to_string(),
        route,
        target,
        answer: answer.ok().and_then(Result::ok),
        only_stopped: !harmed.load(Ordering::SeqCst) && stopped_at.is_none_or(|at| began < at),
    })
}

async fn load(members: Members, seed: u64, worker: u64, stop: Arc<AtomicBool>) -> Vec<Asked> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + worker);
    let mut all = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let attempt = format!("a{}", NEXT.fetch_add(1, Ordering::SeqCst));
        match ask(&members, &attempt, &mut rng).await {
            Some(asked) => all.push(asked),
            None => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    all
}

/// Does something to one daemon; one that ends is replaced.
async fn harm_daemon(members: &Members, routes: &str, rng: &mut ChaCha8Rng) {
    let kind = rng.random_range(0..3);
    let mut member = {
        let mut members = members.lock().unwrap();
        let index = rng.random_range(0..members.len());
        members.swap_remove(index)
    };
    match kind {
        0 => {
            member.harmed.store(true, Ordering::SeqCst);
            member.daemon.signal(Signal::SIGKILL);
        }
        1 => {
            member.harmed.store(true, Ordering::SeqCst);
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
            assert!(member.daemon.wait_end().await, "a planned stop ends well");
        }
    }
    let fresh = Member::start(routes).await;
    members.lock().unwrap().push(fresh);
}

async fn spoil(runners: &[Runner], rng: &mut ChaCha8Rng) {
    let runner = runners.choose(rng).expect("there are runners");
    runner.set_behaviour(*SPOILED.choose(rng).expect("there are kinds"));
    let spoiled_ms = rng.random_range(200..800);
    tokio::time::sleep(Duration::from_millis(spoiled_ms)).await;
    runner.set_behaviour(Behaviour::Serve);
}

fn events() -> String {
    (1..=EVENTS)
        .map(|n| format!("id: {n}\ndata: event {n}\n\n"))
        .collect()
}

/// Says which promise an answer breaks, if any.
fn broken_promise(asked: &Asked, runs: usize) -> Option<&'static str> {
    let route = ROUTES[asked.route];
    let is_stream = route.kind == "streaming";
    let runs_once = route.kind == "non-idempotent" || (is_stream && !route.resumable);
    if runs_once && runs > 1 {
        return Some("ran more than once");
    }
    if runs > route.max_attempts as usize {
        return Some("was sent to more upstreams than its route allows");
    }
    let Some(answer) = &asked.answer else {
        return asked.only_stopped.then_some("cut off by a planned stop");
    };
    if matches!(answer.status.as_u16(), 408 | 421 | 429 | 503) && runs_once && runs > 0 {
        return Some("was told that it has not run");
    }
    if !answer.status.is_success() || !answer.whole {
        return None;
    }
    let is_own = match is_stream {
        true => answer.body == events(),
        false => answer
            .body
            .ends_with(&format!(" {} {}", asked.target, asked.attempt)),
    };
    (!is_own).then_some("got another answer than its own whole one")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak_promises_hold_under_kills_freezes_stops_and_spoiled_runners() {
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
    let harm = async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while Instant::now() < ends {
            let pause_ms = rng.random_range(50..600);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            harm_daemon(&members, &routes, &mut rng).await;
        }
    };
    let spoils = async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
        while Instant::now() < ends {
            spoil(&runners, &mut rng).await;
            let pause_ms = rng.random_range(50..400);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    };
    tokio::join!(harm, spoils);
    stop.store(true, Ordering::SeqCst);
    let all: Vec<Asked> = workers.join_all().await.into_iter().flatten().collect();

    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in runners.iter().flat_map(Runner::runs) {
        *runs.entry(run.attempt).or_default() += 1;
    }
    let broken: Vec<String> = all
        .iter()
        .filter_map(|asked| {
            let runs = runs.get(&asked.attempt).copied().unwrap_or(0);
            let promise = broken_promise(asked, runs)?;
            let status = asked.answer.as_ref().map(|a| a.status);
            Some(format!(
                "{} {promise}: runs {runs}, {status:?}",
                asked.target
            ))
        })
        .collect();
    let served = all.iter().filter_map(|a| a.answer.as_ref());
    let served = served.filter(|a| a.status.is_success() && a.whole).count();
    println!("seed {seed}: {} requests, {served} served whole", all.len());
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    assert!(
        served * 2 > all.len(),
        "seed {seed}: {served} of {}",
        all.len()
    );
}

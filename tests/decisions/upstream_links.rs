//! Which path a daemon takes to upstreams that it can't connect to itself.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{names::UpstreamId, policy::*},
    std::net::SocketAddr,
};

const UPSTREAMS: usize = 12;
const RELAYS: usize = 4;
/// More upstreams than a daemon has to fail at before it counts as isolated.
const MANY: usize = 1_500;

fn upstream(n: usize) -> UpstreamId {
    UpstreamId::from(format!("u{n}").as_str())
}

fn all() -> Vec<UpstreamId> {
    (0..UPSTREAMS).map(upstream).collect()
}

fn daemon(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7_000))
}

fn fail(links: &mut UpstreamLinks, n: usize, failure: LinkFailure, now_ms: u64) {
    links.record_failed(&upstream(n), failure, UPSTREAMS, now_ms);
}

fn reached(links: &mut UpstreamLinks, by: usize, n: usize, is_reached: bool) {
    links.record_reached(daemon(by), &[upstream(n)], &[is_reached]);
}

#[test]
fn an_upstream_that_another_daemon_reaches_is_reached_through_it_until_the_own_path_is_back() {
    let mut links = UpstreamLinks::default();
    assert_eq!(links.path(&upstream(1)), LinkPath::Direct);
    fail(&mut links, 1, LinkFailure::TimedOut, 0);
    assert_eq!(links.path(&upstream(1)), LinkPath::Direct);
    reached(&mut links, 2, 1, true);
    let relayed = LinkPath::Relayed(vec![daemon(2)]);
    assert_eq!(links.path(&upstream(1)), relayed);
    assert_eq!(links.path(&upstream(3)), LinkPath::Direct);
    links.record_opened(&upstream(3), 20);
    assert_eq!(links.path(&upstream(1)), relayed);
    links.record_opened(&upstream(1), 30);
    assert_eq!(links.path(&upstream(1)), LinkPath::Direct);
}

#[test]
fn an_upstream_that_no_daemon_reaches_is_not_taken_for_a_lost_path() {
    let mut links = UpstreamLinks::default();
    fail(&mut links, 1, LinkFailure::Refused, 0);
    let queried = links.to_query(10, 0);
    assert_eq!(queried, [upstream(1)]);
    reached(&mut links, 2, 1, false);
    assert_eq!(links.unreached(&queried), queried);
    assert_eq!(links.verdict(&upstream(1)), LinkVerdict::Upstream);
    assert!(!links.is_isolated());
    assert_eq!(links.path(&upstream(1)), LinkPath::Direct);
}

#[test]
fn an_isolated_daemon_sends_to_untried_upstreams_through_a_daemon_that_reaches_another_one() {
    let mut links = UpstreamLinks::default();
    for n in 0..24 {
        assert!(!links.is_isolated(), "after {n}");
        links.record_failed(&upstream(n), LinkFailure::TimedOut, MANY, 0);
    }
    assert!(links.is_cut_off());
    assert_eq!(links.path(&upstream(0)), LinkPath::None);
    assert_eq!(links.path(&upstream(30)), LinkPath::Direct);
    reached(&mut links, 3, 0, true);
    assert!(!links.is_cut_off());
    let relayed = LinkPath::Relayed(vec![daemon(3)]);
    for n in [0, 1, 30] {
        assert_eq!(links.path(&upstream(n)), relayed, "u{n}");
    }
    // The daemon does not reach this one either.
    reached(&mut links, 3, 1, false);
    assert_eq!(links.path(&upstream(1)), LinkPath::None);
}

#[test]
fn an_isolated_daemon_without_relays_still_tries_upstreams_that_refuse_at_once() {
    let mut links = UpstreamLinks::default();
    links.record_failed(&upstream(0), LinkFailure::Refused, 1, 0);
    assert!(links.is_isolated());
    assert_eq!(links.path(&upstream(0)), LinkPath::Direct);
}

#[test]
fn isolation_ends_with_the_upstreams_that_it_was_concluded_from() {
    let mut links = UpstreamLinks::default();
    links.record_failed(&upstream(0), LinkFailure::TimedOut, 1, 0);
    assert!(links.is_isolated());
    links.retain(|id| *id != upstream(0));
    assert!(!links.is_isolated());
    assert_eq!(links.path(&upstream(1)), LinkPath::Direct);
}

#[test]
fn a_relay_that_fails_is_not_used_again_at_once() {
    let mut links = UpstreamLinks::default();
    fail(&mut links, 1, LinkFailure::Refused, 0);
    reached(&mut links, 2, 1, true);
    reached(&mut links, 3, 1, true);
    links.record_relay_failed(daemon(3), 100);
    let relayed = LinkPath::Relayed(vec![daemon(2)]);
    assert_eq!(links.path(&upstream(1)), relayed);
    assert!(!links.is_usable(daemon(3), 500));
    assert!(links.is_usable(daemon(3), 2_000));
}

/// Paths of the own daemon and of others to all upstreams, which change at random.
struct Paths {
    own: [bool; UPSTREAMS],
    others: [[bool; UPSTREAMS]; RELAYS],
}

impl Paths {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let share = [0.0, 0.2, 0.9, 1.0][rng.random_range(0..4)];
        let others = [0.0, 0.5, 1.0][rng.random_range(0..3)];
        let mut draw = |share| std::array::from_fn(|_| rng.random_bool(share));
        Self {
            own: draw(share),
            others: std::array::from_fn(|_| draw(others)),
        }
    }

    fn connect(&self, links: &mut UpstreamLinks, id: &UpstreamId, now_ms: u64) {
        let n: usize = id.as_str()[1..].parse().unwrap();
        match self.own[n] {
            true => links.record_opened(id, now_ms),
            false => links.record_failed(id, LinkFailure::TimedOut, UPSTREAMS, now_ms),
        };
    }

    /// Looks after the links once, as the daemon's task does.
    fn watch(&self, links: &mut UpstreamLinks, now_ms: u64) {
        let queried = links.to_query(usize::MAX, now_ms);
        for (n, reaches) in self.others.iter().enumerate() {
            if links.is_usable(daemon(n), now_ms) && !queried.is_empty() {
                let reached: Vec<bool> = queried
                    .iter()
                    .map(|id| reaches[id.as_str()[1..].parse::<usize>().unwrap()])
                    .collect();
                match reaches.contains(&true) {
                    true => drop(links.record_reached(daemon(n), &queried, &reached)),
                    false => links.record_isolated(daemon(n), now_ms),
                }
            }
        }
        let known = all();
        for id in links.to_probe(known.iter(), 8, now_ms) {
            self.connect(links, &id, now_ms);
        }
    }
}

/// Returns whether an attempt gets to an upstream, and records its outcome.
fn attempt(links: &mut UpstreamLinks, paths: &Paths, n: usize, now_ms: u64) -> bool {
    match links.path(&upstream(n)) {
        LinkPath::Direct => {
            paths.connect(links, &upstream(n), now_ms);
            paths.own[n]
        }
        LinkPath::Relayed(relays) => {
            let is_reached = |relay: &SocketAddr| {
                let other = (0..RELAYS).find(|other| daemon(*other) == *relay);
                paths.others[other.unwrap()][n]
            };
            for relay in relays.iter().filter(|relay| !is_reached(relay)) {
                links.record_relay_failed(*relay, now_ms);
            }
            relays.iter().any(is_reached)
        }
        LinkPath::None => false,
    }
}

/// In each schedule, paths change some times, each time for five seconds. By then each upstream that
/// any daemon reaches gets requests within a few attempts, and is reached directly if it can be.
#[test]
fn upstreams_are_reached_by_the_own_path_or_through_a_daemon_that_reaches_them() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut links = UpstreamLinks::default();
        let mut now_ms = 0;
        for _ in 0..6 {
            let paths = Paths::draw(&mut rng);
            for _ in 0..50 {
                now_ms += 100;
                attempt(&mut links, &paths, rng.random_range(0..UPSTREAMS), now_ms);
                paths.watch(&mut links, now_ms);
            }
            for n in 0..UPSTREAMS {
                let is_reachable = paths.own[n] || paths.others.iter().any(|other| other[n]);
                let mut is_served = false;
                for _ in 0..=RELAYS {
                    is_served |= attempt(&mut links, &paths, n, now_ms);
                    paths.watch(&mut links, now_ms);
                    now_ms += 100;
                }
                let path = links.path(&upstream(n));
                let what = format!("seed {seed}, u{n}, own {}, {path:?}", paths.own[n]);
                assert_eq!(is_served, is_reachable, "{what}");
                assert!(!paths.own[n] || path == LinkPath::Direct, "{what}");
            }
        }
    }
}

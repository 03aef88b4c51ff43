//! Rollouts: the assessment of a new version, the share of requests that it gets, and the
//! outcome of a rollout, for versions that are good or bad in twelve ways.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::rollouts::*,
};

const TICK_MS: u64 = 300;
const DEADLINE_MS: u64 = 30_000;
/// Time until the new version's upstreams are ready.
const BOOT_MS: u64 = 3_000;
/// Time until all daemons follow a step.
const PROPAGATION_MS: u64 = 600;
const CANARY_SHARE: f32 = 0.1;
const ROUTES: u32 = 4;

/// How a version behaves.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    name: &'static str,
    /// The fraction of its answers that are bad.
    bad: f64,
    /// The fraction of the time until the deadline from which it is bad.
    from: f64,
    /// The share of the requests from which it is bad.
    from_share: f32,
    /// The number of routes, of four, on which it is bad.
    routes: u32,
    is_good: bool,
}

const fn bad(name: &'static str, bad: f64) -> Behaviour {
    Behaviour {
        name,
        bad,
        from: 0.0,
        from_share: 0.0,
        routes: ROUTES,
        is_good: false,
    }
}

const BEHAVIOURS: [Behaviour; 13] = [
    Behaviour {
        is_good: true,
        ..bad("good, as the old one", 0.02)
    },
    bad("all fail", 1.0),
    bad("half fail", 0.5),
    bad("a third fails", 0.33),
    bad("a fifth fails", 0.2),
    Behaviour {
        from: 0.3,
        ..bad("half fail, later", 0.5)
    },
    Behaviour {
        from: 0.45,
        ..bad("all fail, just before it rises", 1.0)
    },
    Behaviour {
        from: 0.62,
        ..bad("half fail, while it rises", 0.5)
    },
    Behaviour {
        from_share: 0.2,
        ..bad("half fail, under load", 0.5)
    },
    Behaviour {
        from_share: 0.5,
        ..bad("a third fails, under more load", 0.33)
    },
    Behaviour {
        routes: 1,
        ..bad("all fail on one route", 1.0)
    },
    Behaviour {
        routes: 1,
        ..bad("half fail on one route", 0.5)
    },
    Behaviour {
        routes: 1,
        from: 0.3,
        ..bad("half fail on one route, later", 0.5)
    },
];

/// The outcome of a simulated rollout.
#[derive(Debug)]
struct Outcome {
    state: RolloutState,
    at_ms: u64,
    /// Number of requests to the new version until the deadline.
    target: u64,
    /// Number of all requests until the deadline.
    all: u64,
    /// Number of bad answers of the new version until the deadline.
    bad: u64,
}

/// Simulates a rollout under a load of `per_s` requests per second. For 4 s, `trouble` is
/// added to the rate of bad answers of both versions.
fn simulate(of: Behaviour, per_s: u64, trouble: f64, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = RolloutSteps::new(CANARY_SHARE, 0.0);
    let mut evaluator = VersionEvaluator::default();
    let mut shares = vec![(0, 0.0_f32)];
    let mut state = RolloutState::InProgress;
    let mut outcome = Outcome {
        state,
        at_ms: DEADLINE_MS,
        target: 0,
        all: 0,
        bad: 0,
    };
    let mut now_ms = 0;
    while now_ms < DEADLINE_MS {
        now_ms += TICK_MS;
        let in_force = shares
            .iter()
            .rev()
            .find(|(at, _)| at + PROPAGATION_MS <= now_ms);
        let share = in_force.map_or(0.0, |(_, share)| *share);
        let has_trouble = (10_000..14_000).contains(&now_ms);
        let usual = if has_trouble { 0.02 + trouble } else { 0.02 };
        let mut batch = vec![VersionCounts::default(); ROUTES as usize];
        for _ in 0..per_s * TICK_MS / 1_000 {
            let route = rng.random_range(0..ROUTES);
            let is_target = rng.random_bool(f64::from(share));
            let is_worse = is_target
                && route < of.routes
                && share >= of.from_share
                && now_ms as f64 >= of.from * DEADLINE_MS as f64;
            let rate = if is_worse { of.bad.max(usual) } else { usual };
            let is_bad = rng.random_bool(rate.min(1.0));
            outcome.all += 1;
            let counts = &mut batch[route as usize];
            match is_target {
                true => {
                    outcome.target += 1;
                    outcome.bad += u64::from(is_bad);
                    counts.target.record(is_bad);
                }
                false => counts.others.record(is_bad),
            }
        }
        if state != RolloutState::InProgress {
            continue;
        }
        let batch: Vec<_> = (1..).zip(batch).collect();
        evaluator.record(&batch);
        let is_there = now_ms >= BOOT_MS;
        state = steps.next(RolloutView {
            elapsed_ms: now_ms,
            deadline_ms: DEADLINE_MS,
            is_known: true,
            target_slots: if is_there { 960 } else { 0 },
            other_slots: 960,
            busy_others: if share < 1.0 { 40 } else { 0 },
            assessment: evaluator.assessment(),
        });
        shares.push((now_ms, steps.share()));
        if state != RolloutState::InProgress {
            outcome.at_ms = now_ms;
        }
    }
    outcome.state = state;
    outcome
}

#[test]
fn bad_versions_are_rolled_back_within_the_bound_and_good_ones_completed() {
    println!("behaviour | req/s | wrong of 40 | decided ms, most | to it, most % | bad, most");
    for behaviour in BEHAVIOURS {
        for per_s in [80, 400] {
            let outcomes = (0..40).map(|seed| simulate(behaviour, per_s, 0.0, seed));
            let outcomes: Vec<Outcome> = outcomes.collect();
            let expected = match behaviour.is_good {
                true => RolloutState::Completed,
                false => RolloutState::RolledBack,
            };
            let wrong = outcomes.iter().filter(|o| o.state != expected).count();
            let share = |o: &Outcome| 100.0 * o.target as f64 / o.all as f64;
            println!(
                "{} | {per_s} | {wrong} | {} | {:.1} | {}",
                behaviour.name,
                outcomes.iter().map(|o| o.at_ms).max().unwrap(),
                outcomes.iter().map(share).fold(0.0, f64::max),
                outcomes.iter().map(|o| o.bad).max().unwrap(),
            );
            assert_eq!(wrong, 0, "{} at {per_s}/s", behaviour.name);
            let within = |o: &Outcome| o.target as f64 <= 0.1 * o.all as f64 + 50.0;
            assert!(behaviour.is_good || outcomes.iter().all(within));
            assert!(outcomes.iter().all(|o| o.at_ms < DEADLINE_MS));
        }
    }
}

#[test]
fn a_good_version_is_hardly_ever_rolled_back() {
    let completed = |seed: &u64| {
        let outcome = simulate(BEHAVIOURS[0], 200, 0.0, *seed);
        outcome.state == RolloutState::Completed
    };
    let completed = (1_000..1_500).filter(completed).count();
    println!("good versions completed: {completed} of 500");
    assert!(completed >= 498, "{completed} of 500");
}

#[test]
fn trouble_that_hits_both_versions_does_not_roll_back_the_new_one() {
    for trouble in [0.2, 0.5] {
        for seed in 0..100 {
            let outcome = simulate(BEHAVIOURS[0], 400, trouble, seed);
            assert_eq!(outcome.state, RolloutState::Completed, "seed {seed}");
        }
    }
}

#[test]
fn a_version_with_too_few_answers_is_rolled_back() {
    let outcome = simulate(BEHAVIOURS[0], 0, 0.0, 1);
    assert_eq!(outcome.state, RolloutState::RolledBack);
    let few = simulate(BEHAVIOURS[0], 4, 0.0, 1);
    assert_eq!(few.state, RolloutState::RolledBack, "{few:?}");
}

fn rollout(order: u64, fence: u64, step: u32, share: f32, state: RolloutState) -> Rollout {
    let order = RolloutOrder {
        service: "s".into(),
        target: format!("v{order}"),
        deadline_s: 30.0,
        offset: order,
    };
    Rollout {
        fence,
        step,
        share,
        state,
        ..Rollout::ordered(&order)
    }
}

#[test]
fn the_newest_announcement_of_a_rollout_wins_in_any_order() {
    let announcements = [
        rollout(5, 0, 0, 0.0, RolloutState::InProgress),
        rollout(5, 2, 1, 0.05, RolloutState::InProgress),
        rollout(5, 2, 2, 0.25, RolloutState::InProgress),
        rollout(5, 3, 3, 0.0, RolloutState::RolledBack),
        rollout(9, 0, 0, 0.0, RolloutState::InProgress),
    ];
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = RolloutTable::default();
        let mut newest = 0;
        for now_ms in 0..12 {
            let index = rng.random_range(0..announcements.len());
            newest = newest.max(index);
            table.apply(&announcements[index], now_ms);
            assert_eq!(table.get("s").unwrap().rank(), announcements[newest].rank());
        }
    }
}

#[test]
fn a_daemon_never_sends_more_than_the_share_to_a_new_version() {
    for share in [0.05, 0.1, 0.25] {
        let mut table = RolloutTable::default();
        table.apply(&rollout(5, 1, 1, share, RolloutState::InProgress), 0);
        let mut sent = 0;
        for n in 1..=1_000_u32 {
            let allowed = table.allow("s", false, 100);
            sent += u32::from(allowed == AllowedVersions::Target);
            assert!(sent as f32 <= n as f32 * share + 0.01, "{sent} of {n}");
        }
        assert!(sent as f32 >= 990.0 * share, "{sent}");
    }
}

#[test]
fn a_daemon_cut_off_from_the_leader_sends_nothing_to_an_unproven_version() {
    let mut table = RolloutTable::default();
    table.apply(&rollout(5, 1, 1, 0.1, RolloutState::InProgress), 0);
    let to_target = |table: &mut RolloutTable, now_ms| {
        let allowed = (0..100).map(|_| table.allow("s", false, now_ms));
        allowed.filter(|a| *a == AllowedVersions::Target).count()
    };
    assert!(to_target(&mut table, 2_000) > 0);
    assert_eq!(to_target(&mut table, 3_000), 0, "no announcement for 3 s");
    // An old announcement that another daemon forwards does not extend the lease.
    let mut echo = rollout(5, 1, 1, 0.1, RolloutState::InProgress);
    echo.age_ms = 3_500;
    table.apply(&echo, 4_000);
    assert_eq!(to_target(&mut table, 4_000), 0);
    echo.age_ms = 100;
    table.apply(&echo, 5_000);
    assert!(to_target(&mut table, 5_000) > 0);
    table.apply(&rollout(5, 1, 2, 0.0, RolloutState::RolledBack), 5_000);
    assert_eq!(table.allow("s", false, 5_000), AllowedVersions::OnlyOthers);
    let completed = rollout(5, 1, 3, 1.0, RolloutState::Completed);
    table.apply(&completed, 5_000);
    assert_eq!(table.allow("s", false, 34_000), AllowedVersions::Target);
    assert_eq!(table.allow("s", false, 36_000), AllowedVersions::Any);
}

#[test]
fn a_request_that_failed_at_the_new_version_goes_to_another() {
    let mut table = RolloutTable::default();
    table.apply(&rollout(5, 1, 1, 1.0, RolloutState::InProgress), 0);
    assert_eq!(table.allow("s", true, 10), AllowedVersions::Others);
    assert_eq!(table.allow("s", false, 10), AllowedVersions::Target);
}

//! Retries of all daemons together stay within the budget in each window, however often daemons
//! are restarted, and a daemon that starts gets retries soon.
//!
//! Guards against a full share of the slack for each start of a daemon: daemons that are killed
//! while upstreams fail then spend the slack several times within one window.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::policy::{RetryAllowance, slack_share},
};

const RATIO: f64 = 0.2;
/// Fraction of a retry that a first send earns.
const EARNED: f64 = 0.15;
const SLACK: f64 = 56.0;
const DAEMONS: usize = 6;
const WINDOW_MS: u64 = 10_000;
/// Time between two requests at one daemon.
const STEP_MS: u64 = 150;

/// A daemon that is restarted now and then, before upstreams that fail.
struct RestartedDaemon {
    allowance: RetryAllowance,
    started_ms: u64,
}

impl RestartedDaemon {
    fn start(now_ms: u64, share: f64) -> Self {
        Self {
            allowance: RetryAllowance::with_withheld_slack(EARNED, share, WINDOW_MS),
            started_ms: now_ms,
        }
    }

    /// Receives a request, which is retried if `fails` and the allowance permits it.
    fn receive(&mut self, now_ms: u64, fails: bool, draw: f64) -> bool {
        self.allowance.release_slack(now_ms - self.started_ms);
        self.allowance.earn();
        fails && self.allowance.spend(draw)
    }
}

/// Plays requests at all daemons until `end_ms` and returns the times of requests and retries.
/// `restarts` are times and daemons; `fails` tells whether the upstreams fail at a time.
fn play(
    (daemons, slack, end_ms): (usize, f64, u64),
    restarts: &[(u64, usize)],
    fails: impl Fn(u64) -> bool,
    seed: u64,
) -> (Vec<u64>, Vec<u64>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let share = slack_share(slack, daemons);
    let start = |now_ms| RestartedDaemon::start(now_ms, share);
    let mut all: Vec<_> = (0..daemons).map(|_| start(0)).collect();
    let (mut firsts, mut retries) = (Vec::new(), Vec::new());
    for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
        for (_, n) in restarts.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
            all[*n] = start(now_ms);
        }
        for daemon in &mut all {
            firsts.push(now_ms);
            if daemon.receive(now_ms, fails(now_ms), rng.random()) {
                retries.push(now_ms);
            }
        }
    }
    (firsts, retries)
}

fn assert_within_budget((firsts, retries): &(Vec<u64>, Vec<u64>), slack: f64, what: &str) {
    let count = |times: &[u64], from_ms: u64| {
        let end = times.partition_point(|at_ms| *at_ms < from_ms + WINDOW_MS);
        (end - times.partition_point(|at_ms| *at_ms < from_ms)) as f64
    };
    for from_ms in retries {
        let (spent, asked) = (count(retries, *from_ms), count(firsts, *from_ms));
        let allowed = asked * RATIO + slack;
        assert!(
            spent <= allowed,
            "{what}: {spent} of {allowed} from {from_ms} ms"
        );
    }
}

fn restarts_of_all(times_ms: &[u64], daemons: usize) -> Vec<(u64, usize)> {
    let each = |at_ms: &u64| {
        let at_ms = *at_ms;
        (0..daemons).map(move |n| (at_ms, n))
    };
    times_ms.iter().flat_map(each).collect()
}

#[test]
fn kills_of_all_daemons_within_a_window_do_not_renew_the_slack() {
    let restarts = restarts_of_all(&[30_000, 32_400, 34_800], DAEMONS);
    let fails = |now_ms| now_ms >= 28_000;
    let times = play((DAEMONS, SLACK, 60_000), &restarts, fails, 1);
    assert_within_budget(&times, SLACK, "three kills of all");
}

#[test]
fn rolling_restarts_do_not_renew_the_slack() {
    let restarts: Vec<_> = (0..60)
        .map(|n| (15_000 + n * 4 * STEP_MS, n as usize % DAEMONS))
        .collect();
    let times = play((DAEMONS, SLACK, 60_000), &restarts, |_| true, 2);
    assert_within_budget(&times, SLACK, "rolling restarts");
}

#[test]
fn a_daemon_that_crashes_again_and_again_does_not_renew_its_slack() {
    let restarts: Vec<_> = (0..100).map(|n| (15_000 + n * 3 * STEP_MS, 0)).collect();
    let times = play((1, 8.0, 60_000), &restarts, |_| true, 3);
    assert_within_budget(&times, 8.0, "a crash loop");
}

/// Restarts and outages at random times, with shares above and below one retry.
#[test]
fn no_order_of_restarts_and_outages_exceeds_the_budget() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let daemons = [1, 6, 30, 120][seed as usize % 4];
        let restarts: Vec<_> = (0..daemons * 12)
            .map(|_| {
                let at_ms = rng.random_range(0..400) * STEP_MS;
                (at_ms, rng.random_range(0..daemons))
            })
            .collect();
        let period_ms = rng.random_range(2..20) * 1_000;
        let fails = |now_ms: u64| now_ms / period_ms % 2 == 1;
        let times = play((daemons, SLACK, 60_000), &restarts, fails, seed);
        assert_within_budget(&times, SLACK, &format!("seed {seed}, {daemons} daemons"));
    }
}

/// Retries that were earned and spent before the slack is released are part of the share.
#[test]
fn retries_earned_before_the_slack_do_not_come_on_top_of_it() {
    let mut allowance = RetryAllowance::with_withheld_slack(EARNED, 7.0, WINDOW_MS);
    (0..200).for_each(|_| allowance.earn());
    let earned = (0..20).filter(|_| allowance.spend(0.0)).count();
    allowance.release_slack(WINDOW_MS);
    let released = (0..20).filter(|_| allowance.spend(0.0)).count();
    assert_eq!((earned, released), (7, 0));
}

#[test]
fn a_daemon_that_starts_earns_its_first_retry_within_a_few_requests() {
    let mut allowance = RetryAllowance::with_withheld_slack(EARNED, 7.0, WINDOW_MS);
    let first = (1..100).find(|_| {
        allowance.earn();
        allowance.spend(0.0)
    });
    assert_eq!(first, Some(7));
}

#[test]
fn a_daemon_has_its_share_of_the_slack_once_the_window_has_passed() {
    let mut allowance = RetryAllowance::with_withheld_slack(EARNED, 7.0, WINDOW_MS);
    allowance.release_slack(WINDOW_MS - 1);
    assert!(!allowance.spend(0.0));
    allowance.release_slack(WINDOW_MS);
    assert_eq!((0..20).filter(|_| allowance.spend(0.0)).count(), 7);
    allowance.release_slack(3 * WINDOW_MS);
    assert!(!allowance.spend(0.0), "the slack is released once");
}

/// The share that is released is that of the daemons known by then.
#[test]
fn the_slack_released_follows_the_number_of_daemons() {
    let mut allowance = RetryAllowance::with_withheld_slack(EARNED, 14.0, WINDOW_MS);
    allowance.set_share(3.0);
    allowance.release_slack(WINDOW_MS);
    assert_eq!((0..20).filter(|_| allowance.spend(0.0)).count(), 3);
}

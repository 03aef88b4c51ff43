//! Retries of all daemons together stay within the budget, for any number of daemons.
//!
//! Guards against a share of at least one retry for each daemon: with more daemons than
//! retries in the slack, an outage of a service then makes all daemons together exceed the
//! budget.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::policy::{RetryAllowance, slack_share},
};

const RATIO: f64 = 0.2;
const SEEDS: u64 = 40;

/// Plays an outage: each first send fails, and each daemon retries as often as its allowance
/// permits. Returns the number of retries.
fn retries(daemons: usize, slack: f64, firsts_each: u32, seed: u64) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut retries = 0;
    for _ in 0..daemons {
        let mut allowance = RetryAllowance::new(RATIO, slack_share(slack, daemons));
        for _ in 0..firsts_each {
            allowance.earn();
            retries += u32::from(allowance.spend(rng.random()));
        }
    }
    retries
}

#[test]
fn retries_stay_within_the_budget_at_any_number_of_daemons() {
    for slack in [4.0, 52.0, 1_040.0] {
        for daemons in [1, 6, 30, 300, 985, 1_300, 2_000, 5_000] {
            for (seed, firsts) in (0..SEEDS).flat_map(|seed| [1, 4].map(|firsts| (seed, firsts))) {
                let retries = retries(daemons, slack, firsts, seed);
                let sent = daemons as f64 * f64::from(firsts);
                let allowed = sent * RATIO + slack;
                assert!(
                    f64::from(retries) <= allowed,
                    "{retries} of {allowed}: {daemons} daemons, slack {slack}, seed {seed}"
                );
            }
        }
    }
}

#[test]
fn most_of_the_slack_is_used_at_any_number_of_daemons() {
    for daemons in [6, 300, 985, 2_000, 5_000] {
        let sums = (0..SEEDS).map(|seed| retries(daemons, 1_040.0, 1, seed));
        let mean = f64::from(sums.sum::<u32>()) / SEEDS as f64;
        let asked = daemons as f64;
        assert!(
            mean >= asked.min(0.7 * 1_040.0),
            "{mean} of {daemons} daemons"
        );
    }
}

/// A daemon whose sends fail repeatedly gets no more retries than its share.
#[test]
fn repeated_draws_do_not_win_more_than_the_share() {
    let wins = (0..1_000).map(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut allowance = RetryAllowance::new(RATIO, 0.4);
        let won = (0..20).filter(|_| allowance.spend(rng.random()));
        won.count()
    });
    let wins: usize = wins.sum();
    assert!((340..=460).contains(&wins), "{wins} of 1,000");
}

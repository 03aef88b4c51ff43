//! Repeated sends of all daemons together stay within the budget, however many daemons
//! there are.
//!
//! Each daemon had one repeat at least: from more daemons than the slack has repeats on,
//! an outage of an upstream's service let all of them together send more than is allowed.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::policy::{RetryAllowance, slack_share},
};

const RATIO: f64 = 0.2;
const SEEDS: u64 = 40;

/// An outage: each first send fails, and each daemon repeats as often as it may. Returns
/// how many were repeated.
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
fn repeats_stay_within_the_budget_at_any_number_of_daemons() {
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
fn the_budget_is_of_use_at_any_number_of_daemons() {
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

/// One that fails again and again has no more than its share.
#[test]
fn those_that_draw_again_do_not_win_more() {
    let wins = (0..1_000).map(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut allowance = RetryAllowance::new(RATIO, 0.4);
        let won = (0..20).filter(|_| allowance.spend(rng.random()));
        won.count()
    });
    let wins: usize = wins.sum();
    assert!((340..=460).contains(&wins), "{wins} of 1,000");
}

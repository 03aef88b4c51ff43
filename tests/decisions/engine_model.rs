//! The estimate of an engine's prefill speed from the answers to requests, for fast and slow
//! engines.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::policy::*,
};

/// An engine as a daemon observes it: a fixed latency, then the time to prefill the prompt, and
/// late answers at random.
struct ObservedEngine {
    base_ms: f64,
    ms_per_token: f64,
    late_share: f64,
}

impl ObservedEngine {
    fn first_event(&self, rng: &mut ChaCha8Rng) -> FirstEvent {
        let unread_tokens = match rng.random_bool(0.4) {
            true => rng.random_range(2_000..20_000),
            false => rng.random_range(50..1_500),
        };
        let late_ms = match rng.random_bool(self.late_share) {
            true => rng.random_range(50.0..2_000.0),
            false => rng.random_range(0.0..15.0),
        };
        FirstEvent {
            unread_tokens,
            after_ms: self.base_ms + unread_tokens as f64 * self.ms_per_token + late_ms,
        }
    }

    fn model_after(&self, answers: usize, seed: u64) -> EngineModel {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut model = EngineModel::default();
        for _ in 0..answers {
            model.record_first_event(self.first_event(&mut rng));
        }
        model
    }
}

#[test]
fn a_hundred_answers_suffice_to_estimate_the_speed_of_any_engine() {
    for ms_per_token in [0.004, 0.01, 0.033, 0.2] {
        for seed in 0..10 {
            let engine = ObservedEngine {
                base_ms: 40.0,
                ms_per_token,
                late_share: 0.0,
            };
            let speed = engine.model_after(100, seed).prefill_speed().unwrap();
            let ratio = speed.ms_per_token / ms_per_token;
            assert!((0.7..1.4).contains(&ratio), "{ms_per_token}: {ratio}");
        }
    }
}

#[test]
fn late_answers_do_not_make_engines_look_half_as_fast() {
    for seed in 0..20 {
        let engine = ObservedEngine {
            base_ms: 40.0,
            ms_per_token: 0.01,
            late_share: 0.2,
        };
        let speed = engine.model_after(200, seed).prefill_speed().unwrap();
        let ratio = speed.ms_per_token / 0.01;
        assert!((0.5..2.0).contains(&ratio), "seed {seed}: {ratio}");
    }
}

#[test]
fn the_estimate_follows_a_change_of_engines() {
    let slow = ObservedEngine {
        base_ms: 30.0,
        ms_per_token: 0.05,
        late_share: 0.0,
    };
    let mut model = slow.model_after(100, 1);
    let fast = ObservedEngine {
        ms_per_token: 0.01,
        ..slow
    };
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..100 {
        model.record_first_event(fast.first_event(&mut rng));
    }
    let speed = model.prefill_speed().unwrap();
    assert!(speed.ms_per_token < 0.02, "{speed:?}");
}

#[test]
fn prompts_of_the_same_size_give_no_estimate() {
    let mut model = EngineModel::default();
    assert_eq!(model.prefill_speed(), None);
    for _ in 0..100 {
        model.record_first_event(FirstEvent {
            unread_tokens: 1_000,
            after_ms: 50.0,
        });
    }
    assert_eq!(
        model.prefill_speed(),
        None,
        "all prompts have the same size"
    );
    assert_eq!(model.first_event_ms(), Some(50.0));
}

#[test]
fn merged_estimates_are_weighted_by_their_comparisons() {
    let speed = |ms_per_token, comparisons| PrefillSpeed {
        ms_per_token,
        comparisons,
    };
    assert_eq!(PrefillSpeed::merged([].into_iter()), None);
    let merged = PrefillSpeed::merged([speed(0.01, 90), speed(0.02, 10)].into_iter()).unwrap();
    assert!((merged.ms_per_token - 0.011).abs() < 1e-9);
    assert!((speed(0.01, 1).tokens_per_s() - 100_000.0).abs() < 1e-6);
}

//! The placement policies, also compared with the naive baseline.

use {
    crate::support::{request_needs, upstream},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    saddlepulley::{names::*, policy::*},
    std::collections::BTreeMap,
    uuid::Uuid,
};

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

#[test]
fn cheapest_on_target_chooses_the_cheaper_box_while_it_meets_the_target() {
    let mut dear = upstream("dear");
    dear.price_micros = 900;
    let cheap = upstream("cheap");
    let all = [dear, cheap];
    assert_eq!(
        CheapestOnTarget.choose(&request_needs(), &all, &mut rng()),
        Some(1)
    );
}

#[test]
fn cheapest_on_target_chooses_a_dearer_box_rather_than_miss_the_target() {
    let mut dear = upstream("dear");
    dear.price_micros = 900;
    let mut cheap = upstream("cheap");
    cheap.running = 16;
    cheap.waiting = 20;
    let all = [dear, cheap];
    assert_eq!(
        CheapestOnTarget.choose(&request_needs(), &all, &mut rng()),
        Some(0)
    );
}

#[test]
fn keep_work_chooses_the_box_that_has_the_prompt_cached() {
    let plain = upstream("plain");
    let mut cached = upstream("cached");
    cached.cached_tokens = 992;
    cached.price_micros = 900;
    let all = [plain, cached];
    assert_eq!(KeepWork.choose(&request_needs(), &all, &mut rng()), Some(1));
}

#[test]
fn keep_work_chooses_the_box_whose_reclaim_is_unlikely() {
    let mut risky = upstream("risky");
    risky.hazard_per_s = 0.01;
    let mut safe = upstream("safe");
    safe.hazard_per_s = 0.0;
    safe.price_micros = 900;
    let all = [risky, safe];
    assert_eq!(KeepWork.choose(&request_needs(), &all, &mut rng()), Some(1));
}

#[test]
fn dispatches_since_the_last_report_are_counted() {
    let mut a = upstream("a");
    a.unreported = 40;
    let b = upstream("b");
    let all = [a, b];
    for policy in [&CheapestOnTarget as &dyn Placement, &KeepWork] {
        assert_eq!(
            policy.choose(&request_needs(), &all, &mut rng()),
            Some(1),
            "{}",
            policy.name()
        );
    }
}

#[test]
fn upstreams_at_their_adaptive_limit_are_not_chosen() {
    let mut a = upstream("a");
    a.in_flight = a.limit;
    assert_eq!(
        CheapestOnTarget.choose(&request_needs(), &[a.clone()], &mut rng()),
        None
    );
    assert_eq!(
        NaivePlacement.choose(&request_needs(), &[a], &mut rng()),
        Some(0)
    );
}

/// Differential test over random sets of upstreams: on average, each policy's choice is
/// better than that of the naive policy by the policy's own measure.
#[test]
fn each_policy_beats_naive_on_its_own_measure() {
    use rand::Rng;
    let mut rng = rng();
    let mut naive = (0.0, 0.0);
    let mut ours = (0.0, 0.0);
    for _ in 0..500 {
        let all: Vec<UpstreamView> = (0..6)
            .map(|i| {
                let mut u = upstream(&format!("u{i}"));
                u.running = rng.random_range(0..16);
                u.price_micros = rng.random_range(200..1_000);
                u.cached_tokens = rng.random_range(0..1_000);
                u.hazard_per_s = rng.random_range(0.0..0.01);
                u
            })
            .collect();
        let lost = |i: usize| {
            Estimate::of(&request_needs(), &all[i]).expected_recompute
                + uncached_tokens(&request_needs(), &all[i])
        };
        let cost = |i: usize| Estimate::of(&request_needs(), &all[i]).cost_micros;
        let n = NaivePlacement
            .choose(&request_needs(), &all, &mut rng)
            .unwrap();
        naive.0 += cost(n);
        naive.1 += lost(n);
        ours.0 += cost(
            CheapestOnTarget
                .choose(&request_needs(), &all, &mut rng)
                .unwrap(),
        );
        ours.1 += lost(KeepWork.choose(&request_needs(), &all, &mut rng).unwrap());
    }
    assert!(ours.0 < naive.0 && ours.1 < naive.1, "{ours:?} {naive:?}");
}

#[test]
fn requests_of_a_row_are_split_by_its_policy_shares() {
    let shares = BTreeMap::from([
        (PolicyName::from("cheapest-on-target"), 25),
        (PolicyName::from("keep-work"), 75),
    ]);
    let mut keep = 0;
    for i in 0..4_000_u128 {
        let id = RequestId::from_uuid(Uuid::from_u128(
            i.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
        ));
        keep += usize::from(pick_policy(&shares, id).as_str() == "keep-work");
    }
    assert!((2_800..3_200).contains(&keep), "{keep}");
}

//! Merging facts about a box from several sources: its state only moves forward.

use {
    proptest::prelude::*,
    saddlepulley::{boxes::BoxTable, names::*, policy::*},
};

fn fact(incarnation: u64, state: BoxState, leaves_at_ms: u64) -> BoxFact {
    BoxFact {
        id: BoxId::from("e1"),
        incarnation,
        state,
        leaves_at_ms,
        kind: BoxKind::Engine,
        failure_domain: FailureDomain::from("txc-a"),
        address: "127.0.0.1:9".parse().unwrap(),
        service: ServiceName::from("assistant"),
        class: BoxClass::Reclaimable,
        price_micros: 1,
        checks_fence: false,
    }
}

fn any_fact() -> impl Strategy<Value = BoxFact> {
    let state = prop_oneof![
        Just(BoxState::Live),
        Just(BoxState::Leaving),
        Just(BoxState::Gone)
    ];
    (1..4u64, state, 0..3u64).prop_map(|(i, s, at)| fact(i, s, at))
}

proptest! {
    /// Whatever the order and duplication of facts, every daemon arrives at the same state.
    #[test]
    fn reordered_and_repeated_facts_give_the_same_state(facts in prop::collection::vec(any_fact(), 1..12), seed in any::<u64>()) {
        use rand::{SeedableRng, seq::SliceRandom};
        let mut shuffled = facts.clone();
        shuffled.extend(facts.iter().take(3).cloned());
        shuffled.shuffle(&mut rand_chacha::ChaCha8Rng::seed_from_u64(seed));
        let (mut a, mut b) = (BoxTable::default(), BoxTable::default());
        facts.iter().for_each(|f| { a.fold(f); });
        shuffled.iter().for_each(|f| { b.fold(f); });
        let id = BoxId::from("e1");
        prop_assert_eq!(a.get(&id), b.get(&id));
    }

    #[test]
    fn the_state_of_a_box_never_moves_back(facts in prop::collection::vec(any_fact(), 1..12)) {
        let mut table = BoxTable::default();
        let id = BoxId::from("e1");
        let mut last = (0, BoxState::Live);
        for f in &facts {
            table.fold(f);
            let now = table.get(&id).map(|b| (b.incarnation, b.state)).unwrap();
            prop_assert!(now >= last);
            last = now;
        }
    }
}

#[test]
fn an_outdated_list_does_not_make_a_leaving_box_live_again() {
    let mut table = BoxTable::default();
    table.fold(&fact(1, BoxState::Live, 0));
    table.fold(&fact(1, BoxState::Leaving, 100));
    assert!(!table.fold(&fact(1, BoxState::Live, 0)));
    assert!(table.fold(&fact(2, BoxState::Live, 0)));
}

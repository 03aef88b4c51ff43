//! How streams move away from an upstream that is about to be reclaimed.

use {
    crate::support::{request_needs, upstream},
    proptest::prelude::*,
    saddlepulley::{names::*, policy::*},
    std::collections::{BTreeMap, BTreeSet},
    uuid::Uuid,
};

fn stream(n: u128, tokens: u32, kv_bytes: u64) -> StreamAtRisk {
    StreamAtRisk {
        request: RequestId::from_uuid(Uuid::from_u128(n)),
        needs: RequestNeeds {
            prompt_tokens: tokens,
            expected_tokens: 50,
            ..request_needs()
        },
        kv_bytes,
    }
}

fn target(name: &str, slots: u32) -> UpstreamView {
    UpstreamView {
        slots,
        ..upstream(name)
    }
}

#[test]
fn streams_with_the_most_tokens_at_risk_go_first() {
    let streams = [
        stream(1, 10, 1_000),
        stream(2, 9_000, 1_000),
        stream(3, 500, 1_000),
    ];
    let moves = plan_moves(&streams, &[target("t", 16)], 2, 1_000.0);
    assert_eq!(moves[0].0, streams[1].request);
    let exported = moves.iter().filter(|(_, m)| *m != Move::Resume).count();
    assert_eq!(
        exported, 2,
        "only transfers that complete within the notice"
    );
}

#[test]
fn targets_get_no_more_streams_than_they_have_slots() {
    let streams: Vec<_> = (0..40).map(|n| stream(n, 100, 1)).collect();
    let targets = [target("a", 8), target("b", 8), target("c", 8)];
    let moves = plan_moves(&streams, &targets, 10_000, 1_000.0);
    let mut sent = BTreeMap::new();
    for (_, m) in &moves {
        if let Move::Export { target } = m {
            *sent.entry(*target).or_insert(0) += 1;
        }
    }
    assert_eq!(sent, BTreeMap::from([(0, 8), (1, 8), (2, 8)]));
}

proptest! {
    #[test]
    fn every_stream_moves_once_and_transfers_complete_within_the_notice(
        sizes in prop::collection::vec((1..5_000u32, 1..100_000u64), 0..50),
        notice in 0..200u64,
    ) {
        let streams: Vec<_> = sizes.iter().enumerate().map(|(n, (t, b))| stream(n as u128, *t, *b)).collect();
        let moves = plan_moves(&streams, &[target("a", 64), target("b", 64)], notice, 1_000.0);
        let ids: BTreeSet<_> = moves.iter().map(|(id, _)| *id).collect();
        prop_assert_eq!(ids.len(), streams.len());
        let ms: f64 = moves.iter().filter(|(_, m)| *m != Move::Resume)
            .map(|(id, _)| streams.iter().find(|s| s.request == *id).unwrap().kv_bytes as f64 / 1_000.0)
            .sum();
        prop_assert!(ms <= notice as f64);
    }
}

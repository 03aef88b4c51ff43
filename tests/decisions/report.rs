//! Tests of the policy report: burn rates, cost of answers on target, and gaps.

use saddlepulley::{app::*, contracts::Table, names::*, report::*};

fn page(number: u64, to_ms: u64, requests: u64, on_target: u64) -> ScorePage {
    let key = ScoreKey {
        policy: PolicyName::from("keep-work"),
        account: ClientAccount::from("acme"),
        service: ServiceName::from("assistant"),
    };
    let score = Score {
        requests,
        whole: requests,
        on_target,
        cost_micros: 100.0 * requests as f64,
        first_ms: vec![(100, on_target), (900, requests - on_target)],
        ..Score::default()
    };
    ScorePage {
        by: BoxId::from("txc-a-1"),
        failure_domain: FailureDomain::from("txc-a"),
        number,
        incarnation: 1,
        from_ms: to_ms - 1_000,
        to_ms,
        scores: vec![(key, score)],
    }
}

#[test]
fn burn_rates_are_reported_per_window() {
    let now = 100 * 60 * 60_000;
    let pages = [
        page(0, now - 2 * 60 * 60_000, 100, 100),
        page(1, now - 1_000, 100, 90),
    ];
    let report = Report::of(&pages, &Table::default(), now);
    let row = &report.rows[0];
    let rates: Vec<_> = row.burn.iter().map(|b| (b.window, b.requests)).collect();
    assert_eq!(rates, [("5m", 100), ("1h", 100), ("6h", 200)]);
    // 10 of 100 requests miss the target and 5 are allowed to, so the budget burns twice as fast
    // as it may.
    let rate = row.burn[0].rate.unwrap();
    assert!((rate - 2.0).abs() < 1e-6, "{rate}");
    assert!((row.cost_at_target.unwrap() - 20_000.0 / 190.0).abs() < 1e-6);
    assert!(row.first_ms_p50 <= 101 && row.first_ms_p95 <= 101);
}

#[test]
fn missing_pages_are_reported_as_a_gap() {
    let pages = [page(0, 10_000, 1, 1), page(3, 40_000, 1, 1)];
    let report = Report::of(&pages, &Table::default(), 50_000);
    assert_eq!(report.gaps.len(), 1);
    assert_eq!(report.gaps[0].pages, 2);
    assert!(
        report
            .to_string()
            .contains("gap: txc-a-1 did not publish 2 pages")
    );
}

//! Rate limits that upstreams name: parsing, permits, and how daemons exchange limits and
//! agree on the issuer of permits.

use {
    crate::cluster_support::*,
    rand::{Rng, SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{cluster::*, names::UpstreamId, policy::*},
    std::collections::HashSet,
};

fn u(name: &str) -> UpstreamId {
    UpstreamId::from(name)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).unwrap()
}

fn named(per_s: f64) -> NamedLimit {
    NamedLimit::Rate(rate(per_s))
}

/// A table in which an upstream `u` has just named a limit.
fn table_with_limit(per_s: f64) -> LimitTable {
    let mut limit_table = LimitTable::default();
    assert!(limit_table.record_answer(&u("u"), named(per_s), 0, 0));
    limit_table
}

fn announcement(per_s: Option<f64>, version: u64) -> KnownLimit {
    KnownLimit {
        upstream: u("u"),
        rate: per_s.map(rate),
        version,
        age_ms: 0,
    }
}

#[test]
fn a_rate_is_a_plain_decimal_number() {
    for (text, per_s) in [
        ("1", 1.0),
        ("0.5", 0.5),
        (" 2.0 ", 2.0),
        ("0", 0.0),
        (".25", 0.25),
    ] {
        assert_eq!(
            RequestRate::parse(text.as_bytes()),
            Some(rate(per_s)),
            "{text}"
        );
    }
    let long = "1".repeat(33);
    for text in [
        "", " ", ".", "-1", "+1", "1e3", "inf", "NaN", "1,5", "1 2", "0x1", "٣", &long,
    ] {
        assert_eq!(RequestRate::parse(text.as_bytes()), None, "{text}");
    }
    assert_eq!(RequestRate::parse(&[0xff, b'1']), None);
    for number in [f64::NAN, f64::INFINITY, -0.5] {
        assert_eq!(RequestRate::new(number), None);
    }
}

#[test]
fn of_several_values_the_lowest_valid_one_counts() {
    let read = |values: &[&str]| NamedLimit::read(values.iter().map(|v| v.as_bytes()));
    assert_eq!(read(&[]), NamedLimit::Absent);
    assert_eq!(read(&["x"]), NamedLimit::Unreadable);
    assert_eq!(read(&["3", "x", "2", "5"]), named(2.0));
    assert_eq!(read(&["x", "3"]), named(3.0));
}

/// Takes all available permits, polling every 5 ms.
fn take_all_permits(limit_table: &mut LimitTable, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let times = (from_ms..to_ms).step_by(5);
    times
        .filter(|at| limit_table.take(&u("u"), PermitShare::ALL, *at).is_ok())
        .collect()
}

fn max_in_4_s(times: &[u64]) -> usize {
    let in_span = |from: u64| {
        times
            .iter()
            .filter(|t| (from..from + 4_000).contains(*t))
            .count()
    };
    times.iter().map(|from| in_span(*from)).max().unwrap_or(0)
}

#[test]
fn a_limit_is_fully_used_and_not_exceeded() {
    for per_s in [0.25, 0.5, 1.0, 3.7, 20.0, 150.0] {
        let mut limit_table = table_with_limit(per_s);
        // Nobody takes permits for a while: only a burst of them is kept.
        let times = take_all_permits(&mut limit_table, 30_000, 130_000);
        let max = max_in_4_s(&times) as f64;
        assert!(max <= 4.0 * per_s * 1.07 + 1.0, "{per_s}: {max}");
        assert!(
            times.len() as f64 >= 0.97 * 100.0 * per_s,
            "{per_s}: {}",
            times.len()
        );
    }
}

/// Many daemons query one issuer of permits, and each retries at the time that a refusal
/// names.
#[test]
fn a_limit_is_fully_used_wherever_the_load_arrives() {
    for (daemons, seed) in [(1, 1), (2, 2), (8, 3), (45, 4)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut issuer = table_with_limit(5.0);
        let mut clients: Vec<LimitTable> = (0..daemons).map(|_| table_with_limit(5.0)).collect();
        let (mut times, mut queries) = (Vec::new(), 0);
        for now_ms in (1_000..61_000).step_by(2) {
            let limit_table = &mut clients[rng.random_range(0..daemons)];
            if limit_table.is_used_up(&u("u"), now_ms) {
                continue;
            }
            queries += 1;
            match issuer.take(&u("u"), PermitShare::ALL, now_ms) {
                Ok(()) => times.push(now_ms),
                Err(wait_ms) => limit_table.record_used_up(&u("u"), wait_ms, now_ms),
            }
        }
        let issued = times.len();
        assert!(
            (285..=303).contains(&issued),
            "{daemons} daemons: {issued} of 300"
        );
        assert!(max_in_4_s(&times) <= 23, "{daemons} daemons");
        // Each daemon queries about as often as permits become available, not for each
        // placement.
        let max = 60 * 5 * 2 + daemons * 60 * 2;
        assert!(queries <= max, "{daemons} daemons: {queries} queries");
    }
}

#[test]
fn a_new_limit_gives_no_permits_for_the_time_before_it() {
    let mut limit_table = LimitTable::default();
    assert_eq!(
        limit_table.take(&u("u"), PermitShare::ALL, 60_000),
        Ok(()),
        "the upstream names no limit"
    );
    limit_table.record_answer(&u("u"), named(2.0), 59_900, 60_000);
    assert_eq!(
        limit_table.take(&u("u"), PermitShare::ALL, 60_000),
        Err(500)
    );
    // The limit is raised, and lowered again.
    limit_table.record_answer(&u("u"), named(100.0), 60_100, 60_200);
    limit_table.record_answer(&u("u"), named(1.0), 70_100, 70_200);
    let times = take_all_permits(&mut limit_table, 70_200, 74_200);
    assert!(
        times.len() <= 29,
        "{}: a quarter of a second's worth and 4",
        times.len()
    );
}

#[test]
fn an_answer_without_a_limit_lifts_only_a_limit_named_before_its_request() {
    let mut limit_table = table_with_limit(1.0);
    limit_table.record_answer(&u("u"), named(1.0), 900, 1_000);
    // The request was sent before the limit was last named, so the answer may have begun
    // before that.
    assert!(!limit_table.record_answer(&u("u"), NamedLimit::Absent, 950, 1_100));
    assert_eq!(limit_table.rate(&u("u")), Some(rate(1.0)));
    assert!(!limit_table.record_answer(&u("u"), NamedLimit::Unreadable, 1_200, 1_300));
    assert_eq!(limit_table.rate(&u("u")), Some(rate(1.0)));
    assert!(limit_table.record_answer(&u("u"), NamedLimit::Absent, 1_200, 1_300));
    assert_eq!(limit_table.rate(&u("u")), None);
    assert_eq!(limit_table.take(&u("u"), PermitShare::ALL, 1_300), Ok(()));
    // The upstream may name a limit again.
    assert!(limit_table.record_answer(&u("u"), named(0.5), 1_400, 1_500));
    assert_eq!(
        limit_table.take(&u("u"), PermitShare::ALL, 1_500),
        Err(2_000)
    );
}

#[test]
fn an_upstream_with_a_limit_of_zero_is_still_probed() {
    let mut limit_table = table_with_limit(0.0);
    let times = take_all_permits(&mut limit_table, 0, 60_000);
    assert!((13..=16).contains(&times.len()), "{}", times.len());
}

#[test]
fn of_several_announcements_the_newest_version_counts() {
    let mut limit_table = LimitTable::default();
    assert!(
        !limit_table.apply(&announcement(None, 4), None, 5_000),
        "no limit was known"
    );
    assert!(limit_table.apply(&announcement(Some(2.0), 5), None, 5_000));
    assert!(
        !limit_table.apply(&announcement(Some(1.0), 4), None, 5_000),
        "older"
    );
    assert_eq!(limit_table.rate(&u("u")), Some(rate(2.0)));
    assert!(limit_table.apply(&announcement(None, 6), None, 5_000));
    assert!(
        !limit_table.apply(&announcement(Some(2.0), 5), None, 5_000),
        "announced again"
    );
    assert_eq!(limit_table.rate(&u("u")), None);
    assert!(
        limit_table.apply(&announcement(Some(3.0), 6), None, 5_000),
        "of equal versions the lower limit counts"
    );
    assert!(!limit_table.apply(&announcement(Some(4.0), 6), None, 5_000));
    // The next answer counts, whatever limit it names.
    assert!(limit_table.record_answer(&u("u"), named(9.0), 5_000, 5_100));
    assert_eq!(limit_table.known(&u("u"), 5_100).unwrap().version, 7);
}

/// An outdated announcement is relayed by several daemons and arrives late. Its age is too
/// low, because each relay sends it as if it had just been received.
#[test]
fn an_outdated_announcement_does_not_restore_a_lifted_limit() {
    let mut limit_table = table_with_limit(1.0);
    let outdated = limit_table.known(&u("u"), 0).unwrap();
    assert!(limit_table.record_answer(&u("u"), NamedLimit::Absent, 50, 100));
    assert!(!limit_table.apply(&outdated, Some(true), 5_000));
    assert_eq!(limit_table.rate(&u("u")), None);
}

#[test]
fn an_outdated_announcement_is_answered_with_the_newer_limit() {
    let mut limit_table = LimitTable::default();
    limit_table.apply(&announcement(Some(2.0), 5), None, 5_000);
    assert!(
        limit_table.to_announce(9, 5_000).hubs.is_empty(),
        "it does not relay announcements"
    );
    limit_table.apply(&announcement(Some(2.0), 4), None, 5_000);
    assert!(
        limit_table.to_announce(9, 5_000).hubs.is_empty(),
        "both name the same limit"
    );
    limit_table.apply(&announcement(Some(7.0), 4), None, 5_000);
    assert_eq!(
        limit_table.to_announce(9, 5_000).hubs,
        [announcement(Some(2.0), 5)]
    );
}

#[test]
fn a_change_is_announced_four_times_and_relayed_only_as_far_as_needed() {
    let mut limit_table = table_with_limit(1.0);
    let announced = (0..9).filter(|_| !limit_table.to_announce(9, 0).hubs.is_empty());
    assert_eq!(announced.count(), 4);
    let mut hub = LimitTable::default();
    hub.apply(&announcement(Some(1.0), 1), Some(false), 0);
    let changes = hub.to_announce(9, 0);
    assert_eq!((changes.hubs.len(), changes.members.len()), (0, 1));
}

#[test]
fn lapsed_limits_and_removed_upstreams_are_removed() {
    let mut limit_table = table_with_limit(1.0);
    limit_table.tick(3_600_000);
    assert_eq!(
        limit_table.in_force(3_600_000).len(),
        1,
        "no answer has lifted it"
    );
    limit_table.record_answer(&u("u"), NamedLimit::Absent, 3_600_000, 3_600_100);
    assert!(limit_table.in_force(3_600_100).is_empty());
    limit_table.tick(3_661_000);
    assert!(limit_table.is_empty());
    let mut limit_table = table_with_limit(1.0);
    limit_table.retain(|id| *id != u("u"));
    assert!(limit_table.is_empty(), "the upstream was removed");
}

/// Datagrams are lost, duplicated and reordered. Some time after the last answer, all daemons
/// must still agree on the limit.
#[test]
fn lost_and_reordered_announcements_do_not_leave_daemons_in_disagreement() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut tables = vec![LimitTable::default(); 6];
        let mut in_flight: Vec<(usize, KnownLimit, u64)> = Vec::new();
        let mut last = None;
        for now_ms in (0..20_000).step_by(100) {
            if now_ms < 12_000 && rng.random_bool(0.2) {
                // An answer to a request that was sent just before, at a random daemon.
                let named_now =
                    [named(1.0), named(2.0), NamedLimit::Absent][rng.random_range(0..3)];
                let at = rng.random_range(0..tables.len());
                tables[at].record_answer(&u("u"), named_now, now_ms, now_ms);
                last = Some(tables[at].rate(&u("u")));
            }
            for (from, limit_table) in tables.iter_mut().enumerate() {
                for known in limit_table
                    .to_announce(9, now_ms)
                    .hubs
                    .into_iter()
                    .chain(limit_table.in_force(now_ms))
                {
                    let to = rng.random_range(0..6);
                    if to != from && rng.random_bool(0.8) {
                        let delay_ms = rng.random_range(0..400);
                        in_flight.push((to, known, now_ms + delay_ms));
                    }
                }
            }
            in_flight.shuffle(&mut rng);
            // The ages don't include the time in flight, which daemons don't know.
            for (to, known, _) in in_flight.extract_if(.., |(.., due)| *due <= now_ms) {
                tables[to].apply(&known, Some(true), now_ms);
            }
        }
        let rates: HashSet<_> = tables
            .iter()
            .map(|b| format!("{:?}", b.rate(&u("u"))))
            .collect();
        assert_eq!(rates.len(), 1, "seed {seed}: {rates:?}, last {last:?}");
    }
}

/// Daemons of builds that know no limits send requests without permits. The others share what
/// remains of the limit, and go on probing if the limit still exists.
#[test]
fn requests_without_permits_are_subtracted_from_the_limit() {
    for (others, own) in [(0.0, 300), (3.0, 120), (4.9, 15), (50.0, 15)] {
        let mut limit_table = table_with_limit(5.0);
        let share = PermitShare {
            part: 1.0,
            per_s_without_permits: others,
        };
        let times = (0..60_000).step_by(5);
        let taken = times.filter(|at| limit_table.take(&u("u"), share, *at).is_ok());
        let taken = taken.count();
        assert!(
            taken.abs_diff(own) <= 3,
            "{others} a second beside it: {taken}"
        );
    }
}

/// Where no issuer of permits is known, each of six daemons takes an equal share.
#[test]
fn equal_shares_add_up_to_the_limit() {
    let share = PermitShare {
        part: 1.0 / 6.0,
        ..PermitShare::ALL
    };
    let mut taken = 0;
    for _ in 0..6 {
        let mut limit_table = table_with_limit(3.0);
        let times = (0..60_000).step_by(5);
        taken += times
            .filter(|at| limit_table.take(&u("u"), share, *at).is_ok())
            .count();
    }
    assert!((170..=182).contains(&taken), "{taken} of 180");
}

fn table(name: &str, domain: &str, hubs: &[(&str, &str, u8)]) -> PeerTable {
    let mut table = PeerTable::new(entry(name, domain, 99));
    for (n, (hub, domain, level)) in hubs.iter().enumerate() {
        if *hub == name {
            continue;
        }
        let mut digest = Digest::new(entry(hub, domain, n), 1, 1);
        digest.interval_ms = 250;
        table.apply_digest(digest, 1_000);
        table.record_level(hub, *level);
    }
    table.tick(1, 1_100);
    table
}

#[test]
fn all_hubs_choose_the_same_issuer_in_the_failure_domain_of_the_upstream() {
    let hubs = [
        ("a1", "a", 1),
        ("a2", "a", 1),
        ("b1", "b", 1),
        ("b2", "b", 1),
        ("b3", "b", 0),
    ];
    for upstream in 0..50 {
        let mut issuers = HashSet::new();
        for (n, (name, domain, level)) in hubs.iter().enumerate() {
            let table = table(name, domain, &hubs);
            let issuer = match table.permit_issuer(upstream, "b", *level > 0) {
                PermitIssuer::Own => Some(address(n)),
                PermitIssuer::Other(at) => Some(at),
                PermitIssuer::Nobody => None,
            };
            issuers.insert(issuer);
        }
        assert_eq!(issuers.len(), 1, "upstream {upstream}: {issuers:?}");
        let issuer = issuers.into_iter().next().unwrap().unwrap();
        assert!(
            issuer == address(2) || issuer == address(3),
            "of domain b, and aware"
        );
    }
    let spread: HashSet<_> = (0..50)
        .map(|upstream| {
            format!(
                "{:?}",
                table("a1", "a", &hubs).permit_issuer(upstream, "b", true)
            )
        })
        .collect();
    assert_eq!(spread.len(), 2, "both aware hubs issue permits");
    let only_unaware = table("a1", "a", &[("b3", "b", 0)]);
    assert_eq!(only_unaware.permit_issuer(1, "b", true), PermitIssuer::Own);
    assert_eq!(
        only_unaware.permit_issuer(1, "b", false),
        PermitIssuer::Nobody
    );
}

/// A hub that has just started sends everything in both formats, so that a full digest has no
/// room for the extension that holds the hub's level. If its level were reset by such a
/// digest, there would be no issuer of permits at times.
#[test]
fn a_digest_without_a_level_does_not_remove_the_issuer() {
    let mut table = table("a1", "a", &[("a2", "a", 1)]);
    table.record_level("a2", 0);
    assert_eq!(
        table.permit_issuer(1, "a", false),
        PermitIssuer::Other(address(0))
    );
}

/// A daemon that restarts may run another build, so its level must be announced again.
#[test]
fn a_restarted_daemon_issues_no_permits_until_it_announces_that_it_can() {
    let mut table = table("a1", "a", &[("a2", "a", 1)]);
    assert_eq!(
        table.permit_issuer(1, "a", false),
        PermitIssuer::Other(address(0))
    );
    let mut digest = Digest::new(entry("a2", "a", 0), 2, 1);
    digest.interval_ms = 250;
    table.apply_digest(digest, 1_200);
    assert_eq!(table.permit_issuer(1, "a", false), PermitIssuer::Nobody);
}

//! How many requests a second upstreams get that name a limit.

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

/// A book in which an upstream `u` has just named a limit.
fn book_of(per_s: f64) -> LimitTable {
    let mut limit_table = LimitTable::default();
    assert!(limit_table.record_answer(&u("u"), named(per_s), 0, 0));
    limit_table
}

fn told(per_s: Option<f64>, version: u64) -> KnownLimit {
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
fn of_several_values_the_lowest_counts_and_junk_beside_it_does_not() {
    let read = |values: &[&str]| NamedLimit::read(values.iter().map(|v| v.as_bytes()));
    assert_eq!(read(&[]), NamedLimit::Absent);
    assert_eq!(read(&["x"]), NamedLimit::Unreadable);
    assert_eq!(read(&["3", "x", "2", "5"]), named(2.0));
    assert_eq!(read(&["x", "3"]), named(3.0));
}

/// Takes whatever permits there are, many times a second.
fn take_all(limit_table: &mut LimitTable, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let times = (from_ms..to_ms).step_by(5);
    times
        .filter(|at| limit_table.take(&u("u"), PermitShare::ALL, *at).is_ok())
        .collect()
}

fn most_in_4_s(times: &[u64]) -> usize {
    let in_span = |from: u64| {
        times
            .iter()
            .filter(|t| (from..from + 4_000).contains(*t))
            .count()
    };
    times.iter().map(|from| in_span(*from)).max().unwrap_or(0)
}

#[test]
fn a_limit_is_used_up_and_not_exceeded() {
    for per_s in [0.25, 0.5, 1.0, 3.7, 20.0, 150.0] {
        let mut limit_table = book_of(per_s);
        // Nobody asks for a while: some permits are kept, not all.
        let times = take_all(&mut limit_table, 30_000, 130_000);
        let most = most_in_4_s(&times) as f64;
        assert!(most <= 4.0 * per_s * 1.07 + 1.0, "{per_s}: {most}");
        assert!(
            times.len() as f64 >= 0.97 * 100.0 * per_s,
            "{per_s}: {}",
            times.len()
        );
    }
}

/// Many daemons ask one that issues permits, each again when it was told to.
#[test]
fn a_limit_is_used_up_wherever_the_load_comes_in() {
    for (daemons, seed) in [(1, 1), (2, 2), (8, 3), (45, 4)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut issuer = book_of(5.0);
        let mut asking: Vec<LimitTable> = (0..daemons).map(|_| book_of(5.0)).collect();
        let (mut times, mut asked) = (Vec::new(), 0);
        for now_ms in (1_000..61_000).step_by(2) {
            let limit_table = &mut asking[rng.random_range(0..daemons)];
            if limit_table.is_used_up(&u("u"), now_ms) {
                continue;
            }
            asked += 1;
            match issuer.take(&u("u"), PermitShare::ALL, now_ms) {
                Ok(()) => times.push(now_ms),
                Err(wait_ms) => limit_table.record_used_up(&u("u"), wait_ms, now_ms),
            }
        }
        let used = times.len();
        assert!(
            (285..=303).contains(&used),
            "{daemons} daemons: {used} of 300"
        );
        assert!(most_in_4_s(&times) <= 23, "{daemons} daemons");
        // Each asks about as often as there are permits, not each time that it places.
        let most = 60 * 5 * 2 + daemons * 60 * 2;
        assert!(asked <= most, "{daemons} daemons: asked {asked} times");
    }
}

#[test]
fn a_new_limit_gives_no_permits_for_the_time_before_it() {
    let mut limit_table = LimitTable::default();
    assert_eq!(
        limit_table.take(&u("u"), PermitShare::ALL, 60_000),
        Ok(()),
        "it names none"
    );
    limit_table.record_answer(&u("u"), named(2.0), 59_900, 60_000);
    assert_eq!(
        limit_table.take(&u("u"), PermitShare::ALL, 60_000),
        Err(500)
    );
    // It is raised, and lowered again.
    limit_table.record_answer(&u("u"), named(100.0), 60_100, 60_200);
    limit_table.record_answer(&u("u"), named(1.0), 70_100, 70_200);
    let times = take_all(&mut limit_table, 70_200, 74_200);
    assert!(
        times.len() <= 29,
        "{}: a quarter of a second's worth and 4",
        times.len()
    );
}

#[test]
fn an_answer_that_names_none_lifts_only_what_was_named_before_its_request() {
    let mut limit_table = book_of(1.0);
    limit_table.record_answer(&u("u"), named(1.0), 900, 1_000);
    // Its request was sent before the limit was named last: the answer may have begun then.
    assert!(!limit_table.record_answer(&u("u"), NamedLimit::Absent, 950, 1_100));
    assert_eq!(limit_table.rate(&u("u")), Some(rate(1.0)));
    assert!(!limit_table.record_answer(&u("u"), NamedLimit::Unreadable, 1_200, 1_300));
    assert_eq!(limit_table.rate(&u("u")), Some(rate(1.0)));
    assert!(limit_table.record_answer(&u("u"), NamedLimit::Absent, 1_200, 1_300));
    assert_eq!(limit_table.rate(&u("u")), None);
    assert_eq!(limit_table.take(&u("u"), PermitShare::ALL, 1_300), Ok(()));
    // And it may name one again.
    assert!(limit_table.record_answer(&u("u"), named(0.5), 1_400, 1_500));
    assert_eq!(
        limit_table.take(&u("u"), PermitShare::ALL, 1_500),
        Err(2_000)
    );
}

#[test]
fn one_that_takes_nothing_is_asked_now_and_then_whether_that_has_changed() {
    let mut limit_table = book_of(0.0);
    let times = take_all(&mut limit_table, 0, 60_000);
    assert!((13..=16).contains(&times.len()), "{}", times.len());
}

#[test]
fn of_what_daemons_tell_the_newest_counts() {
    let mut limit_table = LimitTable::default();
    assert!(
        !limit_table.apply(&told(None, 4), None, 5_000),
        "nothing was known of any"
    );
    assert!(limit_table.apply(&told(Some(2.0), 5), None, 5_000));
    assert!(
        !limit_table.apply(&told(Some(1.0), 4), None, 5_000),
        "older"
    );
    assert_eq!(limit_table.rate(&u("u")), Some(rate(2.0)));
    assert!(limit_table.apply(&told(None, 6), None, 5_000));
    assert!(
        !limit_table.apply(&told(Some(2.0), 5), None, 5_000),
        "told again"
    );
    assert_eq!(limit_table.rate(&u("u")), None);
    assert!(
        limit_table.apply(&told(Some(3.0), 6), None, 5_000),
        "both at once: the lower"
    );
    assert!(!limit_table.apply(&told(Some(4.0), 6), None, 5_000));
    // The next answer counts, whatever it says.
    assert!(limit_table.record_answer(&u("u"), named(9.0), 5_000, 5_100));
    assert_eq!(limit_table.known(&u("u"), 5_100).unwrap().version, 7);
}

/// A word of an earlier answer is on its way for long, and comes back by others: it looks
/// as young as it was when it was sent off last.
#[test]
fn a_word_that_was_long_on_its_way_is_no_news() {
    let mut limit_table = book_of(1.0);
    let word = limit_table.known(&u("u"), 0).unwrap();
    assert!(limit_table.record_answer(&u("u"), NamedLimit::Absent, 50, 100));
    assert!(!limit_table.apply(&word, Some(true), 5_000));
    assert_eq!(limit_table.rate(&u("u")), None);
}

#[test]
fn who_hears_something_older_tells_what_is_newer() {
    let mut limit_table = LimitTable::default();
    limit_table.apply(&told(Some(2.0), 5), None, 5_000);
    assert!(
        limit_table.to_announce(9, 5_000).hubs.is_empty(),
        "it passes nothing on"
    );
    limit_table.apply(&told(Some(2.0), 4), None, 5_000);
    assert!(
        limit_table.to_announce(9, 5_000).hubs.is_empty(),
        "they say the same"
    );
    limit_table.apply(&told(Some(7.0), 4), None, 5_000);
    assert_eq!(limit_table.to_announce(9, 5_000).hubs, [told(Some(2.0), 5)]);
}

#[test]
fn news_are_told_some_times_and_passed_on_as_far_as_they_have_to() {
    let mut limit_table = book_of(1.0);
    let announcements_left = (0..9).filter(|_| !limit_table.to_announce(9, 0).hubs.is_empty());
    assert_eq!(announcements_left.count(), 4);
    let mut hub = LimitTable::default();
    hub.apply(&told(Some(1.0), 1), Some(false), 0);
    let news = hub.to_announce(9, 0);
    assert_eq!((news.hubs.len(), news.members.len()), (0, 1));
}

#[test]
fn what_is_over_is_forgotten() {
    let mut limit_table = book_of(1.0);
    limit_table.tick(3_600_000);
    assert_eq!(
        limit_table.in_force(3_600_000).len(),
        1,
        "for as long as it says so"
    );
    limit_table.record_answer(&u("u"), NamedLimit::Absent, 3_600_000, 3_600_100);
    assert!(limit_table.in_force(3_600_100).is_empty());
    limit_table.tick(3_661_000);
    assert!(limit_table.is_empty());
    let mut limit_table = book_of(1.0);
    limit_table.retain(|id| *id != u("u"));
    assert!(limit_table.is_empty(), "an upstream that is gone");
}

/// Datagrams get lost, come twice and in any order: once no answer comes any more, all
/// daemons know what the last one said.
#[test]
fn daemons_come_to_know_the_same() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut books = vec![LimitTable::default(); 6];
        let mut on_the_way: Vec<(usize, KnownLimit, u64)> = Vec::new();
        let mut last = None;
        for now_ms in (0..20_000).step_by(100) {
            if now_ms < 12_000 && rng.random_bool(0.2) {
                // An answer to a request that was sent just before, at any daemon.
                let named_now =
                    [named(1.0), named(2.0), NamedLimit::Absent][rng.random_range(0..3)];
                let at = rng.random_range(0..books.len());
                books[at].record_answer(&u("u"), named_now, now_ms, now_ms);
                last = Some(books[at].rate(&u("u")));
            }
            for (from, limit_table) in books.iter_mut().enumerate() {
                for known in limit_table
                    .to_announce(9, now_ms)
                    .hubs
                    .into_iter()
                    .chain(limit_table.in_force(now_ms))
                {
                    let to = rng.random_range(0..6);
                    if to != from && rng.random_bool(0.8) {
                        let delay_ms = rng.random_range(0..400);
                        on_the_way.push((to, known, now_ms + delay_ms));
                    }
                }
            }
            on_the_way.shuffle(&mut rng);
            // Their ages have grown on the way; daemons don't know by how much.
            for (to, known, _) in on_the_way.extract_if(.., |(.., due)| *due <= now_ms) {
                books[to].apply(&known, Some(true), now_ms);
            }
        }
        let rates: HashSet<_> = books
            .iter()
            .map(|b| format!("{:?}", b.rate(&u("u"))))
            .collect();
        assert_eq!(rates.len(), 1, "seed {seed}: {rates:?}, last {last:?}");
    }
}

/// Daemons of builds that know of no limits send what they like: of what is left, others
/// take no more, and ask now and then whether the limit still stands.
#[test]
fn room_is_left_for_what_others_send_without_permits() {
    for (others, own) in [(0.0, 300), (3.0, 120), (4.9, 15), (50.0, 15)] {
        let mut limit_table = book_of(5.0);
        let share = PermitShare {
            part: 1.0,
            unaware_per_s: others,
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

/// Where nobody is known who issues permits, each of six daemons takes an even part.
#[test]
fn even_parts_add_up_to_the_whole() {
    let share = PermitShare {
        part: 1.0 / 6.0,
        ..PermitShare::ALL
    };
    let mut taken = 0;
    for _ in 0..6 {
        let mut limit_table = book_of(3.0);
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
fn all_hubs_find_the_same_issuer_and_it_stands_beside_the_upstream() {
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
    assert_eq!(spread.len(), 2, "both issue");
    let alone = table("a1", "a", &[("b3", "b", 0)]);
    assert_eq!(alone.permit_issuer(1, "b", true), PermitIssuer::Own);
    assert_eq!(alone.permit_issuer(1, "b", false), PermitIssuer::Nobody);
}

/// A hub that has just started says everything in both versions, and a full digest has no
/// room for what stands behind it: nobody issued permits then, by turns.
#[test]
fn a_digest_that_does_not_tell_takes_nothing_back() {
    let mut table = table("a1", "a", &[("a2", "a", 1)]);
    table.record_level("a2", 0);
    assert_eq!(
        table.permit_issuer(1, "a", false),
        PermitIssuer::Other(address(0))
    );
}

/// One that starts again may be of another build: what it knows is told anew.
#[test]
fn a_daemon_that_starts_again_issues_nothing_until_it_says_that_it_can() {
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

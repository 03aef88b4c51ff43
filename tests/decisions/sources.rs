//! Who reads the shared source, what lapses while it is away, and what one
//! daemon's directory tells another.

use saddlepulley::{
    cluster::{FeedUpdate, decode, encode, pack_upstreams},
    names::{FailureDomain, ServiceName, UpstreamId},
    policy::*,
    upstreams::{Upstream, UpstreamDirectory},
};

const READERS: usize = 2;

fn daemon(index: usize) -> DomainDaemon<usize> {
    DomainDaemon {
        rank: DaemonRank::new(&format!("n{index}"), 1.0),
        address: index,
        cut_from_source: false,
    }
}

fn others(daemons: &[DomainDaemon<usize>], own: usize) -> Vec<DomainDaemon<usize>> {
    let others = daemons.iter().filter(|d| d.address != own);
    others.cloned().collect()
}

fn readers(daemons: &[DomainDaemon<usize>]) -> Vec<usize> {
    let reads = |d: &&DomainDaemon<usize>| {
        source_role(d.rank, &others(daemons, d.address), READERS) == SourceRole::Reads
    };
    daemons.iter().filter(reads).map(|d| d.address).collect()
}

#[test]
fn two_daemons_of_a_zone_read_and_all_others_follow_just_these() {
    let zone: Vec<_> = (0..29).map(daemon).collect();
    let readers = readers(&zone);
    assert_eq!(readers.len(), READERS);
    let mut first_choices = [0; 29];
    for own in (0..29).filter(|n| !readers.contains(n)) {
        match source_role(zone[own].rank, &others(&zone, own), READERS) {
            SourceRole::Follows {
                daemons: followed, ..
            } => {
                assert!(followed.iter().all(|d| readers.contains(d)));
                first_choices[followed[0]] += 1;
            }
            SourceRole::Reads => unreachable!("it is no reader"),
        }
    }
    assert!(readers.iter().all(|d| first_choices[*d] >= 6));
}

#[test]
fn a_reader_that_is_cut_off_or_gone_is_replaced() {
    let mut zone: Vec<_> = (0..8).map(daemon).collect();
    let before = readers(&zone);
    zone[before[0]].cut_from_source = true;
    let with_cut = readers(&zone);
    assert!(with_cut.contains(&before[0]), "it goes on trying");
    assert_eq!(with_cut.len(), READERS + 1);
    zone.remove(before[0]);
    assert_eq!(readers(&zone).len(), READERS);
}

#[test]
fn where_one_reads_the_others_follow_it_and_know_a_second_one_to_ask() {
    let domain: Vec<_> = (0..9).map(daemon).collect();
    let reads =
        |d: &usize| source_role(domain[*d].rank, &others(&domain, *d), 1) == SourceRole::Reads;
    let readers: Vec<usize> = (0..9).filter(reads).collect();
    assert_eq!(readers.len(), 1);
    for own in (0..9).filter(|d| !readers.contains(d)) {
        match source_role(domain[own].rank, &others(&domain, own), 1) {
            SourceRole::Follows { daemons, .. } => assert_eq!(daemons[0], readers[0]),
            SourceRole::Reads => unreachable!("it is no reader"),
        }
    }
}

#[test]
fn while_the_source_is_away_only_a_few_of_many_followers_try_it_themselves() {
    let domain: Vec<_> = (0..60).map(daemon).collect();
    let reads_after = |tries: SourceTries| {
        let next =
            |d: &usize| source_role(domain[*d].rank, &others(&domain, *d), 1).next(tries, &[]);
        (0..60).filter(|d| next(d).is_none()).count()
    };
    let stale = |stale| SourceTries {
        stale,
        ..SourceTries::default()
    };
    assert_eq!(reads_after(stale(0)), 1, "the reader");
    assert_eq!(reads_after(stale(2)), 3, "and those next to it");
    assert_eq!(reads_after(stale(50)), 3);
    // Who is not answered at all has nobody else.
    let unreachable = SourceTries {
        unreachable: 2,
        stale: 0,
    };
    assert_eq!(reads_after(unreachable), 60);
}

#[test]
fn one_whose_readers_have_old_news_asks_others_that_have_some() {
    let domain: Vec<_> = (0..60).map(daemon).collect();
    let role = |d: usize| source_role(domain[d].rank, &others(&domain, d), 1);
    let last = (0..60).min_by_key(|d| domain[*d].rank).unwrap();
    let tries = SourceTries {
        unreachable: 0,
        stale: 2,
    };
    assert_eq!(role(last).next(tries, &[77]), Some(77));
}

/// How many of some daemons that start one after the other take themselves for
/// readers, each by those that are there already.
fn readers_while_starting(names: &[String]) -> usize {
    let ranks: Vec<DaemonRank> = names.iter().map(|n| DaemonRank::new(n, 1.0)).collect();
    let there = |count: usize| -> Vec<DomainDaemon<usize>> {
        let there = ranks[..count].iter().enumerate();
        there
            .map(|(address, rank)| DomainDaemon {
                rank: *rank,
                address,
                cut_from_source: false,
            })
            .collect()
    };
    let reads = |n: &usize| source_role(ranks[*n], &there(*n), READERS) == SourceRole::Reads;
    (0..names.len()).filter(reads).count()
}

#[test]
fn how_many_read_while_daemons_start_depends_on_their_order() {
    let mut names: Vec<String> = (1..=12).map(|n| format!("n{n}")).collect();
    assert_eq!(
        readers_while_starting(&names),
        8,
        "in the order of their numbers"
    );
    names.sort_by_key(|n| DaemonRank::new(n, 1.0));
    assert_eq!(readers_while_starting(&names), 12, "the last one first");
    names.reverse();
    assert_eq!(readers_while_starting(&names), 2);
}

#[test]
fn the_source_is_read_as_seldom_as_the_bound_allows() {
    let tight = SourcePace::for_bound(2_000);
    assert_eq!(
        (tight.readers, tight.hold_ms, tight.pause_ms),
        (2, 500, 400)
    );
    let wide = SourcePace::for_bound(4_000);
    assert_eq!(wide.readers, 1);
    assert!(wide.stale_ms() + 300 < 4_000, "time for another to read");
}

#[test]
fn one_that_hears_of_nobody_reads() {
    assert_eq!(
        source_role::<usize>(DaemonRank::new("n1", 1.0), &[], READERS),
        SourceRole::Reads
    );
}

#[test]
fn what_is_missing_right_after_an_outage_may_have_lapsed() {
    let mut contact = SourceContact::default();
    contact.note_answer(1_000);
    assert_eq!(contact.lapsed_until_ms(1_000), None, "no outage yet");
    contact.note_failure(1_500);
    contact.note_answer(2_000);
    assert_eq!(contact.lapsed_until_ms(2_000), None, "one lost call");
    contact.note_failure(3_000);
    contact.note_failure(5_000);
    assert!(contact.is_cut(5_000));
    contact.note_answer(6_000);
    assert!(contact.lapsed_until_ms(6_500).is_some());
    assert_eq!(contact.lapsed_until_ms(8_500), None, "long back");
}

fn upstream(index: u32, offset: u64) -> Upstream {
    Upstream {
        id: UpstreamId::from(format!("b{index}").as_str()),
        service: ServiceName::from("s"),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::from("a"),
        slots: 8,
        draining: false,
        version: Default::default(),
        reclaimable: false,
        offset,
    }
}

#[test]
fn a_lapsed_entry_gets_work_until_its_time_is_over_unless_it_was_leaving() {
    let mut directory = UpstreamDirectory::default();
    let mut leaving = upstream(2, 5);
    leaving.draining = true;
    let listing = vec![upstream(0, 3), upstream(1, 4), leaving];
    directory.replace(listing, 6, None);
    directory.replace(Vec::new(), 9, Some(2_000));
    assert!(directory.is_ready(&upstream(0, 0).id));
    assert!(
        directory.get(&upstream(2, 0).id).is_none(),
        "it was leaving"
    );
    directory.upsert(upstream(0, 9));
    directory.expire_lapsed(2_000);
    assert!(directory.is_ready(&upstream(0, 0).id), "it came back");
    assert!(directory.get(&upstream(1, 0).id).is_none(), "it did not");
}

#[test]
fn a_follower_has_the_same_upstreams_after_each_change() {
    let mut own = UpstreamDirectory::default();
    let mut theirs = UpstreamDirectory::default();
    let mut known = None;
    for step in 0..200_u32 {
        let (index, offset) = (step * 7 % 13, u64::from(step));
        match step % 3 {
            0 => theirs.remove(upstream(index, 0).id.as_str(), offset),
            1 => {
                let mut leaving = upstream(index, offset);
                leaving.draining = true;
                theirs.upsert(leaving);
            }
            _ => {
                theirs.upsert(upstream(index, offset));
            }
        }
        theirs.read_to(offset + 1);
        let changes = theirs.changes_since(known);
        known = Some(changes.told);
        own.apply(changes);
        let state = |d: &UpstreamDirectory| {
            let mut all: Vec<_> = d.all().map(|b| (b.id.clone(), b.draining)).collect();
            all.sort();
            all
        };
        assert_eq!(state(&own), state(&theirs), "after step {step}");
    }
    assert_ne!(theirs.changes_since(known).all_since, 0);
    assert_eq!(theirs.changes_since(None).all_since, 0, "the whole");
}

#[test]
fn an_older_whole_listing_takes_nothing_away() {
    let mut own = UpstreamDirectory::default();
    own.replace(vec![upstream(0, 5), upstream(1, 6)], 7, None);
    let mut theirs = UpstreamDirectory::default();
    let mut leaving = upstream(0, 4);
    leaving.draining = true;
    theirs.replace(vec![leaving], 6, None);
    own.apply(theirs.changes_since(None));
    assert!(own.is_ready(&upstream(1, 0).id), "not yet known there");
    assert!(!own.is_ready(&upstream(0, 0).id), "leaving is final");
}

#[test]
fn older_entries_bring_nothing_back_that_is_gone_elsewhere() {
    let mut theirs = UpstreamDirectory::default();
    theirs.replace(vec![upstream(0, 5), upstream(1, 6)], 7, None);
    let mut own = UpstreamDirectory::default();
    own.apply(theirs.changes_since(None));
    let known = theirs.changes_since(None).told;
    // An entry that says nothing new is no change that is told.
    theirs.upsert(upstream(0, 9));
    theirs.remove(upstream(0, 0).id.as_str(), 10);
    theirs.read_to(11);
    own.apply(theirs.changes_since(Some(known)));
    own.upsert(upstream(0, 9));
    assert!(!own.is_ready(&upstream(0, 0).id), "an old entry");
    own.upsert(upstream(0, 11));
    assert!(own.is_ready(&upstream(0, 0).id), "it lives");
}

#[test]
fn one_that_was_leaving_never_comes_back() {
    let mut directory = UpstreamDirectory::default();
    let mut leaving = upstream(0, 5);
    leaving.draining = true;
    directory.upsert(leaving);
    directory.remove(upstream(0, 0).id.as_str(), 6);
    directory.upsert(upstream(0, 50));
    assert!(!directory.is_ready(&upstream(0, 0).id));
}

#[test]
fn a_whole_listing_drops_what_it_lacks_and_should_have() {
    let mut own = UpstreamDirectory::default();
    let listing = vec![upstream(0, 5), upstream(1, 6), upstream(2, 8)];
    own.replace(listing, 9, None);
    let mut theirs = UpstreamDirectory::default();
    theirs.replace(vec![upstream(0, 5)], 8, None);
    own.apply(theirs.changes_since(None));
    assert!(own.get(&upstream(1, 0).id).is_none(), "it was gone there");
    assert!(own.is_ready(&upstream(2, 0).id), "it is new");
    let known = theirs.changes_since(None).told;
    theirs.upsert(upstream(2, 8));
    theirs.read_to(9);
    own.apply(theirs.changes_since(Some(known)));
    assert!(own.is_ready(&upstream(2, 0).id), "and stays");
}

/// Users saw requests sent 4 s after an upstream's entry had gone. A follower was
/// told that the entry went before it had heard of the entry at all, and remembered
/// nothing; a daemon that the source had turned away then told it of the entry.
#[test]
fn a_removal_that_was_heard_before_its_entry_holds() {
    let mut reader = UpstreamDirectory::default();
    reader.replace(vec![upstream(0, 1)], 2, None);
    let mut own = UpstreamDirectory::default();
    own.apply(reader.changes_since(None));
    let known = reader.changes_since(None).told;
    reader.upsert(upstream(1, 2));
    reader.read_to(3);
    let mut late = UpstreamDirectory::default();
    late.apply(reader.changes_since(None));
    reader.remove(upstream(1, 0).id.as_str(), 3);
    reader.read_to(4);
    own.apply(reader.changes_since(Some(known)));
    own.apply(late.changes_since(None));
    assert!(!own.is_ready(&upstream(1, 0).id));
}

/// A daemon that alone was cut off from the source takes what is missing at its return
/// for lapsed; one that was not knows better.
#[test]
fn what_lapsed_here_is_gone_if_another_says_so() {
    let mut own = UpstreamDirectory::default();
    own.replace(vec![upstream(0, 1), upstream(1, 2)], 3, None);
    own.replace(vec![upstream(0, 1)], 6, Some(2_000));
    assert!(own.is_ready(&upstream(1, 0).id), "it may have lapsed");
    let mut other = UpstreamDirectory::default();
    other.replace(vec![upstream(0, 1)], 6, None);
    own.apply(other.changes_since(None));
    assert!(!own.is_ready(&upstream(1, 0).id));
}

/// While many upstreams were replaced at once, what had gone was forgotten as a whole: all
/// followers were told the whole directory anew, and a life that had left could come back.
#[test]
fn what_went_is_remembered_while_a_whole_fleet_is_replaced() {
    for fleet in [1_000, 10_000_u32] {
        let listing = (0..fleet).map(|n| upstream(n, u64::from(n) + 1));
        let mut theirs = UpstreamDirectory::default();
        let mut position = u64::from(fleet) + 1;
        theirs.replace(listing.collect(), position, None);
        let mut own = UpstreamDirectory::default();
        own.apply(theirs.changes_since(None));
        let mut known = theirs.changes_since(None).told;
        for n in 0..fleet {
            let mut leaving = upstream(n, position);
            leaving.draining = true;
            theirs.upsert(leaving);
            theirs.remove(upstream(n, 0).id.as_str(), position + 1);
            theirs.upsert(upstream(fleet + n, position + 2));
            position += 3;
            theirs.read_to(position);
            if n % 500 == 499 {
                let changes = theirs.changes_since(Some(known));
                assert_ne!(
                    changes.all_since, 0,
                    "told one by one, after {n} of {fleet}"
                );
                known = changes.told;
                own.apply(changes);
            }
        }
        assert!(!theirs.upsert(upstream(fleet - 1, position)), "it had left");
        assert_eq!(own.all().count(), fleet as usize);
        assert!(own.all().all(|u| own.is_ready(&u.id)));
    }
}

/// Only those that went first are forgotten, and with them what a daemon that heard nothing
/// since could be told one by one.
#[test]
fn what_went_first_is_forgotten_first() {
    let mut theirs = UpstreamDirectory::default();
    theirs.replace(vec![upstream(0, 1)], 2, None);
    let early = theirs.changes_since(None).told;
    let mut late = early;
    for n in 1..10_000_u32 {
        let position = 2 * u64::from(n);
        theirs.upsert(upstream(n, position));
        theirs.remove(upstream(n, 0).id.as_str(), position + 1);
        theirs.read_to(position + 2);
        if n == 9_000 {
            late = theirs.changes_since(None).told;
        }
    }
    assert_eq!(theirs.changes_since(Some(early)).all_since, 0, "the whole");
    let changes = theirs.changes_since(Some(late));
    assert_ne!(changes.all_since, 0);
    assert_eq!(changes.gone.len(), 999);
}

/// Followers were told each word of each upstream, also those that only say that it lives:
/// with 10,000 upstreams before 196 followers 31 MB a second out of one reader.
#[test]
fn that_upstreams_live_is_not_told_to_those_that_follow() {
    for fleet in [300, 3_000, 10_000_u32] {
        let mut theirs = UpstreamDirectory::default();
        let listing = (0..fleet).map(|n| upstream(n, u64::from(n) + 1)).collect();
        let mut position = u64::from(fleet) + 1;
        theirs.replace(listing, position, None);
        let mut own = UpstreamDirectory::default();
        let whole = theirs.news_since(None);
        assert!(whole.is_whole);
        let mut known = whole.told;
        own.apply_news(whole);
        for n in 0..fleet {
            theirs.upsert(upstream(n, position));
            position += 1;
            theirs.read_to(position);
        }
        let news = theirs.news_since(Some(known));
        assert_eq!(
            (news.upstreams.len(), news.gone.len()),
            (0, 0),
            "of {fleet}"
        );
        known = news.told;
        own.apply_news(news);
        let mut leaving = upstream(3, position);
        leaving.draining = true;
        theirs.upsert(leaving);
        theirs.remove(upstream(4, 0).id.as_str(), position + 1);
        theirs.read_to(position + 2);
        let news = theirs.news_since(Some(known));
        assert_eq!(
            (news.upstreams.len(), news.gone.len()),
            (1, 1),
            "of {fleet}"
        );
        own.apply_news(news);
        assert!(!own.is_ready(&upstream(3, 0).id));
        assert!(own.get(&upstream(4, 0).id).is_none());
        assert_eq!(own.known(), fleet as usize - 1);
        assert_eq!(own.position(), position + 2);
    }
}

/// One that was cut off and comes back under the same name between two listings may have
/// been taken for gone by those that read on.
#[test]
fn what_a_listing_passed_over_is_told_as_a_change() {
    let mut theirs = UpstreamDirectory::default();
    theirs.replace(vec![upstream(0, 1)], 2, None);
    let mut own = UpstreamDirectory::default();
    let whole = theirs.news_since(None);
    let known = whole.told;
    own.apply_news(whole);
    own.remove(upstream(0, 0).id.as_str(), 5);
    own.read_to(6);
    theirs.replace(vec![upstream(0, 6)], 8, None);
    own.apply_news(theirs.news_since(Some(known)));
    assert!(own.is_ready(&upstream(0, 0).id), "it is back");
}

/// A whole directory is told packed.
#[test]
fn news_are_the_same_after_their_way() {
    let mut theirs = UpstreamDirectory::default();
    let listing = (0..2_000).map(|n| upstream(n, u64::from(n) + 1)).collect();
    theirs.replace(listing, 2_001, None);
    let news = theirs.news_since(None);
    let packed = pack_upstreams(&news.upstreams, &news.gone).unwrap();
    assert!(packed.len() < 40 * news.upstreams.len(), "{}", packed.len());
    let update = FeedUpdate {
        life: 5,
        source_age_ms: Some(300),
        config_version: 41,
        config: None,
        config_position: Some(12),
        rollouts: Vec::new(),
        told: news.told,
        is_whole: news.is_whole,
        packed,
    };
    let heard: FeedUpdate = decode(&encode(&update).unwrap()).unwrap();
    assert_eq!(heard, update);
    assert_eq!(heard.directory().unwrap(), news);
}

/// Readers that follow each other in a ring told each other, and all that follow them, the
/// same upstreams for as long as these lived: each had read a later word than the next.
#[test]
fn news_go_round_among_readers_once() {
    const READERS_OF_ALL: usize = 5;
    let fleet = 500_u32;
    let mut readers: Vec<_> = (0..READERS_OF_ALL)
        .map(|_| UpstreamDirectory::default())
        .collect();
    let mut position = 1;
    for reader in &mut readers {
        // They begin one after the other, and each finds later words.
        let listing = (0..fleet).map(|n| upstream(n, position + u64::from(n)));
        reader.replace(listing.collect(), position + u64::from(fleet), None);
        position += u64::from(fleet);
    }
    let mut known = [None; READERS_OF_ALL];
    let mut told = Vec::new();
    for _ in 0..20 {
        // Each upstream says that it lives, which half of them hear before the others.
        let mut late = Vec::new();
        for n in 0..fleet {
            late.push(upstream(n, position));
            position += 1;
        }
        let mut count = 0;
        for own in 0..READERS_OF_ALL {
            if own % 2 == 0 {
                late.iter().for_each(|u| {
                    readers[own].upsert(u.clone());
                });
                readers[own].read_to(position);
            }
            let other = (own + 1) % READERS_OF_ALL;
            let news = readers[other].news_since(known[own]);
            known[own] = Some(news.told);
            count += news.upstreams.len();
            readers[own].apply_news(news);
        }
        for reader in &mut readers {
            late.iter().for_each(|u| {
                reader.upsert(u.clone());
            });
            reader.read_to(position);
        }
        told.push(count);
    }
    assert!(told[3..].iter().all(|count| *count == 0), "{told:?}");
}

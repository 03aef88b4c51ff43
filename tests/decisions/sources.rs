//! Who reads the shared source, and what lapses while it is away.

use saddlepulley::policy::*;

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
    let tight = SourceReadSchedule::for_bound(2_000);
    assert_eq!(
        (tight.readers, tight.hold_ms, tight.pause_ms),
        (2, 500, 400)
    );
    let wide = SourceReadSchedule::for_bound(4_000);
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
    contact.record_answer(1_000);
    assert_eq!(contact.lapsed_until_ms(1_000), None, "no outage yet");
    contact.record_failure(1_500);
    contact.record_answer(2_000);
    assert_eq!(contact.lapsed_until_ms(2_000), None, "one lost call");
    contact.record_failure(3_000);
    contact.record_failure(5_000);
    assert!(contact.is_cut(5_000));
    contact.record_answer(6_000);
    assert!(contact.lapsed_until_ms(6_500).is_some());
    assert_eq!(contact.lapsed_until_ms(8_500), None, "long back");
}

/// What goes after its return is gone: the source was there all the time.
#[test]
fn a_daemon_that_alone_was_cut_off_takes_removals_for_lapses() {
    let mut contact = SourceContact::default();
    contact.record_answer(1_000);
    contact.record_failure(1_500);
    for now_ms in (2_000..13_000).step_by(700) {
        // Others go on hearing it, and say so a while later.
        contact.record_relayed(now_ms - 600, now_ms);
    }
    assert!(contact.is_cut(13_000));
    contact.record_answer(13_000);
    assert_eq!(contact.lapsed_until_ms(13_200), None);
}

/// Another one that hears it first may tell so before its own calls are answered.
#[test]
fn what_lapsed_while_the_source_was_away_for_all_is_gone_at_once_where_another_heard_it_first() {
    let mut contact = SourceContact::default();
    contact.record_answer(1_000);
    contact.record_failure(1_500);
    contact.record_relayed(1_400, 1_900);
    contact.record_relayed(13_000, 13_100);
    contact.record_answer(13_300);
    assert!(contact.lapsed_until_ms(13_400).is_some());
}

/// One that slept heard nothing either, and the source was there.
#[test]
fn a_daemon_that_was_frozen_takes_removals_for_lapses() {
    let mut contact = SourceContact::default();
    contact.record_answer(1_000);
    contact.record_answer(9_000);
    assert_eq!(contact.lapsed_until_ms(9_100), None);
    contact.record_relayed(20_000, 20_100);
    assert_eq!(contact.lapsed_until_ms(20_200), None);
}

//! What one daemon's directory of upstreams tells another.

use {
    bytes::Bytes,
    saddlepulley::{
        cluster::{FeedUpdate, PackedUpdates, decode, encode, pack_upstreams},
        names::{FailureDomain, ServiceName, UpstreamId},
        upstreams::{Upstream, UpstreamDirectory},
    },
};

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
        known = Some(changes.cursor);
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
    let known = theirs.changes_since(None).cursor;
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
    let known = theirs.changes_since(None).cursor;
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
    let known = reader.changes_since(None).cursor;
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
        let mut known = theirs.changes_since(None).cursor;
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
                known = changes.cursor;
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
    let early = theirs.changes_since(None).cursor;
    let mut late = early;
    for n in 1..10_000_u32 {
        let position = 2 * u64::from(n);
        theirs.upsert(upstream(n, position));
        theirs.remove(upstream(n, 0).id.as_str(), position + 1);
        theirs.read_to(position + 2);
        if n == 9_000 {
            late = theirs.changes_since(None).cursor;
        }
    }
    assert_eq!(theirs.changes_since(Some(early)).all_since, 0, "the whole");
    let changes = theirs.changes_since(Some(late));
    assert_ne!(changes.all_since, 0);
    assert_eq!(changes.removed_ids.len(), 999);
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
        let whole = theirs.update_since(None);
        assert!(whole.is_complete);
        let mut known = whole.cursor;
        own.apply_update(whole);
        for n in 0..fleet {
            theirs.upsert(upstream(n, position));
            position += 1;
            theirs.read_to(position);
        }
        let news = theirs.update_since(Some(known));
        assert_eq!(
            (news.upstreams.len(), news.removed_ids.len()),
            (0, 0),
            "of {fleet}"
        );
        known = news.cursor;
        own.apply_update(news);
        let mut leaving = upstream(3, position);
        leaving.draining = true;
        theirs.upsert(leaving);
        theirs.remove(upstream(4, 0).id.as_str(), position + 1);
        theirs.read_to(position + 2);
        let news = theirs.update_since(Some(known));
        assert_eq!(
            (news.upstreams.len(), news.removed_ids.len()),
            (1, 1),
            "of {fleet}"
        );
        own.apply_update(news);
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
    let whole = theirs.update_since(None);
    let known = whole.cursor;
    own.apply_update(whole);
    own.remove(upstream(0, 0).id.as_str(), 5);
    own.read_to(6);
    theirs.replace(vec![upstream(0, 6)], 8, None);
    own.apply_update(theirs.update_since(Some(known)));
    assert!(own.is_ready(&upstream(0, 0).id), "it is back");
}

/// A whole directory is told packed.
#[test]
fn news_are_the_same_after_their_way() {
    let mut theirs = UpstreamDirectory::default();
    let listing = (0..2_000).map(|n| upstream(n, u64::from(n) + 1)).collect();
    theirs.replace(listing, 2_001, None);
    let news = theirs.update_since(None);
    let packed = pack_upstreams(&news.upstreams, &news.removed_ids).unwrap();
    assert!(packed.len() < 40 * news.upstreams.len(), "{}", packed.len());
    let by_offsets = encode(&theirs.changes_since(None)).unwrap();
    assert!(packed.len() * 2 < by_offsets.len(), "{}", by_offsets.len());
    let update = FeedUpdate {
        incarnation: 5,
        source_age_ms: Some(300),
        config_version: 41,
        config: None,
        config_position: Some(12),
        rollouts: Vec::new(),
        cursor: news.cursor,
        is_complete: news.is_complete,
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
            let news = readers[other].update_since(known[own]);
            known[own] = Some(news.cursor);
            count += news.upstreams.len();
            readers[own].apply_update(news);
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

/// A wave of leaving upstreams was gathered and packed anew for each of 196 followers, at
/// 10,000 upstreams for a second of a whole core; requests waited behind it.
#[test]
fn news_are_packed_once_for_all_that_know_the_same() {
    const FOLLOWERS: u64 = 196;
    let mut kept = PackedUpdates::default();
    let mut packed_times = 0;
    let mut told = |revision: u64, since: Option<u64>| {
        let fresh = || {
            packed_times += 1;
            Bytes::from(format!("{since:?} to {revision}"))
        };
        let bytes = kept.get(revision, since).unwrap_or_else(fresh);
        kept.keep(revision, since, bytes.clone());
        assert_eq!(bytes, format!("{since:?} to {revision}"));
    };
    for revision in 10..20 {
        for follower in 0..FOLLOWERS {
            // Some are a revision behind, and one asks for the whole.
            let since = (follower > 0).then_some(revision - 1 - follower % 2);
            told(revision, since);
        }
        told(revision - 1, Some(3));
    }
    assert_eq!(packed_times, 10 * 3 + 10, "older ones are not kept");
}

/// Its entry says that it is ready, and is written anew with each heartbeat.
#[test]
fn the_word_of_an_upstream_that_leaves_is_taken_back_by_its_entry() {
    let id = upstream(1, 0).id;
    let mut own = UpstreamDirectory::default();
    own.replace(vec![upstream(1, 3), upstream(2, 4)], 6, None);
    assert!(own.mark_leaving(&id));
    assert!(!own.mark_leaving(&id), "it is known");
    own.upsert(upstream(1, 7));
    own.replace(vec![upstream(1, 9), upstream(2, 8)], 12, None);
    assert!(!own.is_ready(&id));
    assert!(own.is_ready(&upstream(2, 0).id));
    // Those that follow it learn it, whatever they heard of the entry.
    let mut follower = UpstreamDirectory::default();
    follower.replace(vec![upstream(1, 20), upstream(2, 21)], 22, None);
    follower.apply_update(own.update_since(None));
    assert!(!follower.is_ready(&id));
}

#[test]
fn one_that_said_that_it_leaves_while_its_entry_was_away_comes_back_with_it() {
    let id = upstream(1, 0).id;
    let mut directory = UpstreamDirectory::default();
    directory.replace(vec![upstream(1, 3)], 6, None);
    directory.remove(id.as_str(), 8);
    assert!(!directory.mark_leaving(&id), "it is gone");
    directory.upsert(upstream(1, 9));
    assert!(!directory.is_ready(&id));
}

#[test]
fn a_file_that_lists_one_again_that_left_is_passed_over() {
    let id = upstream(1, 0).id;
    let mut directory = UpstreamDirectory::default();
    directory.replace_own(vec![upstream(1, 0)]);
    assert!(directory.mark_leaving(&id));
    directory.replace_own(vec![upstream(1, 0)]);
    assert!(!directory.is_ready(&id), "the file is only read again");
    directory.replace_own(Vec::new());
    directory.replace_own(vec![upstream(1, 0)]);
    assert!(directory.is_ready(&id));
    let mut leaving = upstream(1, 0);
    leaving.draining = true;
    directory.replace_own(vec![leaving]);
    directory.replace_own(vec![upstream(1, 0)]);
    assert!(directory.is_ready(&id));
}

#[test]
fn an_upstream_of_a_file_that_ended_is_left_out_for_good() {
    let id = upstream(1, 0).id;
    let mut directory = UpstreamDirectory::default();
    directory.replace_own(vec![upstream(1, 0)]);
    directory.mark_leaving(&id);
    assert!(directory.is_leaving_until_exit(&id));
    directory.mark_ended(&id);
    assert!(directory.is_ready(&id));
    assert!(!directory.is_leaving_until_exit(&id));
    // Where lives are told apart, the end of one is no new one.
    let mut shared = UpstreamDirectory::default();
    shared.replace(vec![upstream(1, 3)], 6, None);
    shared.mark_leaving(&id);
    shared.mark_ended(&id);
    assert!(!shared.is_ready(&id));
}

//! The directory of upstreams: records, listings, and updates between daemons.

use {
    crate::support::source_upstream as upstream,
    bytes::Bytes,
    saddlepulley::{
        cluster::{FeedUpdate, PackedUpdates, decode, encode, pack_upstreams},
        upstreams::UpstreamDirectory,
    },
};

#[test]
fn a_lapsed_entry_gets_requests_until_it_expires_unless_it_was_leaving() {
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
    assert_eq!(
        theirs.changes_since(None).all_since,
        0,
        "the full directory"
    );
}

#[test]
fn an_older_full_listing_removes_nothing() {
    let mut own = UpstreamDirectory::default();
    own.replace(vec![upstream(0, 5), upstream(1, 6)], 7, None);
    let mut theirs = UpstreamDirectory::default();
    let mut leaving = upstream(0, 4);
    leaving.draining = true;
    theirs.replace(vec![leaving], 6, None);
    own.apply(theirs.changes_since(None));
    assert!(
        own.is_ready(&upstream(1, 0).id),
        "not yet known to the other daemon"
    );
    assert!(!own.is_ready(&upstream(0, 0).id), "leaving is final");
}

#[test]
fn older_entries_do_not_bring_back_an_upstream_that_another_daemon_removed() {
    let mut theirs = UpstreamDirectory::default();
    theirs.replace(vec![upstream(0, 5), upstream(1, 6)], 7, None);
    let mut own = UpstreamDirectory::default();
    own.apply(theirs.changes_since(None));
    let known = theirs.changes_since(None).cursor;
    // An entry without new content is no change that is sent.
    theirs.upsert(upstream(0, 9));
    theirs.remove(upstream(0, 0).id.as_str(), 10);
    theirs.read_to(11);
    own.apply(theirs.changes_since(Some(known)));
    own.upsert(upstream(0, 9));
    assert!(
        !own.is_ready(&upstream(0, 0).id),
        "an entry older than the removal"
    );
    own.upsert(upstream(0, 11));
    assert!(
        own.is_ready(&upstream(0, 0).id),
        "an entry newer than the removal"
    );
}

#[test]
fn an_incarnation_that_was_leaving_never_comes_back() {
    let mut directory = UpstreamDirectory::default();
    let mut leaving = upstream(0, 5);
    leaving.draining = true;
    directory.upsert(leaving);
    directory.remove(upstream(0, 0).id.as_str(), 6);
    directory.upsert(upstream(0, 50));
    assert!(!directory.is_ready(&upstream(0, 0).id));
}

#[test]
fn a_full_listing_removes_missing_upstreams_but_not_newer_ones() {
    let mut own = UpstreamDirectory::default();
    let listing = vec![upstream(0, 5), upstream(1, 6), upstream(2, 8)];
    own.replace(listing, 9, None);
    let mut theirs = UpstreamDirectory::default();
    theirs.replace(vec![upstream(0, 5)], 8, None);
    own.apply(theirs.changes_since(None));
    assert!(
        own.get(&upstream(1, 0).id).is_none(),
        "the other daemon had removed it"
    );
    assert!(
        own.is_ready(&upstream(2, 0).id),
        "it is newer than the listing"
    );
    let known = theirs.changes_since(None).cursor;
    theirs.upsert(upstream(2, 8));
    theirs.read_to(9);
    own.apply(theirs.changes_since(Some(known)));
    assert!(
        own.is_ready(&upstream(2, 0).id),
        "the other daemon has it too"
    );
}

/// Guards against requests that are sent to an upstream seconds after its entry is removed
/// (4 s in one case). A follower receives the removal before the entry and doesn't remember
/// it; a daemon that the source had refused to serve then sends it the old entry.
#[test]
fn a_removal_received_before_its_entry_is_not_undone() {
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

/// A daemon that was cut off from the source counts entries that are missing afterwards as
/// lapsed. If only that daemon was cut off, the directory of another one shows that they
/// were removed.
#[test]
fn a_lapsed_entry_is_removed_if_another_daemon_lacks_it() {
    let mut own = UpstreamDirectory::default();
    own.replace(vec![upstream(0, 1), upstream(1, 2)], 3, None);
    own.replace(vec![upstream(0, 1)], 6, Some(2_000));
    assert!(own.is_ready(&upstream(1, 0).id), "it may have lapsed only");
    let mut other = UpstreamDirectory::default();
    other.replace(vec![upstream(0, 1)], 6, None);
    own.apply(other.changes_since(None));
    assert!(!own.is_ready(&upstream(1, 0).id));
}

/// Guards against a memory of removals that is cleared while many upstreams are replaced at
/// once: then all followers are sent the full directory again, and an incarnation that had
/// left can come back.
#[test]
fn removals_are_remembered_while_all_upstreams_are_replaced() {
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
                    "sent one by one, after {n} of {fleet}"
                );
                known = changes.cursor;
                own.apply(changes);
            }
        }
        assert!(
            !theirs.upsert(upstream(fleet - 1, position)),
            "it was leaving when it was removed"
        );
        assert_eq!(own.all().count(), fleet as usize);
        assert!(own.all().all(|u| own.is_ready(&u.id)));
    }
}

/// Only the oldest removals are forgotten. A follower whose last update is older than these
/// is sent the full directory, as its changes can no longer be listed one by one.
#[test]
fn the_oldest_removals_are_forgotten_first() {
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
    assert_eq!(
        theirs.changes_since(Some(early)).all_since,
        0,
        "the full directory"
    );
    let changes = theirs.changes_since(Some(late));
    assert_ne!(changes.all_since, 0);
    assert_eq!(changes.removed_ids.len(), 999);
}

/// Guards against updates that carry each heartbeat of each upstream: with 10,000 upstreams
/// and 196 followers, one reader sent 31 MB per second.
#[test]
fn heartbeats_of_upstreams_are_not_sent_to_followers() {
    for fleet in [300, 3_000, 10_000_u32] {
        let mut theirs = UpstreamDirectory::default();
        let listing = (0..fleet).map(|n| upstream(n, u64::from(n) + 1)).collect();
        let mut position = u64::from(fleet) + 1;
        theirs.replace(listing, position, None);
        let mut own = UpstreamDirectory::default();
        let full = theirs.update_since(None);
        assert!(full.is_complete);
        let mut known = full.cursor;
        own.apply_update(full, 0);
        for n in 0..fleet {
            theirs.upsert(upstream(n, position));
            position += 1;
            theirs.read_to(position);
        }
        let update = theirs.update_since(Some(known));
        assert_eq!(
            (update.upstreams.len(), update.removed_ids.len()),
            (0, 0),
            "of {fleet}"
        );
        known = update.cursor;
        own.apply_update(update, 0);
        let mut leaving = upstream(3, position);
        leaving.draining = true;
        theirs.upsert(leaving);
        theirs.remove(upstream(4, 0).id.as_str(), position + 1);
        theirs.read_to(position + 2);
        let update = theirs.update_since(Some(known));
        assert_eq!(
            (update.upstreams.len(), update.removed_ids.len()),
            (1, 1),
            "of {fleet}"
        );
        own.apply_update(update, 0);
        assert!(!own.is_ready(&upstream(3, 0).id));
        assert!(own.get(&upstream(4, 0).id).is_none());
        assert_eq!(own.known(), fleet as usize - 1);
        assert_eq!(own.position(), position + 2);
    }
}

/// An upstream that was cut off and comes back under the same name between two listings may
/// have been removed meanwhile by the daemons that kept reading the source.
#[test]
fn an_upstream_that_came_back_between_listings_is_sent_as_a_change() {
    let mut theirs = UpstreamDirectory::default();
    theirs.replace(vec![upstream(0, 1)], 2, None);
    let mut own = UpstreamDirectory::default();
    let full = theirs.update_since(None);
    let known = full.cursor;
    own.apply_update(full, 0);
    own.remove(upstream(0, 0).id.as_str(), 5);
    own.read_to(6);
    theirs.replace(vec![upstream(0, 6)], 8, None);
    own.apply_update(theirs.update_since(Some(known)), 0);
    assert!(own.is_ready(&upstream(0, 0).id), "it is present again");
}

/// A full directory is sent in packed form.
#[test]
fn a_packed_update_is_unchanged_after_encoding_and_decoding() {
    let mut theirs = UpstreamDirectory::default();
    let listing = (0..2_000).map(|n| upstream(n, u64::from(n) + 1)).collect();
    theirs.replace(listing, 2_001, None);
    let directory_update = theirs.update_since(None);
    let packed =
        pack_upstreams(&directory_update.upstreams, &directory_update.removed_ids).unwrap();
    assert!(
        packed.len() < 40 * directory_update.upstreams.len(),
        "{}",
        packed.len()
    );
    let by_offsets = encode(&theirs.changes_since(None)).unwrap();
    assert!(packed.len() * 2 < by_offsets.len(), "{}", by_offsets.len());
    let update = FeedUpdate {
        incarnation: 5,
        source_age_ms: Some(300),
        config_version: 41,
        config: None,
        config_position: Some(12),
        rollouts: Vec::new(),
        cursor: directory_update.cursor,
        is_complete: directory_update.is_complete,
        packed,
    };
    let received: FeedUpdate = decode(&encode(&update).unwrap()).unwrap();
    assert_eq!(received, update);
    assert_eq!(received.directory().unwrap(), directory_update);
}

/// Guards against endless updates among readers that follow each other in a ring: if a later
/// heartbeat counts as a change, each reader has a later one than the next, and they send
/// each other and all their followers the same upstreams again and again.
#[test]
fn readers_in_a_ring_do_not_send_the_same_update_again() {
    const READERS_OF_ALL: usize = 5;
    let fleet = 500_u32;
    let mut readers: Vec<_> = (0..READERS_OF_ALL)
        .map(|_| UpstreamDirectory::default())
        .collect();
    let mut position = 1;
    for reader in &mut readers {
        // The readers start one after the other, and each finds later records.
        let listing = (0..fleet).map(|n| upstream(n, position + u64::from(n)));
        reader.replace(listing.collect(), position + u64::from(fleet), None);
        position += u64::from(fleet);
    }
    let mut known = [None; READERS_OF_ALL];
    let mut sent_counts = Vec::new();
    for _ in 0..20 {
        // Each upstream sends a heartbeat, which some of the readers get before the others.
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
            let update = readers[other].update_since(known[own]);
            known[own] = Some(update.cursor);
            count += update.upstreams.len();
            readers[own].apply_update(update, 0);
        }
        for reader in &mut readers {
            late.iter().for_each(|u| {
                reader.upsert(u.clone());
            });
            reader.read_to(position);
        }
        sent_counts.push(count);
    }
    assert!(
        sent_counts[3..].iter().all(|count| *count == 0),
        "{sent_counts:?}"
    );
}

/// Guards against updates that are collected and packed separately for each follower. When
/// many of 10,000 upstreams left at once, with 196 followers, that took a full core for a
/// second, and requests had to wait.
#[test]
fn an_update_is_packed_once_for_all_followers_with_the_same_revision() {
    const FOLLOWERS: u64 = 196;
    let mut packed_updates = PackedUpdates::default();
    let mut packed_times = 0;
    let mut send_update = |revision: u64, since: Option<u64>| {
        let fresh = || {
            packed_times += 1;
            Bytes::from(format!("{since:?} to {revision}"))
        };
        let bytes = packed_updates.get(revision, since).unwrap_or_else(fresh);
        packed_updates.insert(revision, since, bytes.clone());
        assert_eq!(bytes, format!("{since:?} to {revision}"));
    };
    for revision in 10..20 {
        for follower in 0..FOLLOWERS {
            // Some followers are a revision behind, and one queries the full directory.
            let since = (follower > 0).then_some(revision - 1 - follower % 2);
            send_update(revision, since);
        }
        send_update(revision - 1, Some(3));
    }
    assert_eq!(
        packed_times,
        10 * 3 + 10,
        "updates to older revisions are not kept"
    );
}

/// The entry of an upstream that is leaving may still say that it is ready, and is written
/// again with each heartbeat.
#[test]
fn an_entry_does_not_undo_that_an_upstream_is_leaving() {
    let id = upstream(1, 0).id;
    let mut own = UpstreamDirectory::default();
    own.replace(vec![upstream(1, 3), upstream(2, 4)], 6, None);
    assert!(own.mark_leaving(&id));
    assert!(!own.mark_leaving(&id), "known already");
    own.upsert(upstream(1, 7));
    own.replace(vec![upstream(1, 9), upstream(2, 8)], 12, None);
    assert!(!own.is_ready(&id));
    assert!(own.is_ready(&upstream(2, 0).id));
    // Its followers receive the change, even if they have newer records of the entry.
    let mut follower = UpstreamDirectory::default();
    follower.replace(vec![upstream(1, 20), upstream(2, 21)], 22, None);
    follower.apply_update(own.update_since(None), 0);
    assert!(!follower.is_ready(&id));
}

#[test]
fn an_upstream_that_announced_leaving_after_its_removal_gets_no_requests() {
    let id = upstream(1, 0).id;
    let mut directory = UpstreamDirectory::default();
    directory.replace(vec![upstream(1, 3)], 6, None);
    directory.remove(id.as_str(), 8);
    assert!(!directory.mark_leaving(&id), "the entry is removed");
    directory.upsert(upstream(1, 9));
    assert!(!directory.is_ready(&id));
}

#[test]
fn reading_a_file_again_does_not_undo_that_an_upstream_is_leaving() {
    let id = upstream(1, 0).id;
    let mut directory = UpstreamDirectory::default();
    directory.replace_own(vec![upstream(1, 0)]);
    assert!(directory.mark_leaving(&id));
    directory.replace_own(vec![upstream(1, 0)]);
    assert!(
        !directory.is_ready(&id),
        "a file that is read again shows no new incarnation"
    );
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
fn an_upstream_of_a_file_is_ready_again_after_its_exit() {
    let id = upstream(1, 0).id;
    let mut directory = UpstreamDirectory::default();
    directory.replace_own(vec![upstream(1, 0)]);
    directory.mark_leaving(&id);
    assert!(directory.is_leaving_until_exit(&id));
    directory.mark_ended(&id);
    assert!(directory.is_ready(&id));
    assert!(!directory.is_leaving_until_exit(&id));
    // In a shared source, where ids name incarnations, an exit does not undo the leaving.
    let mut shared = UpstreamDirectory::default();
    shared.replace(vec![upstream(1, 3)], 6, None);
    shared.mark_leaving(&id);
    shared.mark_ended(&id);
    assert!(!shared.is_ready(&id));
}

//! The directory of upstreams when its source returns from an older copy of itself.

use {
    crate::support::{source_id as id, source_upstream as upstream},
    saddlepulley::{names::SourceEra, upstreams::UpstreamDirectory},
};

const UNTIL_MS: u64 = 2_200;

fn era(number: u64) -> SourceEra {
    SourceEra::from_code(number)
}

/// Returns a directory that has read three upstreams up to offset 60 of an era.
fn directory_in(number: u64) -> UpstreamDirectory {
    let mut directory = UpstreamDirectory::default();
    assert!(directory.enter_era(era(number), 0));
    let listing = (0..3).map(|n| upstream(n, 50 + u64::from(n))).collect();
    directory.replace(listing, 60, None);
    directory
}

#[test]
fn an_upstream_whose_entry_went_in_a_former_era_gets_requests_no_longer_than_the_grace_time() {
    let mut directory = directory_in(4);
    assert!(directory.enter_era(era(5), UNTIL_MS));
    // The listing of the new era ends before the offsets of the former one.
    directory.replace(vec![upstream(0, 30)], 40, Some(UNTIL_MS));
    directory.upsert(upstream(1, 40));
    directory.read_to(41);
    assert!(directory.is_ready(&id(2)), "it may be written again");
    directory.expire_lapsed(UNTIL_MS);
    assert!(directory.is_ready(&id(0)) && directory.is_ready(&id(1)));
    assert!(!directory.is_ready(&id(2)));
}

#[test]
fn a_removal_in_the_new_era_counts_although_its_offset_is_lower() {
    let mut directory = directory_in(4);
    directory.enter_era(era(5), UNTIL_MS);
    let listing = (0..3).map(|n| upstream(n, 10 + u64::from(n))).collect();
    directory.replace(listing, 20, Some(UNTIL_MS));
    directory.remove(id(1).upstream(), 25);
    assert!(!directory.is_ready(&id(1)));
}

#[test]
fn a_new_upstream_is_known_although_its_offset_was_given_out_before() {
    let mut directory = directory_in(4);
    directory.enter_era(era(5), UNTIL_MS);
    directory.replace(vec![upstream(0, 30)], 40, Some(UNTIL_MS));
    directory.upsert(upstream(9, 45));
    assert!(directory.is_ready(&id(9)));
}

#[test]
fn a_copy_does_not_bring_back_an_upstream_that_was_removed_or_leaves() {
    let mut directory = directory_in(4);
    directory.remove(id(1).upstream(), 61);
    directory.mark_leaving(&id(2));
    directory.read_to(62);
    directory.enter_era(era(5), UNTIL_MS);
    let listing = (0..3).map(|n| upstream(n, 20 + u64::from(n))).collect();
    directory.replace(listing, 30, Some(UNTIL_MS));
    assert!(directory.is_ready(&id(0)));
    assert!(!directory.is_ready(&id(1)), "only the copy lists it");
    assert!(
        !directory.is_ready(&id(2)),
        "it had announced that it leaves"
    );
    directory.upsert(upstream(1, 31));
    assert!(directory.is_ready(&id(1)), "it is there");
}

#[test]
fn what_a_daemon_says_of_a_former_era_is_ignored_but_for_leaving_upstreams() {
    let mut behind = directory_in(4);
    let mut directory = directory_in(4);
    directory.enter_era(era(5), UNTIL_MS);
    directory.replace(vec![upstream(0, 30), upstream(1, 31)], 40, Some(UNTIL_MS));
    directory.expire_lapsed(UNTIL_MS);
    behind.mark_leaving(&id(1));
    assert!(!directory.apply_update(behind.update_since(None), 0));
    assert!(!directory.is_ready(&id(1)), "it leaves, in any era");
    assert!(!directory.is_ready(&id(2)), "known of the former era only");
    assert_eq!(directory.position(), 40);
    // A build that knows of no eras.
    assert!(!directory.apply(behind.changes_since(None)));
    assert_eq!(directory.position(), 40);
    assert!(!directory.enter_era(SourceEra::UNKNOWN, 0));
}

#[test]
fn a_follower_enters_the_era_of_the_daemon_that_it_follows() {
    let mut theirs = directory_in(4);
    let mut own = UpstreamDirectory::default();
    assert!(own.apply_update(theirs.update_since(None), 0));
    let known = theirs.cursor();
    theirs.enter_era(era(5), UNTIL_MS);
    theirs.replace(vec![upstream(0, 10)], 20, Some(UNTIL_MS));
    let update = theirs.update_since(Some(known));
    assert!(
        update.is_complete,
        "changes since a former era can't be listed"
    );
    assert!(own.apply_update(update, UNTIL_MS));
    assert_eq!((own.era(), own.position()), (era(5), 20));
    assert!(own.is_ready(&id(1)), "it may be written again");
    let known = theirs.cursor();
    theirs.expire_lapsed(UNTIL_MS);
    assert!(own.apply_update(theirs.update_since(Some(known)), 0));
    assert!(own.is_ready(&id(0)));
    assert!(!own.is_ready(&id(1)) && !own.is_ready(&id(2)));
}

/// Guards against a follower that lacks an upstream for good: it had removed it in the former era,
/// the daemon that it follows had not, and heartbeats are not sent to followers.
#[test]
fn a_follower_takes_an_upstream_that_it_had_removed_before_the_return() {
    let mut theirs = directory_in(4);
    let mut own = directory_in(4);
    own.remove(id(1).upstream(), 70);
    own.read_to(71);
    theirs.enter_era(era(5), UNTIL_MS);
    theirs.replace(
        (0..3).map(|n| upstream(n, 10)).collect(),
        20,
        Some(UNTIL_MS),
    );
    theirs.upsert(upstream(1, 21));
    theirs.read_to(22);
    assert!(own.apply_update(theirs.update_since(None), UNTIL_MS));
    assert!(own.is_ready(&id(1)));
}

/// Guards against two daemons that each take the other's copy of a missing entry for its return.
#[test]
fn daemons_do_not_confirm_missing_entries_to_each_other() {
    let mut daemons = [directory_in(4), directory_in(4)];
    for daemon in &mut daemons {
        daemon.enter_era(era(5), UNTIL_MS);
        daemon.replace(vec![upstream(0, 10)], 20, Some(UNTIL_MS));
    }
    for _ in 0..4 {
        let update = daemons[0].update_since(None);
        daemons[1].apply_update(update, UNTIL_MS);
        let update = daemons[1].update_since(None);
        daemons[0].apply_update(update, UNTIL_MS);
    }
    for daemon in &mut daemons {
        daemon.expire_lapsed(UNTIL_MS);
        assert!(daemon.is_ready(&id(0)));
        assert!(!daemon.is_ready(&id(1)));
    }
}

/// Returns a directory that listed the copy of the source from which era 5 begins, up to offset 30.
fn directory_of_the_copy() -> UpstreamDirectory {
    let mut directory = directory_in(4);
    directory.enter_era(era(5), UNTIL_MS);
    let listing = (0..3).map(|n| upstream(n, 10 + u64::from(n))).collect();
    directory.replace(listing, 30, Some(UNTIL_MS));
    directory
}

/// Guards against requests to upstreams that have left: another daemon's outdated update made a missing entry count as present.
#[test]
fn the_copy_that_another_daemon_lists_does_not_bring_back_an_entry_that_is_missing() {
    let theirs = directory_of_the_copy();
    let mut own_listing = directory_in(4);
    own_listing.enter_era(era(5), UNTIL_MS);
    own_listing.replace(vec![upstream(0, 10)], 40, Some(UNTIL_MS));
    let mut own_removal = directory_of_the_copy();
    own_removal.lapse(id(1).upstream(), 35, UNTIL_MS);
    own_removal.lapse(id(2).upstream(), 36, UNTIL_MS);
    own_removal.read_to(37);
    for mut own in [own_listing, own_removal] {
        assert!(own.apply_update(theirs.update_since(None), UNTIL_MS));
        own.expire_lapsed(UNTIL_MS);
        assert!(own.is_ready(&id(0)));
        assert!(!own.is_ready(&id(1)) && !own.is_ready(&id(2)));
        assert!(own.apply_update(theirs.update_since(None), UNTIL_MS));
        assert!(!own.is_ready(&id(1)) && !own.is_ready(&id(2)));
    }
}

#[test]
fn an_older_word_does_not_bring_back_an_entry_that_went_during_an_outage() {
    let theirs = directory_in(4);
    let mut own = directory_in(4);
    own.replace(vec![upstream(0, 50)], 70, Some(UNTIL_MS));
    own.apply_update(theirs.update_since(None), UNTIL_MS);
    own.apply(theirs.changes_since(None));
    own.expire_lapsed(UNTIL_MS);
    assert!(own.is_ready(&id(0)));
    assert!(!own.is_ready(&id(1)) && !own.is_ready(&id(2)));
}

#[test]
fn a_follower_learns_which_entries_are_missing_and_keeps_to_it() {
    let mut theirs = directory_in(4);
    theirs.enter_era(era(5), UNTIL_MS);
    theirs.replace(vec![upstream(0, 10)], 40, Some(UNTIL_MS));
    let mut own = directory_in(4);
    assert!(own.apply_update(theirs.update_since(None), UNTIL_MS));
    assert!(own.apply_update(directory_of_the_copy().update_since(None), UNTIL_MS));
    own.expire_lapsed(UNTIL_MS);
    assert!(own.is_ready(&id(0)));
    assert!(!own.is_ready(&id(1)) && !own.is_ready(&id(2)));
}

#[test]
fn a_missing_entry_that_is_written_again_is_back_at_once() {
    let missing = || {
        let mut directory = directory_in(4);
        directory.enter_era(era(5), UNTIL_MS);
        directory.replace(vec![upstream(0, 10)], 40, Some(UNTIL_MS));
        directory
    };
    let mut reader = missing();
    reader.upsert(upstream(1, 41));
    reader.read_to(42);
    let mut follower = missing();
    assert!(follower.apply_update(reader.update_since(None), UNTIL_MS));
    for mut directory in [reader, follower] {
        directory.expire_lapsed(UNTIL_MS);
        assert!(directory.is_ready(&id(1)));
        assert!(!directory.is_ready(&id(2)));
    }
}

#[test]
fn a_missing_entry_that_another_daemon_says_leaves_is_gone() {
    let mut theirs = directory_of_the_copy();
    theirs.mark_leaving(&id(1));
    let mut own = directory_of_the_copy();
    own.lapse(id(1).upstream(), 35, UNTIL_MS);
    own.read_to(36);
    own.apply_update(theirs.update_since(None), UNTIL_MS);
    assert!(own.get(&id(1)).is_none());
    own.upsert(upstream(1, 37));
    assert!(!own.is_ready(&id(1)), "it had announced that it leaves");
}

#[test]
fn a_directory_of_an_unknown_era_takes_the_first_one_that_it_hears_of() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(vec![upstream(0, 5)], 10, None);
    assert!(directory.enter_era(era(3), 0));
    assert_eq!(directory.position(), 10);
    assert!(!directory.has_been_restored());
    directory.expire_lapsed(u64::MAX);
    assert!(directory.is_ready(&id(0)));
}

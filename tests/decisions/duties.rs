//! The duties topic: one lease holder at a time, and one usage report per window.

use {
    saddlepulley::{
        names::{BoxId, ClientAccount, SourceEra},
        policy::*,
    },
    std::collections::BTreeMap,
};

const TERM_MS: u64 = 3_000;

fn box_incarnation(name: &str) -> BoxIncarnation {
    BoxIncarnation {
        id: BoxId::from(name),
        incarnation: 1,
    }
}

fn counts(n: u64) -> AccountCounts {
    BTreeMap::from([(ClientAccount::from("t"), n)])
}

/// Takes or renews the lease and returns true if a record was appended; `records` is the
/// topic.
fn take(log: &mut DutyLog, records: &mut Vec<DutyRecord>, now_ms: u64) -> bool {
    read(log, records, now_ms);
    let LeaseStep::Append(lease) = log.step(now_ms) else {
        return false;
    };
    log.record_sent(&lease, now_ms);
    records.push(DutyRecord::Lease(lease));
    read(log, records, now_ms);
    true
}

fn read(log: &mut DutyLog, records: &[DutyRecord], now_ms: u64) {
    let unread = log.next() as usize;
    for (offset, record) in records.iter().enumerate().skip(unread) {
        log.fold(offset as u64, record.clone(), now_ms);
    }
}

#[test]
fn a_successor_waits_until_the_lease_expires_and_gets_a_higher_fencing_token() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(box_incarnation("a"), TERM_MS);
    let mut b = DutyLog::new(box_incarnation("b"), TERM_MS);
    assert!(take(&mut a, &mut records, 0));
    let fence_a = a.fence_for(0, 10).unwrap();
    assert!(!take(&mut b, &mut records, 1_000));
    assert_eq!(
        a.fence_for(0, TERM_MS),
        None,
        "the lease has expired by its own clock"
    );
    assert!(take(&mut b, &mut records, 1_000 + TERM_MS));
    assert!(b.fence_for(0, 1_000 + TERM_MS).unwrap() > fence_a);
    read(&mut a, &records, 5_000);
    assert_eq!(a.fence_for(0, 5_000), None);
}

#[test]
fn a_released_lease_can_be_taken_at_once() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(box_incarnation("a"), TERM_MS);
    let mut b = DutyLog::new(box_incarnation("b"), TERM_MS);
    assert!(take(&mut a, &mut records, 0));
    let fence_a = a.fence_for(0, 10).unwrap();
    assert!(!take(&mut b, &mut records, 1_000));
    assert_eq!(b.release(1_000), None, "b does not hold the lease");
    let release = a.release(1_000).expect("a holds the lease");
    a.record_sent(&release, 1_000);
    records.push(DutyRecord::Lease(release));
    read(&mut a, &records, 1_010);
    assert_eq!(a.fence_for(0, 1_010), None, "a no longer holds the lease");
    assert!(take(&mut b, &mut records, 1_020));
    assert!(b.fence_for(0, 1_030).unwrap() > fence_a);
    // A release that follows an older lease has no effect on the new holder.
    let late = LeaseRecord {
        by: box_incarnation("a"),
        follows: 1,
        term_ms: 0,
        era: SourceEra::UNKNOWN,
    };
    records.push(DutyRecord::Lease(late));
    read(&mut b, &records, 1_040);
    assert!(b.fence_for(0, 1_050).is_some());
}

#[test]
fn a_renewal_keeps_the_fencing_token() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(box_incarnation("a"), TERM_MS);
    take(&mut a, &mut records, 0);
    let fence = a.fence_for(0, 0);
    assert!(take(&mut a, &mut records, 2_000));
    assert_eq!(a.fence_for(0, 4_500), fence);
}

#[test]
fn a_call_that_could_end_after_the_lease_gets_no_fencing_token() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(box_incarnation("a"), TERM_MS);
    take(&mut a, &mut records, 0);
    assert!(a.fence_for(900, 2_000).is_some());
    assert!(a.fence_for(900, 2_200).is_none());
}

#[test]
fn the_term_of_a_lease_record_that_was_retried_counts_from_the_first_try() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(box_incarnation("a"), TERM_MS);
    let LeaseStep::Append(lease) = a.step(0) else {
        panic!("the lease is free");
    };
    a.record_sent(&lease, 0);
    // The record was appended but the reply is lost; the retry conflicts.
    records.push(DutyRecord::Lease(lease.clone()));
    a.record_sent(&lease, 2_500);
    read(&mut a, &records, 2_600);
    assert!(a.fence_for(0, 2_900).is_some());
    assert!(a.fence_for(0, 3_100).is_none());
}

#[test]
fn a_successor_sends_the_report_that_was_announced() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(box_incarnation("a"), TERM_MS);
    take(&mut a, &mut records, 0);
    records.push(a.usage_record(7, counts(10)));
    let mut b = DutyLog::new(box_incarnation("b"), TERM_MS);
    read(&mut b, &records, 0);
    assert!(take(&mut b, &mut records, TERM_MS));
    assert_eq!(b.report(7), Some(&counts(10)));
    records.push(b.usage_record(7, counts(99)));
    read(&mut b, &records, TERM_MS);
    assert_eq!(
        b.report(7),
        Some(&counts(10)),
        "only the first report counts"
    );
}

#[test]
fn a_report_by_a_former_lease_holder_does_not_count() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(box_incarnation("a"), TERM_MS);
    let mut b = DutyLog::new(box_incarnation("b"), TERM_MS);
    take(&mut a, &mut records, 0);
    read(&mut b, &records, 0);
    take(&mut b, &mut records, TERM_MS);
    records.push(a.usage_record(7, counts(10)));
    read(&mut b, &records, TERM_MS);
    assert_eq!(b.report(7), None);
}

#[test]
fn a_reader_accepts_the_oldest_record_left_after_earlier_ones_were_removed() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(box_incarnation("a"), TERM_MS);
    take(&mut a, &mut records, 0);
    take(&mut a, &mut records, 2_000);
    let mut b = DutyLog::new(box_incarnation("b"), TERM_MS);
    b.skip_to(1);
    read(&mut b, &records, 2_000);
    assert_eq!(b.step(2_500), LeaseStep::Wait);
}

#[test]
fn usage_is_the_sum_of_the_counts_of_all_incarnations() {
    let account = ClientAccount::from("t");
    let mut usage = UsageWindows::default();
    usage.record(3, &account);
    usage.merge("b", 1, &[(3, counts(5))]);
    // Announced again, later and out of order.
    usage.merge("b", 1, &[(3, counts(7))]);
    usage.merge("b", 1, &[(3, counts(6))]);
    usage.merge("b", 2, &[(3, counts(2))]);
    assert_eq!(usage.total(3), counts(10));
}

#[test]
fn usage_is_reported_when_complete_and_in_time_even_if_incomplete() {
    let readiness = |age_ms, is_complete, held_ms| UsageReadiness {
        age_ms,
        delay_ms: 10_000.0,
        is_complete,
        held_ms,
    };
    assert!(!readiness(1_000.0, true, 9_000.0).is_due());
    assert!(readiness(4_000.0, true, 9_000.0).is_due());
    assert!(
        !readiness(4_000.0, false, 9_000.0).is_due(),
        "counts are missing"
    );
    assert!(readiness(7_100.0, false, 9_000.0).is_due());
    // A new holder first waits for the counts of all daemons, unless the report is due.
    assert!(!readiness(8_000.0, false, 300.0).is_due());
    assert!(readiness(9_300.0, false, 300.0).is_due());
    assert!(!readiness(13_000.0, true, 9_000.0).is_due(), "too late");
}

/// Guards against a daemon that is not a hub, takes the duties while the source refuses
/// the hubs and then keeps them, although it knows only the demand of its own failure
/// domain.
#[test]
fn a_daemon_that_is_not_a_hub_holds_the_duties_only_while_it_reads_the_source() {
    let fitness = |is_stopping, is_hub, reads_source| DutyFitness {
        is_stopping,
        is_hub,
        reads_source,
    };
    assert!(fitness(false, true, true).may_hold());
    assert!(
        fitness(false, true, false).may_hold(),
        "a hub knows the demand of all domains"
    );
    assert!(
        fitness(false, false, true).may_hold(),
        "it may be the only daemon that reaches the source"
    );
    assert!(
        !fitness(false, false, false).may_hold(),
        "others read the source again"
    );
    assert!(!fitness(true, true, true).may_hold(), "it is stopping");
}

/// A record of another writer that continues the topic, or takes the lease, in an era that the log has not had.
fn records_of_a_later_era() -> [DutyRecord; 2] {
    let era = SourceEra::from_code(u64::MAX);
    let by = box_incarnation("odd");
    [
        DutyRecord::Restored(RestoredRecord {
            by: by.clone(),
            era,
            holds_lease: false,
            first_window: u64::MAX,
        }),
        DutyRecord::Lease(LeaseRecord {
            by,
            follows: 0,
            term_ms: TERM_MS,
            era,
        }),
    ]
}

/// Guards against duties that nobody holds any more: leases of the era of the log counted as outdated.
#[test]
fn a_record_that_names_an_era_ahead_of_the_log_is_ignored() {
    for odd in records_of_a_later_era() {
        let mut log = DutyLog::new(box_incarnation("a"), TERM_MS);
        log.enter_era(SourceEra::FIRST, 0, 0);
        let mut records = vec![odd];
        read(&mut log, &records, 0);
        log.record_read(0, 0);
        assert!(take(&mut log, &mut records, 10));
        assert!(log.fence_for(0, 20).is_some());
        assert!(log.may_report(7));
    }
}

/// Guards against duties that nobody takes over: the term of the lease was in force for ever, or overflowed.
#[test]
fn a_lease_with_a_huge_term_ends() {
    const LATE_MS: u64 = 600_000;
    for term_ms in [u64::MAX, u64::MAX / 2] {
        let mut log = DutyLog::new(box_incarnation("a"), TERM_MS);
        log.enter_era(SourceEra::FIRST, 0, 0);
        let mut records = vec![DutyRecord::Lease(LeaseRecord {
            by: box_incarnation("odd"),
            follows: 0,
            term_ms,
            era: SourceEra::FIRST,
        })];
        read(&mut log, &records, 10);
        assert_eq!(log.step(20), LeaseStep::Wait);
        assert!(take(&mut log, &mut records, LATE_MS));
        assert!(log.fence_for(0, LATE_MS + 10).is_some());
    }
}

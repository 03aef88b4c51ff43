//! The duties' topic: one holder at a time, and one report a window.

use {
    saddlepulley::{
        names::{BoxId, ClientAccount},
        policy::*,
    },
    std::collections::BTreeMap,
};

const TERM_MS: u64 = 3_000;

fn claimer(name: &str) -> BoxIncarnation {
    BoxIncarnation {
        id: BoxId::from(name),
        incarnation: 1,
    }
}

fn counts(n: u64) -> AccountCounts {
    BTreeMap::from([(ClientAccount::from("t"), n)])
}

/// Takes or renews the lease; `records` is the topic.
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
fn a_successor_waits_until_the_lease_is_over_and_has_a_higher_fence() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(claimer("a"), TERM_MS);
    let mut b = DutyLog::new(claimer("b"), TERM_MS);
    assert!(take(&mut a, &mut records, 0));
    let fence_a = a.fence_for(0, 10).unwrap();
    assert!(!take(&mut b, &mut records, 1_000));
    assert_eq!(a.fence_for(0, TERM_MS), None, "over by its own clock");
    assert!(take(&mut b, &mut records, 1_000 + TERM_MS));
    assert!(b.fence_for(0, 1_000 + TERM_MS).unwrap() > fence_a);
    read(&mut a, &records, 5_000);
    assert_eq!(a.fence_for(0, 5_000), None);
}

#[test]
fn a_lease_that_is_given_back_can_be_taken_at_once() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(claimer("a"), TERM_MS);
    let mut b = DutyLog::new(claimer("b"), TERM_MS);
    assert!(take(&mut a, &mut records, 0));
    let fence_a = a.fence_for(0, 10).unwrap();
    assert!(!take(&mut b, &mut records, 1_000));
    assert_eq!(b.release(1_000), None, "it is not b's");
    let release = a.release(1_000).expect("a holds it");
    a.record_sent(&release, 1_000);
    records.push(DutyRecord::Lease(release));
    read(&mut a, &records, 1_010);
    assert_eq!(a.fence_for(0, 1_010), None, "a acts no more");
    assert!(take(&mut b, &mut records, 1_020));
    assert!(b.fence_for(0, 1_030).unwrap() > fence_a);
    // Given back in vain: one that took it meanwhile keeps it.
    let late = LeaseRecord {
        by: claimer("a"),
        follows: 1,
        term_ms: 0,
    };
    records.push(DutyRecord::Lease(late));
    read(&mut b, &records, 1_040);
    assert!(b.fence_for(0, 1_050).is_some());
}

#[test]
fn the_fence_stays_while_the_holder_renews() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(claimer("a"), TERM_MS);
    take(&mut a, &mut records, 0);
    let fence = a.fence_for(0, 0);
    assert!(take(&mut a, &mut records, 2_000));
    assert_eq!(a.fence_for(0, 4_500), fence);
}

#[test]
fn a_call_that_could_end_after_the_lease_is_not_made() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(claimer("a"), TERM_MS);
    take(&mut a, &mut records, 0);
    assert!(a.fence_for(900, 2_000).is_some());
    assert!(a.fence_for(900, 2_200).is_none());
}

#[test]
fn a_lost_answer_to_a_renewal_counts_from_when_it_was_first_sent() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(claimer("a"), TERM_MS);
    let LeaseStep::Append(lease) = a.step(0) else {
        panic!("the lease is free");
    };
    a.record_sent(&lease, 0);
    // The answer is lost, the record is there; it is sent again and conflicts.
    records.push(DutyRecord::Lease(lease.clone()));
    a.record_sent(&lease, 2_500);
    read(&mut a, &records, 2_600);
    assert!(a.fence_for(0, 2_900).is_some());
    assert!(a.fence_for(0, 3_100).is_none());
}

#[test]
fn a_successor_sends_the_report_that_was_announced() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(claimer("a"), TERM_MS);
    take(&mut a, &mut records, 0);
    records.push(a.usage_record(7, counts(10)));
    let mut b = DutyLog::new(claimer("b"), TERM_MS);
    read(&mut b, &records, 0);
    assert!(take(&mut b, &mut records, TERM_MS));
    assert_eq!(b.report(7), Some(&counts(10)));
    records.push(b.usage_record(7, counts(99)));
    read(&mut b, &records, TERM_MS);
    assert_eq!(b.report(7), Some(&counts(10)), "the first one stays");
}

#[test]
fn a_report_of_one_that_no_longer_holds_the_lease_does_not_count() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(claimer("a"), TERM_MS);
    let mut b = DutyLog::new(claimer("b"), TERM_MS);
    take(&mut a, &mut records, 0);
    read(&mut b, &records, 0);
    take(&mut b, &mut records, TERM_MS);
    records.push(a.usage_record(7, counts(10)));
    read(&mut b, &records, TERM_MS);
    assert_eq!(b.report(7), None);
}

#[test]
fn a_reader_that_comes_after_old_records_went_accepts_the_oldest_that_is_left() {
    let mut records = Vec::new();
    let mut a = DutyLog::new(claimer("a"), TERM_MS);
    take(&mut a, &mut records, 0);
    take(&mut a, &mut records, 2_000);
    let mut b = DutyLog::new(claimer("b"), TERM_MS);
    b.skip_to(1);
    read(&mut b, &records, 2_000);
    assert_eq!(b.step(2_500), LeaseStep::Wait);
}

#[test]
fn usage_is_the_sum_of_what_each_life_counted() {
    let terms = ClientAccount::from("t");
    let mut usage = UsageWindows::default();
    usage.record(3, &terms);
    usage.merge("b", 1, &[(3, counts(5))]);
    // Told again, later and out of order.
    usage.merge("b", 1, &[(3, counts(7))]);
    usage.merge("b", 1, &[(3, counts(6))]);
    usage.merge("b", 2, &[(3, counts(2))]);
    assert_eq!(usage.total(3), counts(10));
}

#[test]
fn usage_is_reported_once_it_is_whole_and_in_time_even_if_it_is_not() {
    let readiness = |age_ms, is_complete, held_ms| UsageReadiness {
        age_ms,
        delay_ms: 10_000.0,
        is_complete,
        held_ms,
    };
    assert!(!readiness(1_000.0, true, 9_000.0).is_due());
    assert!(readiness(4_000.0, true, 9_000.0).is_due());
    assert!(!readiness(4_000.0, false, 9_000.0).is_due(), "some lack");
    assert!(readiness(7_100.0, false, 9_000.0).is_due());
    // One that has just taken over is told by all first, unless time is up.
    assert!(!readiness(8_000.0, false, 300.0).is_due());
    assert!(readiness(9_300.0, false, 300.0).is_due());
    assert!(!readiness(13_000.0, true, 9_000.0).is_due(), "too late");
}

/// A daemon that is no hub took the duties while the source turned the hubs away, and
/// kept them for the rest of the day, though it heard of its own domain's demand only.
#[test]
fn one_that_is_no_hub_holds_the_duties_only_while_it_reads_the_source() {
    let fitness = |is_stopping, is_hub, reads_source| DutyFitness {
        is_stopping,
        is_hub,
        reads_source,
    };
    assert!(fitness(false, true, true).may_hold());
    assert!(fitness(false, true, false).may_hold(), "a hub hears of all");
    assert!(
        fitness(false, false, true).may_hold(),
        "nobody else may reach it"
    );
    assert!(
        !fitness(false, false, false).may_hold(),
        "others read it again"
    );
    assert!(!fitness(true, true, true).may_hold(), "it stops");
}

//! Token buckets, division of row limits, and fair queueing under overload.

use {
    proptest::prelude::*,
    saddlepulley::{names::*, policy::*},
};

fn account(name: &str) -> ClientAccount {
    ClientAccount::from(name)
}

proptest! {
    /// Guards against a bucket that grants more than its rate and burst allow.
    #[test]
    fn a_bucket_grants_no_more_than_rate_and_burst(waits in prop::collection::vec(0..200u64, 1..300), rate in 1..100u32) {
        let rate = f64::from(rate);
        let mut bucket = TokenBucket::full(rate, 0);
        let mut now = 0;
        let mut taken = 0.0;
        for wait in waits {
            now += wait;
            if bucket.take(1.0, rate, now).is_ok() {
                taken += 1.0;
            }
        }
        prop_assert!(taken <= rate * (now as f64 / 1_000.0) + rate.max(1.0) + 1.0);
    }

    /// Guards against a wait after which the bucket still refuses.
    #[test]
    fn a_bucket_grants_after_the_wait_that_it_returned(rate in 1..100u32, n in 1..300u32) {
        let rate = f64::from(rate);
        let mut bucket = TokenBucket::full(rate, 0);
        let mut wait = None;
        for _ in 0..n {
            if let Err(ms) = bucket.take(1.0, rate, 0) {
                wait = Some(ms);
            }
        }
        if let Some(ms) = wait {
            prop_assert!(bucket.take(1.0, rate, ms).is_ok());
        }
    }
}

/// Serves `n` requests one by one while two accounts have full queues; returns how many
/// of each account were served.
fn share(weight_a: u32, weight_b: u32, n: usize) -> (usize, usize) {
    let mut q = FairQueue::default();
    let (a, b) = (account("a"), account("b"));
    let mut owner = std::collections::BTreeMap::new();
    for _ in 0..n * 2 {
        for (name, weight) in [(&a, weight_a), (&b, weight_b)] {
            if let Ok(JoinOutcome::Wait(t)) = q.join(name, weight, 1, 1.0, 0, u64::MAX / 2) {
                owner.insert(t, name.clone());
            }
        }
    }
    let mut served = (0, 0);
    for _ in 0..n {
        q.end();
        for t in q.next(1, 1.0, 1).started {
            if owner[&t] == a {
                served.0 += 1;
            } else {
                served.1 += 1;
            }
        }
    }
    served
}

#[test]
fn capacity_is_divided_by_account_weight() {
    let (a, b) = share(1, 1, 100);
    assert!(a.abs_diff(b) <= 2, "{a} {b}");
    let (a, b) = share(3, 1, 100);
    assert!(a.abs_diff(75) <= 2, "{a} {b}");
}

#[test]
fn a_flood_of_one_account_does_not_delay_another_account() {
    let mut q = FairQueue::default();
    for _ in 0..1_000 {
        let _ = q.join(&account("flood"), 1, 4, 100.0, 0, u64::MAX / 2);
    }
    let Ok(JoinOutcome::Wait(ticket)) = q.join(&account("small"), 1, 4, 100.0, 0, u64::MAX / 2)
    else {
        panic!("expected a wait");
    };
    q.end();
    q.end();
    let started = q.next(4, 100.0, 1).started;
    assert!(
        started.contains(&ticket),
        "the small account waits behind the flood"
    );
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_rejected_at_once() {
    let mut q = FairQueue::default();
    let flood = account("flood");
    for _ in 0..50 {
        let _ = q.join(&flood, 1, 1, 1_000.0, 0, u64::MAX / 2);
    }
    let refused = q.join(&flood, 1, 1, 1_000.0, 0, 5_000);
    assert!(
        matches!(refused, Err(Rejection::Deadline { retry_after_ms }) if retry_after_ms > 5_000)
    );
}

#[test]
fn row_limits_are_divided_by_the_live_daemons() {
    let share = RowShare::divide(90.0, 10, 0.0, 3);
    assert_eq!((share.rate, share.concurrency), (30.0, 4));
    let single = RowShare::divide(90.0, 10, 0.0, 1);
    assert_eq!((single.rate, single.concurrency), (90.0, 10));
}

/// Guards against wasted work under overload: a queue that compares only the wait with
/// the deadline starts requests that expire while they run.
#[test]
fn a_request_that_would_expire_while_it_runs_is_rejected() {
    let mut q = FairQueue::default();
    let a = account("a");
    // One request runs and four wait: the next one starts after 5 s.
    for _ in 0..5 {
        let _ = q.join(&a, 1, 1, 1_000.0, 0, u64::MAX / 2);
    }
    assert!(q.join(&a, 1, 1, 1_000.0, 0, 5_500).is_err());
    let Ok(JoinOutcome::Wait(ticket)) = q.join(&a, 1, 1, 1_000.0, 0, 6_500) else {
        panic!("expected a wait");
    };
    // The requests before it ran longer than expected: it is dropped.
    q.end();
    let outcome = q.next(1, 1_000.0, 6_000);
    assert!(outcome.expired.contains(&ticket) && !outcome.started.contains(&ticket));
}

//! Usage counts reach the holder of the duties completely.

use {
    crate::cluster_support::address,
    saddlepulley::{
        cluster::{UsageAck, UsageAnnouncer, UsagePart},
        names::ClientAccount,
        policy::UsageWindows,
    },
};

#[test]
fn usage_of_300_daemons_and_40_accounts_reaches_the_holder_completely() {
    let mut holder = UsageWindows::default();
    let mut true_total = 0;
    for daemon in 0..300_usize {
        let mut own = UsageWindows::default();
        let mut announcer = UsageAnnouncer::default();
        for n in 0..60 {
            let account = ClientAccount::from(format!("tenant-{}", (daemon + n) % 40).as_str());
            own.record(7 + n as u64 % 2, &account);
        }
        true_total += 30;
        let name = format!("n{daemon}");
        let holder_at = (address(0), 99);
        // Every third datagram is lost.
        for round in 0..8 {
            let parts = announcer.parts((&name, 1), holder_at, &own.newest(8), 9);
            for (n, part) in parts.into_iter().enumerate() {
                if (n + round + daemon) % 3 == 0 {
                    continue;
                }
                let number = part.number;
                let counts = part.counts.iter();
                let counts = counts.map(|(a, n)| (a.as_str().into(), u64::from(*n)));
                holder.merge(&name, 1, &[(part.window, counts.collect())]);
                holder.record_complete(&name, part.complete_before, 1_000);
                announcer.apply(
                    address(0),
                    UsageAck {
                        holder_incarnation: 99,
                        incarnation: 1,
                        number,
                    },
                );
            }
        }
    }
    let total: u64 = holder.total(7).values().sum();
    assert_eq!(total, true_total);
    assert_eq!(holder.usage_completeness(8, 0), (300, true));
    assert_eq!(
        holder.usage_completeness(9, 0),
        (300, false),
        "window 9 is not over"
    );
}

#[test]
fn a_new_holder_of_the_duties_gets_all_counts_again() {
    let mut own = UsageWindows::default();
    own.record(7, &ClientAccount::from("t"));
    let mut announcer = UsageAnnouncer::default();
    let ack = |parts: &[UsagePart], incarnation| UsageAck {
        holder_incarnation: incarnation,
        incarnation: 1,
        number: parts[0].number,
    };
    let parts = announcer.parts(("n", 1), (address(0), 5), &own.newest(8), 7);
    announcer.apply(address(0), ack(&parts, 5));
    let again = announcer.parts(("n", 1), (address(0), 5), &own.newest(8), 7);
    assert!(again.is_empty(), "all counts were acknowledged: {again:?}");
    let parts = announcer.parts(("n", 1), (address(1), 6), &own.newest(8), 7);
    assert_eq!(parts[0].counts, [("t".to_string(), 1)]);
}

/// Guards against lost counts when daemons stop one after the other: those who received
/// the counts of a stopped daemon pass them on before they stop, so that a later holder
/// of the duties can report them.
#[test]
fn counts_received_by_a_stopping_daemon_reach_a_later_holder() {
    let account = ClientAccount::from("t");
    let counts = |n: u64| [(account.clone(), n)].into_iter().collect();
    let mut first_holder = UsageWindows::default();
    first_holder.merge("gone", 1, &[(3, counts(2)), (7, counts(5)), (8, counts(6))]);
    first_holder.merge("lives", 2, &[(8, counts(1))]);
    first_holder.record_contact("gone", 1, 1_000);
    first_holder.record_contact("lives", 2, 5_000);

    let mut second_holder = UsageWindows::default();
    // The second holder is known since 4,000 ms: it has received itself what was announced
    // later.
    assert_eq!(first_holder.received(7, 4_000).len(), 1);
    for usage in first_holder.received(7, 6_000) {
        let mut announcer = UsageAnnouncer::default();
        let daemon = (usage.name.as_str(), usage.incarnation);
        let parts = announcer.parts(daemon, (address(1), 6), &usage.windows, 0);
        for part in parts {
            assert_eq!(
                part.complete_before, 0,
                "only a daemon itself declares its counts complete"
            );
            let part_counts = part.counts.iter();
            let part_counts = part_counts.map(|(a, n)| (a.as_str().into(), u64::from(*n)));
            second_holder.merge(
                &part.name,
                part.incarnation,
                &[(part.window, part_counts.collect())],
            );
            announcer.apply(
                address(1),
                UsageAck {
                    holder_incarnation: 6,
                    incarnation: part.incarnation,
                    number: part.number,
                },
            );
        }
        let again = announcer.parts(daemon, (address(1), 6), &usage.windows, 0);
        assert!(again.is_empty(), "all counts were acknowledged: {again:?}");
    }
    assert_eq!(second_holder.total(7), counts(5));
    assert_eq!(second_holder.total(8), counts(7));
    assert!(
        second_holder.total(3).is_empty(),
        "the window was reported long ago"
    );
}

/// Guards against counts that are announced for ever: a daemon without requests announces
/// the end of each window, and these acknowledgements must not displace those of earlier
/// counts.
#[test]
fn acknowledged_counts_are_not_announced_again_after_many_empty_windows() {
    let mut own = UsageWindows::default();
    own.record(7, &ClientAccount::from("t"));
    let mut announcer = UsageAnnouncer::default();
    let mut announced = Vec::new();
    for window in 8..40 {
        for part in announcer.parts(("n", 1), (address(0), 5), &own.newest(8), window) {
            let ack = UsageAck {
                holder_incarnation: 5,
                incarnation: 1,
                number: part.number,
            };
            announcer.apply(address(0), ack);
            announced.extend(part.counts);
        }
    }
    assert_eq!(announced.len(), 1, "{announced:?}");
}

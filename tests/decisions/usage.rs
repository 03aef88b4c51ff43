//! Counts of requests reach the holder of the duties whole.

use {
    crate::cluster_support::address,
    saddlepulley::{
        cluster::{UsageHeard, UsagePart, UsageTeller},
        names::ClientAccount,
        policy::UsageWindows,
    },
};

#[test]
fn usage_of_300_daemons_and_40_accounts_reaches_the_holder_whole() {
    let mut holder = UsageWindows::default();
    let mut true_total = 0;
    for daemon in 0..300_usize {
        let mut own = UsageWindows::default();
        let mut teller = UsageTeller::default();
        for n in 0..60 {
            let account = ClientAccount::from(format!("tenant-{}", (daemon + n) % 40).as_str());
            own.note(7 + n as u64 % 2, &account);
        }
        true_total += 30;
        let name = format!("n{daemon}");
        let holder_at = (address(0), 99);
        // Each third datagram is lost.
        for round in 0..8 {
            let parts = teller.parts((&name, 1), holder_at, &own.newest(8), 9);
            for (n, part) in parts.into_iter().enumerate() {
                if (n + round + daemon) % 3 == 0 {
                    continue;
                }
                let number = part.number;
                let counts = part.counts.iter();
                let counts = counts.map(|(a, n)| (a.as_str().into(), u64::from(*n)));
                holder.merge(&name, 1, &[(part.window, counts.collect())]);
                holder.note_whole(&name, part.whole_before, 1_000);
                teller.hear(
                    address(0),
                    UsageHeard {
                        holder_life: 99,
                        life: 1,
                        number,
                    },
                );
            }
        }
    }
    let total: u64 = holder.total(7).values().sum();
    assert_eq!(total, true_total);
    assert_eq!(holder.told_whole(8, 0), (300, true));
    assert_eq!(holder.told_whole(9, 0), (300, false), "it is not over");
}

#[test]
fn a_new_holder_of_the_duties_is_told_all_again() {
    let mut own = UsageWindows::default();
    own.note(7, &ClientAccount::from("t"));
    let mut teller = UsageTeller::default();
    let heard = |parts: &[UsagePart], life| UsageHeard {
        holder_life: life,
        life: 1,
        number: parts[0].number,
    };
    let parts = teller.parts(("n", 1), (address(0), 5), &own.newest(8), 7);
    teller.hear(address(0), heard(&parts, 5));
    let again = teller.parts(("n", 1), (address(0), 5), &own.newest(8), 7);
    assert!(again.is_empty(), "it has heard all: {again:?}");
    let parts = teller.parts(("n", 1), (address(1), 6), &own.newest(8), 7);
    assert_eq!(parts[0].counts, [("t".to_string(), 1)]);
}

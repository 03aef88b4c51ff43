//! Cooldowns of upstreams that refused requests: parsing, expiry and exchange among daemons.

use {
    saddlepulley::{
        names::{BoxId, UpstreamId},
        policy::{CooldownTable, ReportedCooldowns, RetryAfter},
    },
    std::time::Duration,
};

fn id(name: &str) -> UpstreamId {
    UpstreamId::from(name)
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn read(values: &[&str]) -> RetryAfter {
    RetryAfter::read(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn retry_times_that_are_no_number_of_seconds_start_no_cooldown() {
    assert_eq!(read(&[]), RetryAfter::Absent);
    assert_eq!(read(&["3"]), RetryAfter::For(seconds(3.0)));
    assert_eq!(read(&[" 0.25 "]), RetryAfter::For(seconds(0.25)));
    assert_eq!(read(&["0"]), RetryAfter::For(Duration::ZERO));
    // The longest value applies; values that cannot be parsed are ignored beside it.
    assert_eq!(read(&["1", "x", "2"]), RetryAfter::For(seconds(2.0)));
    let long = "9".repeat(300);
    for junk in [
        "", "-1", "+1", "1e3", "NaN", "inf", "soon", "1 2", ".", &long,
    ] {
        assert_eq!(read(&[junk]), RetryAfter::Unreadable, "{junk:?}");
    }
    assert_eq!(RetryAfter::read([&b"\xff"[..]]), RetryAfter::Unreadable);
}

#[test]
fn a_later_response_does_not_shorten_a_cooldown() {
    let mut cooldowns = CooldownTable::default();
    cooldowns.record(&id("a"), seconds(3.0), 1_000);
    cooldowns.record(&id("a"), seconds(1.0), 1_500);
    assert_eq!(cooldowns.left(&id("a"), 2_000), Some(seconds(2.0)));
    assert!(cooldowns.is_in_cooldown(&id("a"), 3_999));
    assert!(!cooldowns.is_in_cooldown(&id("a"), 4_000), "it is over");
    assert!(!cooldowns.is_in_cooldown(&id("b"), 2_000));
}

#[test]
fn cooldowns_of_zero_or_maximum_length_do_not_overflow() {
    let mut cooldowns = CooldownTable::default();
    cooldowns.record(&id("a"), Duration::ZERO, 1_000);
    assert!(!cooldowns.is_in_cooldown(&id("a"), 1_000));
    cooldowns.record(&id("b"), Duration::MAX, 1_000);
    assert!(cooldowns.is_in_cooldown(&id("b"), u64::MAX - 1));
}

#[test]
fn expired_cooldowns_and_those_of_removed_upstreams_are_not_kept() {
    let mut cooldowns = CooldownTable::default();
    cooldowns.record(&id("over"), seconds(1.0), 0);
    cooldowns.record(&id("gone"), seconds(9.0), 0);
    cooldowns.record(&id("kept"), seconds(9.0), 0);
    cooldowns.retain(|known| *known != id("gone"), 2_000);
    let kept: Vec<_> = cooldowns.in_cooldown(0).map(|(id, _)| id.clone()).collect();
    assert_eq!(kept, [id("kept")]);
}

/// A cooldown named to a single daemon may concern only that daemon.
#[test]
fn a_cooldown_of_a_single_daemon_does_not_keep_the_others_away() {
    let (one, other) = (BoxId::from("one"), BoxId::from("other"));
    let mut reported = ReportedCooldowns::default();
    reported.apply(&one, &id("a"), seconds(3.0), 0);
    reported.apply(&one, &id("a"), seconds(2.0), 100);
    assert!(reported.in_cooldown_for_many(200).is_empty());
    reported.apply(&other, &id("a"), seconds(1.0), 200);
    assert_eq!(reported.in_cooldown_for_many(300), [id("a")]);
    // The cooldown has ended for one of the two daemons.
    assert!(reported.in_cooldown_for_many(1_200).is_empty());
    reported.apply(&other, &id("a"), seconds(9.0), 1_200);
    assert_eq!(reported.in_cooldown_for_many(1_300), [id("a")]);
    reported.retain(|_| true, 5_000);
    assert!(reported.in_cooldown_for_many(1_300).is_empty(), "forgotten");
}

//! For how long upstreams that turned requests away want nothing from a daemon.

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
fn what_is_no_number_of_seconds_is_read_as_a_rest() {
    assert_eq!(read(&[]), RetryAfter::Absent);
    assert_eq!(read(&["3"]), RetryAfter::For(seconds(3.0)));
    assert_eq!(read(&[" 0.25 "]), RetryAfter::For(seconds(0.25)));
    assert_eq!(read(&["0"]), RetryAfter::For(Duration::ZERO));
    // The longest counts; beside it what can't be read is no matter.
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
fn a_later_word_cuts_a_rest_short() {
    let mut cooldowns = CooldownTable::default();
    cooldowns.record(&id("a"), seconds(3.0), 1_000);
    cooldowns.record(&id("a"), seconds(1.0), 1_500);
    assert_eq!(cooldowns.left(&id("a"), 2_000), Some(seconds(2.0)));
    assert!(cooldowns.is_in_cooldown(&id("a"), 3_999));
    assert!(!cooldowns.is_in_cooldown(&id("a"), 4_000), "it is over");
    assert!(!cooldowns.is_in_cooldown(&id("b"), 2_000));
}

#[test]
fn a_rest_of_no_time_or_of_all_time_overflows() {
    let mut cooldowns = CooldownTable::default();
    cooldowns.record(&id("a"), Duration::ZERO, 1_000);
    assert!(!cooldowns.is_in_cooldown(&id("a"), 1_000));
    cooldowns.record(&id("b"), Duration::MAX, 1_000);
    assert!(cooldowns.is_in_cooldown(&id("b"), u64::MAX - 1));
}

#[test]
fn rests_that_are_over_and_upstreams_that_are_gone_are_kept() {
    let mut cooldowns = CooldownTable::default();
    cooldowns.record(&id("over"), seconds(1.0), 0);
    cooldowns.record(&id("gone"), seconds(9.0), 0);
    cooldowns.record(&id("kept"), seconds(9.0), 0);
    cooldowns.retain(|known| *known != id("gone"), 2_000);
    let kept: Vec<_> = cooldowns.in_cooldown(0).map(|(id, _)| id.clone()).collect();
    assert_eq!(kept, [id("kept")]);
}

/// What an upstream wants of one daemon may concern only that one.
#[test]
fn one_daemon_that_is_asked_for_rest_keeps_all_away() {
    let (one, other) = (BoxId::from("one"), BoxId::from("other"));
    let mut told = ReportedCooldowns::default();
    told.apply(&one, &id("a"), seconds(3.0), 0);
    told.apply(&one, &id("a"), seconds(2.0), 100);
    assert!(told.in_cooldown_for_many(200).is_empty());
    told.apply(&other, &id("a"), seconds(1.0), 200);
    assert_eq!(told.in_cooldown_for_many(300), [id("a")]);
    // Over for one of the two.
    assert!(told.in_cooldown_for_many(1_200).is_empty());
    told.apply(&other, &id("a"), seconds(9.0), 1_200);
    assert_eq!(told.in_cooldown_for_many(1_300), [id("a")]);
    told.retain(|_| true, 5_000);
    assert!(told.in_cooldown_for_many(1_300).is_empty(), "forgotten");
}

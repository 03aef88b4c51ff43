//! When connections of clients are closed, and what a stopping daemon takes.

use saddlepulley::policy::{ClientActivity, CloseReason, CloseStep, StopSchedule};

const STOP: CloseReason = CloseReason::Stop;
const IDLE: CloseReason = CloseReason::Idle;

#[test]
fn a_connection_that_rests_is_closed_at_once() {
    let mut activity = ClientActivity::new(0);
    activity.begin_request();
    activity.finish_request(1_000);
    for reason in [STOP, IDLE] {
        let step = activity.close_step(reason, false, 5_000, 5_000);
        assert_eq!(step, CloseStep::Close);
    }
}

#[test]
fn a_stop_waits_for_answers_and_an_idle_limit_does_not_hold_while_answering() {
    let mut activity = ClientActivity::new(0);
    activity.begin_request();
    assert_eq!(activity.close_step(STOP, false, 10, 9_000), CloseStep::Wait);
    assert_eq!(activity.close_step(IDLE, false, 10, 9_000), CloseStep::Stay);
}

#[test]
fn a_request_that_has_arrived_is_waited_for_but_not_for_long() {
    let mut unused = ClientActivity::new(0);
    for (reason, has_unread) in [(STOP, true), (IDLE, true)] {
        let step = |now_ms| unused.close_step(reason, has_unread, 10_000, now_ms);
        assert_eq!(step(10_000), CloseStep::Wait);
        assert_eq!(step(10_900), CloseStep::Wait);
        assert_eq!(step(11_000), CloseStep::Close);
    }
    // A part of its head was read.
    unused.record_bytes();
    assert_eq!(
        unused.close_step(STOP, false, 10_000, 10_900),
        CloseStep::Wait
    );
    unused.begin_request();
    unused.finish_request(10_950);
    assert_eq!(
        unused.close_step(STOP, false, 10_000, 11_400),
        CloseStep::Close
    );
}

#[test]
fn a_stop_leaves_new_clients_and_those_just_answered_time_to_ask() {
    let new = ClientActivity::new(9_900);
    assert_eq!(new.close_step(STOP, false, 10_000, 10_000), CloseStep::Wait);
    assert_eq!(
        new.close_step(STOP, false, 10_000, 10_300),
        CloseStep::Close
    );
    let mut answered = ClientActivity::new(0);
    answered.begin_request();
    answered.finish_request(12_000);
    assert_eq!(
        answered.close_step(STOP, false, 10_000, 12_100),
        CloseStep::Wait
    );
    assert_eq!(
        answered.close_step(STOP, false, 10_000, 12_400),
        CloseStep::Close
    );
}

#[test]
fn an_idle_connection_that_is_used_after_all_stays() {
    let mut activity = ClientActivity::new(0);
    assert_eq!(
        activity.close_step(IDLE, true, 10_000, 10_000),
        CloseStep::Wait
    );
    activity.begin_request();
    activity.finish_request(10_050);
    assert_eq!(
        activity.close_step(IDLE, false, 10_000, 10_060),
        CloseStep::Stay
    );
}

#[test]
fn a_body_read_while_its_request_is_answered_begins_no_other() {
    let mut activity = ClientActivity::new(0);
    activity.begin_request();
    activity.record_bytes();
    activity.finish_request(1_000);
    assert_eq!(
        activity.close_step(STOP, false, 5_000, 5_000),
        CloseStep::Close
    );
}

#[test]
fn after_its_notice_a_stop_takes_only_what_it_can_finish() {
    let times = StopSchedule::new(8_000);
    assert!(times.accepts(0, 60_000));
    assert!(times.accepts(times.notice_ms - 1, 60_000));
    assert!(times.accepts(times.notice_ms, times.end_ms - times.notice_ms));
    assert!(!times.accepts(times.notice_ms, times.end_ms - times.notice_ms + 1));
    // A short stop has a short notice.
    let short = StopSchedule::new(1_000);
    assert!(short.notice_ms * 2 <= short.end_ms && short.end_ms < 1_000);
}

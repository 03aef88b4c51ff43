//! When client connections are closed, and which requests a stopping daemon accepts.

use saddlepulley::policy::{ClientActivity, CloseReason, CloseStep, StopSchedule};

const STOP: CloseReason = CloseReason::Stop;
const IDLE: CloseReason = CloseReason::Idle;

#[test]
fn an_idle_connection_is_closed_at_once() {
    let mut activity = ClientActivity::new(0);
    activity.begin_request();
    activity.finish_request(1_000);
    for reason in [STOP, IDLE] {
        let step = activity.close_step(reason, false, 5_000, 5_000);
        assert_eq!(step, CloseStep::Close);
    }
}

#[test]
fn a_stop_waits_for_responses_and_the_idle_limit_does_not_apply_during_a_response() {
    let mut activity = ClientActivity::new(0);
    activity.begin_request();
    assert_eq!(activity.close_step(STOP, false, 10, 9_000), CloseStep::Wait);
    assert_eq!(activity.close_step(IDLE, false, 10, 9_000), CloseStep::Stay);
}

#[test]
fn a_request_that_is_arriving_delays_the_close_for_a_limited_time() {
    let mut unused = ClientActivity::new(0);
    for (reason, has_unread) in [(STOP, true), (IDLE, true)] {
        let step = |now_ms| unused.close_step(reason, has_unread, 10_000, now_ms);
        assert_eq!(step(10_000), CloseStep::Wait);
        assert_eq!(step(10_900), CloseStep::Wait);
        assert_eq!(step(11_000), CloseStep::Close);
    }
    // A part of a request head was read.
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
fn a_stop_leaves_new_and_just_answered_clients_time_to_send_a_request() {
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
fn an_idle_connection_that_gets_a_request_is_kept() {
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
fn a_body_read_during_a_response_does_not_count_as_the_next_request() {
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
fn after_the_notice_period_a_stop_accepts_only_requests_that_can_finish() {
    let schedule = StopSchedule::new(8_000);
    assert!(schedule.accepts(0, 60_000));
    assert!(schedule.accepts(schedule.notice_ms - 1, 60_000));
    assert!(schedule.accepts(schedule.notice_ms, schedule.end_ms - schedule.notice_ms));
    assert!(!schedule.accepts(schedule.notice_ms, schedule.end_ms - schedule.notice_ms + 1));
    // A short stop has a short notice period.
    let short = StopSchedule::new(1_000);
    assert!(short.notice_ms * 2 <= short.end_ms && short.end_ms < 1_000);
}

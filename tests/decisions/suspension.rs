//! Deadlines and ages on a machine that is suspended: the monotonic clock and all timers stop,
//! while the boot clock advances.
//!
//! The tests simulate a suspension by pausing the runtime's clock, which drives the timers.

use {
    saddlepulley::clock::{
        BootInstant, DeadlineElapsed, SuspensionDetector, announce_resume, timeout,
    },
    std::{
        future::{pending, poll_fn},
        pin::pin,
        task::Poll,
        time::Duration,
    },
};

/// Lets real time pass while the runtime's clock is paused. The blocking task keeps the paused
/// clock from advancing automatically.
async fn suspended_for(time: Duration) {
    tokio::time::pause();
    let sleeper = tokio::task::spawn_blocking(move || std::thread::sleep(time));
    sleeper.await.unwrap();
}

#[test]
fn suspension_is_detected_from_a_growing_clock_offset() {
    let mut detector = SuspensionDetector::default();
    assert_eq!(
        detector.observe(1_000, 51_000),
        None,
        "the first observation has no predecessor"
    );
    assert_eq!(detector.observe(1_250, 51_250), None);
    assert_eq!(
        detector.observe(9_250, 59_260),
        None,
        "a frozen process stops neither clock"
    );
    assert_eq!(detector.observe(9_500, 64_510), Some(5_000));
    assert_eq!(detector.observe(9_750, 64_760), None);
}

#[tokio::test(flavor = "current_thread")]
async fn deadline_elapses_while_the_machine_is_suspended() {
    let began = BootInstant::now();
    let waiter = tokio::spawn(timeout(Duration::from_millis(300), pending::<()>()));
    tokio::task::yield_now().await;
    suspended_for(Duration::from_millis(400)).await;
    announce_resume();
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    assert!(
        waiter.is_finished(),
        "the deadline has elapsed although the timer has not advanced"
    );
    assert_eq!(waiter.await.unwrap(), Err(DeadlineElapsed));
    assert!(began.elapsed() >= Duration::from_millis(400));
}

#[tokio::test(flavor = "current_thread")]
async fn result_that_is_ready_after_the_deadline_is_returned() {
    let (tx, rx) = tokio::sync::oneshot::channel();
    let mut waiter = pin!(timeout(Duration::from_millis(100), rx));
    let first = poll_fn(|cx| Poll::Ready(waiter.as_mut().poll(cx))).await;
    assert!(first.is_pending());
    tokio::time::pause();
    // Blocks the thread, so that the future is not polled even if another test announces a resume.
    std::thread::sleep(Duration::from_millis(200));
    tx.send(7).unwrap();
    announce_resume();
    assert_eq!(waiter.await, Ok(Ok(7)));
}

#[test]
fn elapsed_and_left_are_zero_on_the_wrong_side_of_an_instant() {
    let now = BootInstant::now();
    let later = now + Duration::from_secs(5);
    assert_eq!(later.elapsed(), Duration::ZERO);
    assert!(later.left() > Duration::from_secs(4));
    assert_eq!(now.left(), Duration::ZERO);
}

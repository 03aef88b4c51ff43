//! Deadlines and ages on a machine that is suspended: its steady clock stands still, and
//! all timers with it; the clock that begins with the machine goes on.
//!
//! Suspensions are played by pausing the runtime's clock, on which timers are.

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

/// Lets real time pass while the runtime's clock stands still: it doesn't go forward by
/// itself as long as a thread works for it.
async fn suspended_for(time: Duration) {
    tokio::time::pause();
    let asleep = tokio::task::spawn_blocking(move || std::thread::sleep(time));
    asleep.await.unwrap();
}

#[test]
fn a_suspension_is_told_by_clocks_that_move_apart() {
    let mut watch = SuspensionDetector::default();
    assert_eq!(watch.look(1_000, 51_000), None, "the first look");
    assert_eq!(watch.look(1_250, 51_250), None);
    assert_eq!(
        watch.look(9_250, 59_260),
        None,
        "a freeze stops neither clock"
    );
    assert_eq!(watch.look(9_500, 64_510), Some(5_000));
    assert_eq!(watch.look(9_750, 64_760), None);
}

#[tokio::test(flavor = "current_thread")]
async fn a_deadline_passes_while_the_machine_is_suspended() {
    let began = BootInstant::now();
    let waits = tokio::spawn(timeout(Duration::from_millis(300), pending::<()>()));
    tokio::task::yield_now().await;
    suspended_for(Duration::from_millis(400)).await;
    announce_resume();
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    assert!(
        waits.is_finished(),
        "the timer has not moved, the time is up"
    );
    assert_eq!(waits.await.unwrap(), Err(DeadlineElapsed));
    assert!(began.elapsed() >= Duration::from_millis(400));
}

#[tokio::test(flavor = "current_thread")]
async fn a_result_that_came_meanwhile_counts() {
    let (tx, rx) = tokio::sync::oneshot::channel();
    let mut waits = pin!(timeout(Duration::from_millis(100), rx));
    let first = poll_fn(|cx| Poll::Ready(waits.as_mut().poll(cx))).await;
    assert!(first.is_pending());
    tokio::time::pause();
    // The waiter isn't polled meanwhile, whoever else announces a resume.
    std::thread::sleep(Duration::from_millis(200));
    tx.send(7).unwrap();
    announce_resume();
    assert_eq!(waits.await, Ok(Ok(7)));
}

#[test]
fn times_before_and_after_a_moment_are_never_negative() {
    let now = BootInstant::now();
    let later = now + Duration::from_secs(5);
    assert_eq!(later.elapsed(), Duration::ZERO);
    assert!(later.left() > Duration::from_secs(4));
    assert_eq!(now.left(), Duration::ZERO);
}

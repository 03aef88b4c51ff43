//! Held reads of a shared source that stops answering and returns.

use {
    saddlepulley::{policy::SourceHealth, provider::SourceMonitor},
    std::{cell::Cell, future::pending, time::Duration},
};

const HOLD: Duration = Duration::from_secs(3_600);

#[test]
fn a_silent_source_is_probed_once_per_interval() {
    let mut health = SourceHealth::default();
    health.record_call(1_000);
    assert_eq!(health.probe_in_ms(9_000), None, "no call has failed");
    health.record_failure(1_000);
    assert!(health.is_silent());
    // One probe per interval, whoever made the last call.
    assert_eq!(health.probe_in_ms(1_300), Some(500));
    assert_eq!(health.probe_in_ms(2_300), Some(0));
    health.record_call(2_300);
    assert_eq!(health.probe_in_ms(2_300), Some(800));
    health.record_failure(2_300);
    assert_eq!(health.record_answer(4_000), Some(3_000));
    assert_eq!((health.is_silent(), health.recoveries()), (false, 1));
    assert_eq!(
        health.record_answer(5_000),
        None,
        "the source was not silent before"
    );
    assert_eq!((health.probe_in_ms(9_000), health.recoveries()), (None, 1));
}

/// Two calls by other parts of the daemon: the first gets no answer, the second does.
async fn fail_and_recover(monitor: &SourceMonitor) {
    let failed: Result<(), &str> = monitor.call(async { Err("no answer") }).await;
    assert!(failed.is_err());
    let answered: Result<(), &str> = monitor.call(async { Ok(()) }).await;
    assert!(answered.is_ok());
}

#[tokio::test]
async fn a_hanging_read_is_repeated_once_other_calls_are_answered_again() {
    let monitor = SourceMonitor::default();
    let started = Cell::new(0);
    let read = monitor.long_poll(HOLD, |hold| {
        let number = started.replace(started.get() + 1);
        async move {
            match number {
                0 => pending().await,
                _ => Ok::<_, &str>((number, hold)),
            }
        }
    });
    let (result, ()) = tokio::join!(read, fail_and_recover(&monitor));
    assert_eq!(result, Ok((1, Duration::ZERO)));
}

#[tokio::test]
async fn a_repeated_read_that_fails_does_not_end_the_first_one() {
    let monitor = SourceMonitor::default();
    let started = Cell::new(0);
    let (tx, rx) = tokio::sync::oneshot::channel();
    let mut first = Some(rx);
    let read = monitor.long_poll(HOLD, |_| {
        started.set(started.get() + 1);
        let first = first.take();
        async move {
            match first {
                Some(first) => first.await.map_err(|_| "lost"),
                None => Err("refused"),
            }
        }
    });
    let answers = async {
        fail_and_recover(&monitor).await;
        while started.get() < 2 {
            tokio::task::yield_now().await;
        }
        tx.send("slow").expect("the first read still waits");
    };
    let (result, ()) = tokio::join!(read, answers);
    assert_eq!(result, Ok("slow"));
}

#[tokio::test]
async fn a_refused_read_ends_with_the_error() {
    let monitor = SourceMonitor::default();
    let read = monitor.long_poll(HOLD, |_| async { Err::<(), _>("refused") });
    assert_eq!(read.await, Err("refused"));
}

#[tokio::test]
async fn a_pause_ends_when_the_source_is_back() {
    let monitor = SourceMonitor::default();
    tokio::join!(monitor.pause(HOLD), async {
        tokio::task::yield_now().await;
        fail_and_recover(&monitor).await;
    });
}

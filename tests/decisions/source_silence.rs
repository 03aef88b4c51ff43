//! Reads that a shared source may hold, while it falls silent and returns.

use {
    saddlepulley::{policy::SourceHealth, provider::SourceMonitor},
    std::{cell::Cell, future::pending, time::Duration},
};

const HOLD: Duration = Duration::from_secs(3_600);

#[test]
fn calls_are_lacking_or_too_many_while_a_source_is_silent() {
    let mut silence = SourceHealth::default();
    silence.record_call(1_000);
    assert_eq!(
        silence.probe_in_ms(9_000),
        None,
        "nothing tells of a silence"
    );
    silence.record_failure(1_000);
    assert!(silence.is_silent());
    // One a time, whoever made the last one.
    assert_eq!(silence.probe_in_ms(1_300), Some(500));
    assert_eq!(silence.probe_in_ms(2_300), Some(0));
    silence.record_call(2_300);
    assert_eq!(silence.probe_in_ms(2_300), Some(800));
    silence.record_failure(2_300);
    assert_eq!(silence.record_answer(4_000), Some(3_000));
    assert_eq!((silence.is_silent(), silence.returns()), (false, 1));
    assert_eq!(
        silence.record_answer(5_000),
        None,
        "it answered all the time"
    );
    assert_eq!((silence.probe_in_ms(9_000), silence.returns()), (None, 1));
}

/// Two calls of other parts of the daemon: one that is not answered, and one that is.
async fn fall_silent_and_return(watch: &SourceMonitor) {
    let failed: Result<(), &str> = watch.call(async { Err("no answer") }).await;
    assert!(failed.is_err());
    let answered: Result<(), &str> = watch.call(async { Ok(()) }).await;
    assert!(answered.is_ok());
}

#[tokio::test]
async fn a_read_hangs_on_after_others_are_answered_again() {
    let watch = SourceMonitor::default();
    let begun = Cell::new(0);
    let read = watch.long_poll(HOLD, |hold| {
        let number = begun.replace(begun.get() + 1);
        async move {
            match number {
                0 => pending().await,
                _ => Ok::<_, &str>((number, hold)),
            }
        }
    });
    let (news, ()) = tokio::join!(read, fall_silent_and_return(&watch));
    assert_eq!(news, Ok((1, Duration::ZERO)));
}

#[tokio::test]
async fn a_further_read_that_fails_ends_the_first_one() {
    let watch = SourceMonitor::default();
    let begun = Cell::new(0);
    let (tx, rx) = tokio::sync::oneshot::channel();
    let mut first = Some(rx);
    let read = watch.long_poll(HOLD, |_| {
        begun.set(begun.get() + 1);
        let first = first.take();
        async move {
            match first {
                Some(first) => first.await.map_err(|_| "lost"),
                None => Err("refused"),
            }
        }
    });
    let answers = async {
        fall_silent_and_return(&watch).await;
        while begun.get() < 2 {
            tokio::task::yield_now().await;
        }
        tx.send("slow").expect("it still waits");
    };
    let (news, ()) = tokio::join!(read, answers);
    assert_eq!(news, Ok("slow"));
}

#[tokio::test]
async fn a_source_that_refuses_is_asked_without_end() {
    let watch = SourceMonitor::default();
    let read = watch.long_poll(HOLD, |_| async { Err::<(), _>("refused") });
    assert_eq!(read.await, Err("refused"));
}

#[tokio::test]
async fn a_pause_lasts_on_after_the_source_is_back() {
    let watch = SourceMonitor::default();
    tokio::join!(watch.pause(HOLD), async {
        tokio::task::yield_now().await;
        fall_silent_and_return(&watch).await;
    });
}

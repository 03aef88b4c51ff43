use {
    super::{BootInstant, suspension::resumes},
    displaydoc::Display,
    std::{future::ready, pin::pin, time::Duration},
};

/// deadline elapsed
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub struct DeadlineElapsed;

/// Waits for a result until a deadline, which also elapses while the machine is suspended.
///
/// # Errors
///
/// Returns [`DeadlineElapsed`] if there is no result by the deadline.
pub async fn timeout_at<F: Future>(
    deadline: BootInstant,
    future: F,
) -> Result<F::Output, DeadlineElapsed> {
    let mut future = pin!(future);
    let mut resumes = resumes();
    loop {
        let left = deadline.left();
        let has_elapsed = left.is_zero();
        tokio::select! {
            // A result that is ready counts even after the deadline.
            biased;
            result = &mut future => return Ok(result),
            () = ready(()), if has_elapsed => return Err(DeadlineElapsed),
            () = tokio::time::sleep(left) => {}
            // The sender lives as long as the process.
            _ = resumes.changed() => {}
        }
    }
}

/// Sleeps for a time, which includes the time that the machine is suspended.
pub async fn sleep(time: Duration) {
    // Always times out, as the future never completes.
    let _ = timeout(time, std::future::pending::<()>()).await;
}

/// Waits for a result for a time, which includes the time that the machine is suspended.
///
/// # Errors
///
/// Returns [`DeadlineElapsed`] if there is no result within `time`.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, DeadlineElapsed> {
    timeout_at(BootInstant::now() + time, future).await
}

use {
    super::{BootInstant, suspension::resumes},
    displaydoc::Display,
    std::{future::ready, pin::pin, time::Duration},
};

/// the time is up
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub struct DeadlineElapsed;

/// Waits for a result until a moment, which may pass while the machine is suspended.
///
/// # Errors
///
/// Returns [`DeadlineElapsed`] if there is no result by then.
pub async fn timeout_at<F: Future>(
    deadline: BootInstant,
    future: F,
) -> Result<F::Output, DeadlineElapsed> {
    let mut future = pin!(future);
    let mut resumes = resumes();
    loop {
        let left = deadline.left();
        let is_up = left.is_zero();
        tokio::select! {
            // A result that is there counts, also late.
            biased;
            result = &mut future => return Ok(result),
            () = ready(()), if is_up => return Err(DeadlineElapsed),
            () = tokio::time::sleep(left) => {}
            // The sender lives as long as the process.
            _ = resumes.changed() => {}
        }
    }
}

/// Waits for a time, in which the machine may be suspended.
pub async fn sleep(time: Duration) {
    // There is no result.
    let _ = timeout(time, std::future::pending::<()>()).await;
}

/// Waits for a result for a time, in which the machine may be suspended.
///
/// # Errors
///
/// Returns [`DeadlineElapsed`] if there is no result by then.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, DeadlineElapsed> {
    timeout_at(BootInstant::now() + time, future).await
}

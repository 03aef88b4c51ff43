use {
    super::BootInstant,
    std::{
        sync::LazyLock,
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Interval of the checks for a suspension. A deadline that elapses during a suspension is
/// noticed at most this long after the machine has resumed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Largest change of the offset between the two clocks, in milliseconds, that does not count as
/// a suspension: the clocks are read one after the other, and the thread may be preempted in
/// between.
const DRIFT_MS: u64 = 100;

/// Counts the resumes of the machine, and notifies the futures that wait for a deadline.
static RESUMES: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));

/// Detects suspensions of the machine from two clocks, of which one stops during a suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    /// How far the boot clock was ahead at the last observation, in milliseconds.
    offset_ms: Option<u64>,
}

impl SuspensionDetector {
    /// Observes both clocks, each in milliseconds since its own arbitrary start. Returns how long
    /// the machine was suspended since the last observation, in milliseconds; none if it was not.
    pub fn observe(&mut self, steady_ms: u64, boot_ms: u64) -> Option<u64> {
        let offset_ms = boot_ms.saturating_sub(steady_ms);
        let before_ms = self.offset_ms.replace(offset_ms)?;
        let suspended_ms = offset_ms.saturating_sub(before_ms);
        (suspended_ms > DRIFT_MS).then_some(suspended_ms)
    }
}

/// Checks for suspensions, without end, and wakes all futures that wait for a deadline after
/// each one.
pub async fn watch_for_suspensions() {
    let (steady, boot) = (Instant::now(), BootInstant::now());
    let mut detector = SuspensionDetector::default();
    loop {
        let (steady_ms, boot_ms) = (steady.elapsed().as_millis(), boot.elapsed().as_millis());
        if let Some(suspended_ms) = detector.observe(steady_ms as u64, boot_ms as u64) {
            log::warn!(target: "clock", "machine was suspended. for_ms={suspended_ms}");
            announce_resume();
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Wakes all futures that wait for a deadline, so that they check the time again.
pub fn announce_resume() {
    RESUMES.send_modify(|n| *n += 1);
}

/// Returns a receiver that is notified of each resume from now on.
pub(super) fn resumes() -> watch::Receiver<u64> {
    RESUMES.subscribe()
}

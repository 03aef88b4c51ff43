use {
    super::BootInstant,
    std::{
        sync::LazyLock,
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// How often is looked whether the machine was suspended: so much later than its time a
/// deadline is noticed at most that passed meanwhile.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// By how much the two clocks may drift apart between two looks without a suspension, in
/// milliseconds: they are read one after the other, and a thread may be held up in between.
const DRIFT_MS: u64 = 100;

/// Counts the times that the machine was resumed.
static RESUMES: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));

/// Detects that the machine was suspended, by two clocks of which one stands still meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    apart_ms: Option<u64>,
}

impl SuspensionDetector {
    /// Takes in what both clocks say, in milliseconds since any moment each; returns for
    /// how long the machine was suspended since the last look, if it was.
    pub fn look(&mut self, steady_ms: u64, boot_ms: u64) -> Option<u64> {
        let apart_ms = boot_ms.saturating_sub(steady_ms);
        let before_ms = self.apart_ms.replace(apart_ms)?;
        let suspended_ms = apart_ms.saturating_sub(before_ms);
        (suspended_ms > DRIFT_MS).then_some(suspended_ms)
    }
}

/// Looks for suspensions, and wakes what waits for a deadline.
pub async fn watch_for_suspensions() {
    let (steady, boot) = (Instant::now(), BootInstant::now());
    let mut watch = SuspensionDetector::default();
    loop {
        let (steady_ms, boot_ms) = (steady.elapsed().as_millis(), boot.elapsed().as_millis());
        if let Some(suspended_ms) = watch.look(steady_ms as u64, boot_ms as u64) {
            log::warn!(target: "clock", "the machine was suspended. for_ms={suspended_ms}");
            announce_resume();
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Wakes what waits for a deadline, to look at the time again.
pub fn announce_resume() {
    RESUMES.send_modify(|n| *n += 1);
}

/// Returns what tells of resumes from now on.
pub(super) fn resumes() -> watch::Receiver<u64> {
    RESUMES.subscribe()
}

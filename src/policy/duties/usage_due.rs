/// Fraction of the report delay after which a window is reported if all known daemons
/// have announced their counts. It is not reported earlier because other daemons may not
/// be known yet.
const COMPLETE_REPORT_AT: f64 = 0.35;
/// Fraction of the report delay after which a window is reported if counts are missing:
/// daemons whose counts are missing may be disconnected for some seconds, or stopped.
const INCOMPLETE_REPORT_AT: f64 = 0.7;
/// Multiple of the report delay up to which a late report is still sent.
const LAST_REPORT_AT: f64 = 1.2;
/// How long a new holder of the duties waits for counts, in milliseconds: two
/// announcement intervals. A holder that reported at once would have received the counts
/// of few requests.
const NEW_HOLDER_WAIT_MS: f64 = 1_200.0;
/// Fraction of the report delay after which a new holder reports an incomplete window
/// even if it has not waited for `NEW_HOLDER_WAIT_MS`.
const NEW_HOLDER_REPORT_AT: f64 = 0.92;

/// Maximum difference between the clocks of two boxes that is allowed for, in milliseconds.
const CLOCK_TOLERANCE_MS: f64 = 500.0;

/// Returns the first window of `length_ms` milliseconds whose report no daemon can have
/// announced before `unix_ms`, as it was not due yet.
pub fn first_unannounced_window(unix_ms: u64, length_ms: u64, delay_ms: f64) -> u64 {
    let newest_end_ms = unix_ms as f64 + CLOCK_TOLERANCE_MS - COMPLETE_REPORT_AT * delay_ms;
    newest_end_ms.max(0.0) as u64 / length_ms.max(1)
}

/// The facts that decide whether a window's usage is reported now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReadiness {
    /// Time since the window ended, in milliseconds.
    pub age_ms: f64,
    /// The report delay: time after the window's end at which the report is due, in
    /// milliseconds.
    pub delay_ms: f64,
    /// All daemons have announced their counts of the window.
    pub is_complete: bool,
    /// Time for which this daemon has held the duties, in milliseconds.
    pub held_ms: f64,
}

impl UsageReadiness {
    /// Returns true if the window is to be reported now.
    pub fn is_due(&self) -> bool {
        let elapsed = self.age_ms / self.delay_ms.max(1.0);
        if elapsed > LAST_REPORT_AT {
            return false;
        }
        let is_settled = self.is_complete || self.held_ms >= NEW_HOLDER_WAIT_MS;
        match is_settled {
            true => {
                elapsed
                    >= if self.is_complete {
                        COMPLETE_REPORT_AT
                    } else {
                        INCOMPLETE_REPORT_AT
                    }
            }
            false => elapsed >= NEW_HOLDER_REPORT_AT,
        }
    }
}

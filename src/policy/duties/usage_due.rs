/// Of the time until a report of usage is due, how much is waited even if all
/// daemons that are known have told their counts: others may not be known yet.
const REPORT_AT: f64 = 0.35;
/// How much is waited for daemons that have not: they may be cut off for some
/// seconds, or gone.
const REPORT_LATE: f64 = 0.7;
/// Until how many times the time a late report is still sent.
const REPORT_UNTIL: f64 = 1.2;
/// For how long a new holder of the duties waits for counts in any case, in
/// milliseconds: two tellings. One that reports at once has heard of few requests.
const SETTLE_MS: f64 = 1_200.0;
/// Of the time until a report is due, when it is sent even so.
const REPORT_LAST: f64 = 0.92;

/// What decides whether a window's usage is reported now. Times are in
/// milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReadiness {
    /// How long ago the window ended.
    pub age_ms: f64,
    /// How long after its end the report is due.
    pub delay_ms: f64,
    /// Whether all daemons have told what they counted in it.
    pub is_complete: bool,
    /// For how long this daemon has held the duties.
    pub held_ms: f64,
}

impl UsageReadiness {
    /// Returns whether to report now.
    pub fn is_due(&self) -> bool {
        let part = self.age_ms / self.delay_ms.max(1.0);
        if part > REPORT_UNTIL {
            return false;
        }
        let is_settled = self.is_complete || self.held_ms >= SETTLE_MS;
        match is_settled {
            true => {
                part >= if self.is_complete {
                    REPORT_AT
                } else {
                    REPORT_LATE
                }
            }
            false => part >= REPORT_LAST,
        }
    }
}

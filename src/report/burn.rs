use serde::Serialize;

/// The windows for which the burn rate of the error budget is reported: name, and length in
/// milliseconds.
pub const WINDOWS: [(&str, u64); 3] = [
    ("5m", 5 * 60_000),
    ("1h", 60 * 60_000),
    ("6h", 6 * 60 * 60_000),
];

/// The burn rate of an error budget in one window. At a rate of 1, the budget lasts exactly as
/// long as the objective's period.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// The name of the window.
    pub window: &'static str,
    /// The number of requests in the window.
    pub requests: u64,
    /// The burn rate; `None` if the window has no requests.
    pub rate: Option<f64>,
}

impl Burn {
    /// Computes the rate from the counts of a window and the objective, the share of requests
    /// that shall be on target.
    pub fn new(window: &'static str, requests: u64, on_target: u64, objective: f64) -> Self {
        let rate = (requests > 0).then(|| {
            let bad = (requests - on_target.min(requests)) as f64 / requests as f64;
            bad / (1.0 - objective).max(1e-9)
        });
        Self {
            window,
            requests,
            rate,
        }
    }
}

use serde::Serialize;

/// The windows in which the burn of the error budget is shown, in milliseconds.
pub const WINDOWS: [(&str, u64); 3] = [
    ("5m", 5 * 60_000),
    ("1h", 60 * 60_000),
    ("6h", 6 * 60 * 60_000),
];

/// How fast an error budget burns in one window: at 1 it lasts exactly as long
/// as the objective's period.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// The window's name.
    pub window: &'static str,
    /// Requests in the window.
    pub requests: u64,
    /// The rate; none without requests.
    pub rate: Option<f64>,
}

impl Burn {
    /// Works out the rate from counts and the row's objective.
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

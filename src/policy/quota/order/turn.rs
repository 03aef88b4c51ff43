/// How long a turn is kept for a client that comes late, in milliseconds: enough for network delay and
/// a new connection.
const LAPSE_MS: u64 = 250;
/// How much too early a client may come, in milliseconds: retry times are sent in hundredths of a
/// second.
const EARLY_TOLERANCE_MS: u64 = 10;

/// The time that a refused request was told to come back at, and the units that are kept for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// The lane of the request.
    pub lane: usize,
    /// Units that the lane gathers for the request; 0 if it was given no turn, and only the time that
    /// it was told is kept.
    pub units: f64,
    /// The time from which on the request may be admitted. Without units: from which on it counts as
    /// new.
    pub due_ms: u64,
    /// The time that the request was told.
    pub told_ms: u64,
    /// The request came at its turn and was not admitted. It may ask again at any time.
    pub is_missed: bool,
}

impl Turn {
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.is_missed || now_ms + EARLY_TOLERANCE_MS >= self.due_ms
    }

    pub fn is_lapsed(&self, now_ms: u64) -> bool {
        now_ms > self.due_ms + LAPSE_MS
    }

    /// Returns whether units are gathered for the request.
    pub fn is_promised(&self) -> bool {
        self.units > 0.0
    }
}

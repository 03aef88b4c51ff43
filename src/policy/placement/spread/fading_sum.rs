/// A sum of work that decays exponentially. Times are milliseconds of the daemon's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct FadingSum {
    sum: f64,
    at_ms: u64,
}

impl FadingSum {
    /// Adds work. Work that was added before decays with the time constant `fade_ms`.
    pub fn add(&mut self, work: f64, fade_ms: f64, now_ms: u64) {
        self.sum = self.at(fade_ms, now_ms) + work;
        self.at_ms = now_ms;
    }

    /// Returns the sum as decayed until now.
    pub fn at(&self, fade_ms: f64, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-passed_ms / fade_ms).exp()
    }

    /// Returns when work was added last.
    pub fn changed_ms(&self) -> u64 {
        self.at_ms
    }
}

/// Speed at which the engines of a service prefill prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    /// Milliseconds per prompt token.
    pub ms_per_token: f64,
    /// Number of comparisons that the estimate is based on.
    pub comparisons: u32,
}

impl PrefillSpeed {
    /// Returns the average of several estimates, weighted by their numbers of comparisons, or
    /// `None` if there are no comparisons.
    pub fn merged(speeds: impl Iterator<Item = Self>) -> Option<Self> {
        let (mut sum, mut comparisons) = (0.0, 0);
        for speed in speeds {
            sum += speed.ms_per_token * f64::from(speed.comparisons);
            comparisons += speed.comparisons;
        }
        (comparisons > 0).then(|| Self {
            ms_per_token: sum / f64::from(comparisons),
            comparisons,
        })
    }

    /// Returns the number of prompt tokens that an engine prefills per second.
    pub fn tokens_per_s(&self) -> f64 {
        1_000.0 / self.ms_per_token
    }
}

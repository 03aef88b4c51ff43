/// How fast a service's engines read prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingSpeed {
    /// Milliseconds a token.
    pub ms_per_token: f64,
    /// How many comparisons it rests on.
    pub comparisons: u32,
}

impl ReadingSpeed {
    /// Returns the average of several estimates by what they rest on.
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

    /// Returns the tokens that an engine reads in a second.
    pub fn tokens_per_s(&self) -> f64 {
        1_000.0 / self.ms_per_token
    }
}

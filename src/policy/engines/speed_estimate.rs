/// The weight at which an estimate is trusted by half: about that of three answers.
const HALF_TRUSTED_WEIGHT: f64 = 2.2;

/// An estimate of an upstream's speed, with the evidence behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedEstimate {
    /// The natural logarithm of the time that the upstream takes for a token, as a multiple of its
    /// service's usual time. It is 0 if the upstream is as fast as the others; with logarithms, "twice
    /// as fast" and "half as fast" are equally far from 0.
    pub log_factor: f64,
    /// The weight of the answers behind the estimate; an answer weighs 1 at most.
    pub weight: f64,
    /// When the newest of these answers came, in milliseconds.
    pub at_ms: u64,
}

impl SpeedEstimate {
    /// Returns the weighted average of estimates; without any weight, an estimate of weight 0.
    pub fn merged(estimates: impl Iterator<Item = Self>) -> Self {
        let (mut sum, mut merged) = (0.0, Self::default());
        for estimate in estimates {
            sum += estimate.log_factor * estimate.weight;
            merged.weight += estimate.weight;
            merged.at_ms = merged.at_ms.max(estimate.at_ms);
        }
        if merged.weight > 0.0 {
            merged.log_factor = sum / merged.weight;
        }
        merged
    }

    /// Returns how far the estimate is trusted, from 0 to 1. Few answers are trusted little: they may
    /// all have been delayed by the same cause.
    pub fn trust(&self) -> f64 {
        let squared = self.weight * self.weight;
        squared / (squared + HALF_TRUSTED_WEIGHT * HALF_TRUSTED_WEIGHT)
    }

    /// Returns the logarithm multiplied by the trust, so that it is nearer to 0 with little evidence.
    pub fn trusted_log_factor(&self) -> f64 {
        self.log_factor * self.trust()
    }
}

/// Time constant with which the level of demand is smoothed, in milliseconds.
const LEVEL_MS: f64 = 1_000.0;
/// Time constant with which the slope of demand is smoothed, in milliseconds: long enough that
/// requests that come together don't look like growth.
const SLOPE_MS: f64 = 5_000.0;
/// The most by which demand is expected to grow until an upstream has booted, as a factor. A jump has
/// a steep slope, but doesn't go on.
const MAX_GROWTH: f64 = 1.5;
/// The decline per second, as a share of the level, from which on demand counts as falling.
const FALLING_SHARE: f64 = 0.01;

/// Level and slope of a service's demand, from which the demand is forecast for the time when ordered
/// upstreams have booted. Covers demand that grows and falls in waves.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandTrend {
    level: Option<f64>,
    slope_per_ms: f64,
    at_ms: u64,
}

impl DemandTrend {
    /// Records the current demand. Times are milliseconds of a monotonic clock.
    pub fn record(&mut self, demand: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = now_ms;
        let Some(before) = self.level else {
            self.level = Some(demand);
            return;
        };
        if elapsed_ms <= 0.0 {
            return;
        }
        let level = before + (1.0 - (-elapsed_ms / LEVEL_MS).exp()) * (demand - before);
        let slope = (level - before) / elapsed_ms;
        self.slope_per_ms += (1.0 - (-elapsed_ms / SLOPE_MS).exp()) * (slope - self.slope_per_ms);
        self.level = Some(level);
    }

    /// Returns the demand that is expected after some time: at least the current one.
    pub fn expected(&self, after_ms: u64) -> f64 {
        let level = self.level.unwrap_or_default();
        let growth = self.slope_per_ms.max(0.0) * after_ms as f64;
        (level + growth).min(level * MAX_GROWTH)
    }

    /// Returns the change of demand per second.
    pub fn slope_per_s(&self) -> f64 {
        self.slope_per_ms * 1_000.0
    }

    /// Returns true if demand falls.
    pub fn is_falling(&self) -> bool {
        self.slope_per_s() < -FALLING_SHARE * self.level.unwrap_or_default()
    }
}

use {
    crate::conf::{not_negative, positive, share},
    serde::Deserialize,
};

/// By which weights a service's fleet is planned. The defaults were chosen by
/// trials on several deployments (docs/DECISIONS.md).
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPolicy {
    /// Of what upstreams can do, how much is planned with; the rest is for
    /// requests that come in clumps.
    #[serde(deserialize_with = "share")]
    pub planned_use: f64,
    /// The fewest upstreams that are planned for a service.
    pub min_needed: u32,
    /// In how many failure domains reclaimable upstreams may be taken away
    /// before others are to be had again.
    pub losses_borne: u32,
    /// What reclaimable upstreams for all of the load may cost together, beside
    /// on-demand ones for the same load.
    #[serde(deserialize_with = "positive")]
    pub max_reclaimable_cost: f64,
    /// Of the upstreams that the next failure domain's loss would take, how many
    /// on-demand ones are ordered ahead.
    #[serde(deserialize_with = "not_negative")]
    pub next_loss_cover: f64,
    /// How long fewer upstreams are wanted before they are ordered, in
    /// milliseconds.
    pub lower_after_ms: u64,
    /// In which time a peak of demand that is not reached again is forgotten for
    /// reclaimable upstreams, in milliseconds.
    #[serde(deserialize_with = "positive")]
    pub steady_decay_ms: f64,
    /// The same for on-demand ones.
    #[serde(deserialize_with = "positive")]
    pub now_decay_ms: f64,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        Self {
            planned_use: 0.4,
            min_needed: 3,
            losses_borne: 3,
            max_reclaimable_cost: 1.0,
            next_loss_cover: 0.8,
            lower_after_ms: 2_500,
            steady_decay_ms: 30_000.0,
            now_decay_ms: 8_000.0,
        }
    }
}

impl FleetPolicy {
    /// Returns how many upstreams a load needs that would keep `load` of them
    /// busy all the time.
    pub fn needed(&self, load: f64) -> u32 {
        let needed = load / self.planned_use.max(f64::MIN_POSITIVE);
        (needed.ceil() as u32).max(self.min_needed)
    }
}

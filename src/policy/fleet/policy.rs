use {
    crate::conf::{not_negative, positive, share},
    serde::Deserialize,
};

/// Settings by which a service's fleet is planned.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPolicy {
    /// Share of the upstreams' capacity that is planned for; the rest is headroom for bursts
    /// of requests.
    #[serde(deserialize_with = "share")]
    pub planned_use: f64,
    /// The minimum number of upstreams that is planned for a service.
    pub min_needed: u32,
    /// Number of failure domains whose reclaimable upstreams may all be reclaimed before
    /// replacements are available.
    pub losses_borne: u32,
    /// The maximum cost of all reclaimable upstreams together, as a multiple of the cost of
    /// on-demand upstreams for the same load.
    #[serde(deserialize_with = "positive")]
    pub max_reclaimable_cost: f64,
    /// Share of the upstreams that the loss of the next failure domain would take for which
    /// on-demand upstreams are ordered in advance.
    #[serde(deserialize_with = "not_negative")]
    pub next_loss_cover: f64,
    /// How long a lower number of upstreams must be wanted before it is ordered, in
    /// milliseconds.
    pub lower_after_ms: u64,
    /// Time constant with which a peak of demand decays for reclaimable upstreams, in
    /// milliseconds.
    #[serde(deserialize_with = "positive")]
    pub steady_decay_ms: f64,
    /// Time constant with which a peak of demand decays for on-demand upstreams, in
    /// milliseconds.
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
    /// Returns how many upstreams are needed for a load that would keep `load` of them fully
    /// busy.
    pub fn needed(&self, load: f64) -> u32 {
        let needed = load / self.planned_use.max(f64::MIN_POSITIVE);
        (needed.ceil() as u32).max(self.min_needed)
    }
}

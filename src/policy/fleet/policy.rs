use {
    super::FleetNeed,
    crate::conf::{not_negative, optional_share, positive, share},
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
    /// Share of the upstreams' capacity that may be used while lost upstreams are replaced.
    /// If it is set, the fleet is planned by need: what a loss leaves carries the load at this
    /// share, and `planned_use` holds only while nothing is lost.
    #[serde(deserialize_with = "optional_share")]
    pub max_use: Option<f64>,
    /// Share of the load that on-demand upstreams carry, at `max_use`, when all reclaimable
    /// ones are lost. Used only if `max_use` is set.
    #[serde(deserialize_with = "not_negative")]
    pub on_demand_base: f64,
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
    /// milliseconds. If `max_use` is set, this is also how long slightly fewer of them have to be
    /// needed before their number is lowered.
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
            max_use: None,
            on_demand_base: 0.0,
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

    /// Returns the capacity that is needed for a load, if the share of it that may be used after a loss
    /// is `max_use`. The capacity of every day is at least `vouched` upstreams: a number that runs and
    /// has been sufficient so far.
    pub fn need(&self, load: f64, max_use: f64, vouched: u32) -> FleetNeed {
        let after_loss = load / max_use.max(f64::MIN_POSITIVE);
        let needed = self.needed(load).max(vouched);
        FleetNeed {
            every_day: f64::from(needed),
            after_loss,
            on_demand_base: after_loss * self.on_demand_base,
        }
    }
}

/// The capacity that a service needs, as a number of upstreams of usual speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetNeed {
    /// While nothing is lost, with headroom for bursts of requests.
    pub every_day: f64,
    /// While lost upstreams are replaced.
    pub after_loss: f64,
    /// In on-demand upstreams, when all reclaimable ones are lost.
    pub on_demand_base: f64,
}

impl FleetNeed {
    /// Returns the need without the headroom for bursts.
    pub fn without_headroom(self) -> Self {
        Self {
            every_day: self.every_day.min(self.after_loss),
            ..self
        }
    }
}

/// The capacities that a service needs, by the kind of upstream that is ordered for them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetNeeds {
    /// For the recent peak of demand: reclaimable upstreams, which are cheap.
    pub steady: FleetNeed,
    /// For the current demand: on-demand upstreams, which are expensive.
    pub now: FleetNeed,
}

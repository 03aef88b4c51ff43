use super::{DecidingBound, FleetNeed};

/// The figures behind a planned fleet, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanReason {
    /// The current load, in fully busy upstreams.
    pub load: f64,
    /// Its change per second.
    pub slope_per_s: f64,
    /// The capacity that is needed.
    pub need: FleetNeed,
    /// How many failure domains' losses are planned for.
    pub losses: u32,
    /// The capacity that is left after these losses.
    pub left: f64,
    /// The bound that decided.
    pub bound: DecidingBound,
    /// On-demand upstreams that are planned, with those that are kept until they are replaced.
    pub planned_on_demand: u32,
    /// Reclaimable upstreams that are planned.
    pub planned_reclaimable: u32,
}

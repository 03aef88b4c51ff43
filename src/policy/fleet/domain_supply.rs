use super::DomainFleet;

/// The upstreams of a service in a failure domain, and which kinds more can be ordered of there. Input
/// to the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSupply {
    /// The upstreams that run or start there.
    pub fleet: DomainFleet,
    /// The capacity of an upstream there, as a multiple of a usual one's.
    pub capacity: f64,
    /// False if the platform has no more on-demand upstreams there now.
    pub has_on_demand: bool,
    /// False if the platform has no more reclaimable upstreams there now.
    pub has_reclaimable: bool,
}

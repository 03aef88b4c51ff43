use super::{DomainFleet, FleetBounds};

/// What a daemon knows of a service's fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// The upstreams that may get new requests, by failure domain; their `pending` is not used.
    pub domains: Vec<DomainFleet>,
    /// The capacity of an upstream of each of these domains, as a multiple of a usual one's. Domains
    /// beyond the end of the list count as 1.
    pub capacities: Vec<f64>,
    /// The bounds of the fleet.
    pub bounds: FleetBounds,
    /// Whether `domains` is assumed to show all upstreams, as it may not right after a start.
    pub is_settled: bool,
}

use {super::DomainFleet, crate::names::FailureDomain, std::collections::BTreeMap};

/// Returns the mean capacity of an upstream in each of these failure domains, as a multiple of a usual
/// upstream's. `capacity` holds the sum for the ready upstreams of each domain. Where none is ready,
/// the mean is 1: upstreams that are ordered are assumed to be usual ones.
pub fn mean_capacities(
    capacity: &BTreeMap<FailureDomain, f64>,
    domains: &[DomainFleet],
) -> Vec<f64> {
    let means = domains.iter().map(|fleet| {
        let ready = fleet.on_demand + fleet.reclaimable;
        let capacity = capacity.get(&fleet.domain).filter(|_| ready > 0);
        capacity.map_or(1.0, |capacity| capacity / f64::from(ready))
    });
    means.collect()
}

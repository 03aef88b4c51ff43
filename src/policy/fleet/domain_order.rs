use crate::names::FailureDomain;

/// One kind of a service's upstreams in a failure domain. Each is ordered by itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DomainKind {
    /// The failure domain.
    pub domain: FailureDomain,
    /// True for reclaimable upstreams, false for on-demand ones.
    pub reclaimable: bool,
}

/// An order that sets the number of a service's upstreams of one kind in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainOrder {
    /// What is ordered.
    pub kind: DomainKind,
    /// How many there shall be.
    pub count: u32,
}

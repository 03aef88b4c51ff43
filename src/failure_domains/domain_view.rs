use {
    crate::{boxes::BoxTable, links::LinkTable, names::*, policy::*},
    std::collections::BTreeMap,
};

/// The state of a failure domain as this box sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct DomainView {
    /// Number of live entry boxes that are not silent.
    pub daemons: usize,
    /// Number of entry boxes that are known as live, but don't answer this box.
    pub silent_daemons: usize,
    /// Number of live upstreams.
    pub upstreams: usize,
    /// Number of upstreams that are leaving.
    pub leaving: usize,
}

/// Counts the boxes of each failure domain by kind and state.
pub fn domain_views(boxes: &BoxTable, links: &LinkTable) -> BTreeMap<FailureDomain, DomainView> {
    let mut views: BTreeMap<FailureDomain, DomainView> = BTreeMap::new();
    for b in boxes.iter() {
        let view = views.entry(b.failure_domain.clone()).or_default();
        match (b.kind, b.state) {
            (BoxKind::Entry, BoxState::Live) if links.is_silent(&b.id) => view.silent_daemons += 1,
            (BoxKind::Entry, BoxState::Live) => view.daemons += 1,
            (BoxKind::Entry, _) | (_, BoxState::Gone) => {}
            (_, BoxState::Live) => view.upstreams += 1,
            (_, BoxState::Leaving) => view.leaving += 1,
        }
    }
    views
}

use {
    crate::{boxes::BoxTable, links::LinkTable, names::*, policy::*},
    std::collections::BTreeMap,
};

/// A failure domain as this box sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct DomainView {
    /// Entry boxes that are live and were heard of lately.
    pub daemons: usize,
    /// Entry boxes that are live by all that is known, but silent.
    pub silent_daemons: usize,
    /// Live upstreams.
    pub upstreams: usize,
    /// Upstreams that are leaving.
    pub leaving: usize,
}

/// Counts each failure domain's boxes.
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

use {
    super::{Gateway, IS_ISOLATED, UNCONNECTED_UPSTREAMS},
    crate::{cluster::MemberEvent, policy::Isolation, upstreams::Upstream},
};

/// The network paths of this daemon to upstreams.
impl Gateway {
    /// Records whether a connection to an upstream could be opened.
    pub fn record_reach(&self, upstream: &Upstream, is_reached: bool) {
        self.record_link(upstream, is_reached);
        let now_ms = self.steady_ms();
        if is_reached {
            return self.domain_reach.lock().record_reached(&upstream.domain);
        }
        self.loads
            .lock()
            .entry(&upstream.id)
            .record_unreachable(now_ms);
        self.record_event(|| MemberEvent::Unreachable {
            upstream: upstream.id.to_string(),
        });
        self.domain_reach
            .lock()
            .record_unreachable(&upstream.domain, &upstream.id, now_ms);
    }

    fn record_link(&self, upstream: &Upstream, is_reached: bool) {
        let known = self.directory.read().known();
        let now_ms = self.steady_ms();
        let mut links = self.links.lock();
        let opened_ms = links.opened_ms();
        let change = match is_reached {
            true => links.record_opened(now_ms),
            false => links.record_failed(&upstream.id, known, now_ms),
        };
        let failed = links.failed();
        let is_isolated = links.is_isolated();
        drop(links);
        metrics::gauge!(UNCONNECTED_UPSTREAMS).set(failed as f64);
        metrics::gauge!(IS_ISOLATED).set(f64::from(u8::from(is_isolated)));
        match change {
            Some(Isolation::Began) => log::warn!(
                target: "reach",
                "no connection to any upstream can be opened. failed={failed} known={known} last_opened_ms={}",
                opened_ms.map_or_else(|| "-".into(), |at_ms| (now_ms - at_ms).to_string())
            ),
            Some(Isolation::Ended) => log::info!(
                target: "reach",
                "connections to upstreams can be opened again. upstream={}",
                upstream.id
            ),
            None => {}
        }
    }
}

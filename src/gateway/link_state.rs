use {
    super::{Gateway, IS_ISOLATED, RELAYED_UPSTREAMS, UNCONNECTED_UPSTREAMS},
    crate::{
        clock::BootInstant,
        cluster::MemberEvent,
        names::UpstreamId,
        policy::{Isolation, LinkFailure, LinkPath, LinkVerdict},
        upstreams::{Endpoint, SendFailure, Upstream, UpstreamConnection, UpstreamPool},
    },
    rand::seq::SliceRandom,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long the answers of other daemons are awaited: they may try to connect first.
const MAX_VERDICT_WAIT: Duration = Duration::from_secs(2);
/// Interval at which it is checked whether they have answered.
const VERDICT_POLL: Duration = Duration::from_millis(10);
/// Maximum number of daemons that are named to another one that finds no relay.
const MAX_FURTHER: usize = 8;
/// Timeout for opening a connection to an upstream.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens a connection to an upstream. Also returns how this failed, if it did.
async fn connect_within(
    upstream: &Upstream,
    timeout: Duration,
) -> (Result<UpstreamConnection, SendFailure>, Option<LinkFailure>) {
    let began_at = Instant::now();
    let connected = UpstreamPool::connect(upstream.address, timeout).await;
    let failure = match began_at.elapsed() < timeout {
        true => LinkFailure::Refused,
        false => LinkFailure::TimedOut,
    };
    let failure = connected.is_err().then_some(failure);
    (connected, failure)
}

/// The network paths of this daemon to upstreams.
impl Gateway {
    /// Returns the path by which a request is to be sent to an upstream.
    pub fn path_to(&self, id: &UpstreamId) -> LinkPath {
        match self.settings.mechanisms.relays {
            true => self.links.lock().path(id),
            false => LinkPath::Direct,
        }
    }

    /// Returns whether this daemon can send requests to no upstream, neither itself nor through
    /// another daemon.
    pub fn is_cut_off(&self) -> bool {
        self.settings.mechanisms.relays && self.links.lock().is_cut_off()
    }

    /// Opens a connection to an upstream for a request of another daemon.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if the connection can't be opened.
    pub async fn connect_directly(
        &self,
        upstream: &Upstream,
    ) -> Result<UpstreamConnection, SendFailure> {
        let (connected, failure) = connect_within(upstream, CONNECT_TIMEOUT).await;
        self.record_link(upstream, failure);
        connected
    }

    /// Opens a connection to an upstream for a request of this daemon.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if the connection can't be opened within `timeout`.
    pub(super) async fn connect_for_request(
        &self,
        upstream: &Upstream,
        timeout: Duration,
    ) -> Result<UpstreamConnection, SendFailure> {
        let (connected, failure) = connect_within(upstream, timeout).await;
        self.record_link(upstream, failure);
        if connected.is_err() {
            self.record_unreachable(upstream);
        }
        connected
    }

    /// Tries whether a connection to an upstream can be opened, and keeps it for a request.
    pub async fn probe_link(&self, upstream: &Upstream) -> bool {
        let connected = self.connect_directly(upstream).await;
        let is_reached = connected.is_ok();
        if let Ok(connection) = connected {
            let endpoint = Endpoint::Upstream(upstream.id.clone());
            self.pool.put(&endpoint, connection, None);
        }
        is_reached
    }

    /// Records that no connection to an upstream could be opened for a request.
    pub fn record_unreachable(&self, upstream: &Upstream) {
        let now_ms = self.steady_ms();
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

    /// Records the outcome of an attempt to connect to an upstream.
    fn record_link(&self, upstream: &Upstream, failure: Option<LinkFailure>) {
        let known = self.directory.read().known();
        let now_ms = self.steady_ms();
        let mut links = self.links.lock();
        let opened_ms = links.opened_ms();
        let was_relayed = links.verdict(&upstream.id) == LinkVerdict::OwnPath;
        let change = match failure {
            None => links.record_opened(&upstream.id, now_ms),
            Some(failure) => links.record_failed(&upstream.id, failure, known, now_ms),
        };
        let failed = links.failed();
        drop(links);
        self.record_link_metrics();
        match failure {
            None => self.domain_reach.lock().record_reached(&upstream.domain),
            Some(_) => self.link_failed.notify_one(),
        }
        if failure.is_none() && was_relayed {
            log::info!(target: "reach", "upstream is reached directly again. upstream={}", upstream.id);
        }
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

    /// Waits until other daemons have answered whether they reach an upstream to which this one failed to
    /// connect. Returns true if the failure shows nothing about the upstream.
    pub(super) async fn has_lost_link(&self, id: &UpstreamId) -> bool {
        let began_at = BootInstant::now();
        while began_at.elapsed() < MAX_VERDICT_WAIT {
            match self.links.lock().verdict(id) {
                LinkVerdict::OwnPath => return true,
                LinkVerdict::Upstream => return false,
                LinkVerdict::Unknown => {}
            }
            if !self.settings.mechanisms.relays || !self.peers.lock().has_relay_candidates() {
                return false;
            }
            tokio::time::sleep(VERDICT_POLL).await;
        }
        false
    }

    /// Returns whether a connection to an upstream failed since the last one that was opened to it.
    pub(super) fn is_link_broken(&self, upstream: &Upstream) -> bool {
        self.links.lock().is_broken(&upstream.id)
    }

    /// Returns the upstreams for which other daemons are to be queried now, `max` at most.
    pub fn links_to_query(&self, max: usize) -> Vec<UpstreamId> {
        let now_ms = self.steady_ms();
        self.links.lock().to_query(max, now_ms)
    }

    /// Returns the upstreams to which this daemon is to try to connect now, `max` at most.
    pub fn links_to_probe(&self, max: usize) -> Vec<Arc<Upstream>> {
        if self.links.lock().is_sound() {
            return Vec::new();
        }
        // One that leaves gets no new requests, and its address may soon be another's.
        let ready: HashMap<UpstreamId, Arc<Upstream>> = {
            let directory = self.directory.read();
            let ready = directory.all().filter(|u| !u.draining);
            ready.map(|u| (u.id.clone(), u.clone())).collect()
        };
        let now_ms = self.steady_ms();
        let mut links = self.links.lock();
        links.retain(|id| ready.contains_key(id));
        let ids = links.to_probe(ready.keys(), max, now_ms);
        drop(links);
        let upstreams = ids.iter().filter_map(|id| ready.get(id));
        upstreams.cloned().collect()
    }

    /// Returns the daemons that can be queried for upstreams and used as relays, in random order, those
    /// of the own failure domain first.
    pub fn relay_candidates(&self) -> Vec<SocketAddr> {
        let now_ms = self.steady_ms();
        let (mut near, mut far) = self.peers.lock().relay_candidates();
        let mut rng = self.rng.lock();
        near.shuffle(&mut *rng);
        far.shuffle(&mut *rng);
        drop(rng);
        let links = self.links.lock();
        let candidates = near.into_iter().chain(far);
        candidates
            .filter(|daemon| links.is_usable(*daemon, now_ms))
            .collect()
    }

    /// Returns those of the given daemons that can be queried for upstreams, in random order.
    pub fn usable_relays(&self, mut daemons: Vec<SocketAddr>) -> Vec<SocketAddr> {
        daemons.shuffle(&mut *self.rng.lock());
        let now_ms = self.steady_ms();
        let own = self.settings.listen.peers;
        let links = self.links.lock();
        daemons.retain(|daemon| *daemon != own && links.is_usable(*daemon, now_ms));
        daemons
    }

    /// Returns the hubs that may know further daemons: the others of the own failure domain, or those of
    /// all domains if there are none.
    pub fn hubs_to_ask(&self) -> Vec<SocketAddr> {
        let near = self.peers.lock().own_hubs();
        match near.is_empty() {
            true => self.other_hubs().into_iter().collect(),
            false => near,
        }
    }

    /// Returns daemons that may reach upstreams, to name to one that finds none: those through which
    /// requests of this daemon go, and some that report to it.
    pub fn further_daemons(&self) -> Vec<SocketAddr> {
        let relays = self.links.lock().relays();
        let mut members = self.peers.lock().own_members();
        members.retain(|member| !relays.contains(member));
        let mut further = self.random_sample(relays, MAX_FURTHER);
        let left = MAX_FURTHER - further.len();
        further.extend(self.random_sample(members.into_iter().collect(), left));
        further
    }

    /// Returns the queried upstreams that neither this daemon nor another one is known to reach.
    pub fn unreached(&self, queried: &[UpstreamId]) -> Vec<UpstreamId> {
        self.links.lock().unreached(queried)
    }

    /// Applies a daemon's answer to a query for the upstreams that it reaches.
    pub fn record_reached(&self, daemon: SocketAddr, queried: &[UpstreamId], reached: &[bool]) {
        let first = self.links.lock().record_reached(daemon, queried, reached);
        self.record_link_metrics();
        for id in first {
            log::warn!(
                target: "reach",
                "own path to an upstream is broken, another daemon reaches it. upstream={id} daemon={daemon}"
            );
            self.loads.lock().entry(&id).end_backoff();
            let upstream = self.directory.read().get(&id).cloned();
            if let Some(upstream) = upstream {
                self.domain_reach.lock().record_reached(&upstream.domain);
            }
        }
    }

    /// Records that a daemon answered that it can connect to no upstream itself.
    pub fn record_isolated(&self, daemon: SocketAddr) {
        let now_ms = self.steady_ms();
        self.links.lock().record_isolated(daemon, now_ms);
    }

    /// Returns whether this daemon can open no connection to any upstream.
    pub fn is_isolated(&self) -> bool {
        self.links.lock().is_isolated()
    }

    /// Records that all other daemons were queried for upstreams.
    pub fn record_all_queried(&self, queried: &[UpstreamId]) {
        self.links.lock().record_all_queried(queried);
    }

    /// Records that a daemon did not answer a query, or did not pass on a request.
    pub fn record_relay_failed(&self, daemon: SocketAddr) {
        let now_ms = self.steady_ms();
        self.links.lock().record_relay_failed(daemon, now_ms);
        self.record_link_metrics();
    }

    fn record_link_metrics(&self) {
        let links = self.links.lock();
        metrics::gauge!(UNCONNECTED_UPSTREAMS).set(links.failed() as f64);
        metrics::gauge!(RELAYED_UPSTREAMS).set(links.relayed() as f64);
        metrics::gauge!(IS_ISOLATED).set(f64::from(u8::from(links.is_isolated())));
    }

    /// Returns the upstreams that have requests of this daemon, and when any upstream last sent
    /// something, in milliseconds of the steady clock.
    pub fn busy_upstreams(&self) -> (Vec<Arc<Upstream>>, u64) {
        let (ids, progress_ms) = {
            let loads = self.loads.lock();
            let busy = loads.iter().filter(|(_, load)| load.active > 0);
            let ids: Vec<UpstreamId> = busy.map(|(id, _)| id.clone()).collect();
            let progress_ms = loads.iter().map(|(_, load)| load.last_progress_ms).max();
            (ids, progress_ms.unwrap_or(0))
        };
        let directory = self.directory.read();
        let upstreams = ids.iter().filter_map(|id| directory.get(id));
        (upstreams.cloned().collect(), progress_ms)
    }
}

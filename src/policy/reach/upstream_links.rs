use {
    super::{BrokenLink, LinkFailure, LinkPath, LinkVerdict},
    crate::names::UpstreamId,
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Number of upstreams, one after the other, to which no connection can be opened, from which on a
/// daemon counts as isolated. With fewer known upstreams, all of them count. A daemon that still reaches
/// some of its upstreams fails at so many others in a row only seldom.
const MIN_FAILED: usize = 24;
/// Number of failed upstreams from which on others are tried as well, to learn early whether the
/// daemon is isolated.
const MIN_SUSPECT: usize = 3;
/// How long a daemon that is isolated itself, or failed as a relay, is left alone, in milliseconds.
const AVOID_MS: u64 = 1_000;

/// A change of whether a daemon counts as isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// No connection to any upstream can be opened now.
    Began,
    /// A connection could be opened again.
    Ended,
}

/// What a daemon knows about its network paths to upstreams: which it can't open connections to, and
/// which other daemons reach those. Times are milliseconds of the daemon's steady clock.
///
/// An upstream to which one daemon can't connect may have crashed, or this daemon may have lost its
/// path there. Only other daemons can tell: if one of them reaches the upstream, requests are sent
/// through that daemon, and the failure is not held against the upstream. This answers a load that
/// arrives at daemons that have lost some or all of their upstreams, whose callers can't be moved.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLinks {
    broken: HashMap<UpstreamId, BrokenLink>,
    /// Upstreams to which a connection could not be opened since one could be opened to any.
    failed: HashSet<UpstreamId>,
    /// When a connection to any upstream was last opened.
    opened_ms: Option<u64>,
    is_isolated: bool,
    /// Daemons that are neither queried nor used as relays, and until when.
    avoided: HashMap<SocketAddr, u64>,
}

impl UpstreamLinks {
    /// Records that a connection to an upstream was opened.
    pub fn record_opened(&mut self, id: &UpstreamId, now_ms: u64) -> Option<Isolation> {
        self.opened_ms = Some(now_ms);
        self.failed.clear();
        self.broken.remove(id);
        std::mem::take(&mut self.is_isolated).then_some(Isolation::Ended)
    }

    /// Records that a connection to an upstream could not be opened. `known` is the number of
    /// upstreams that this daemon knows.
    pub fn record_failed(
        &mut self,
        id: &UpstreamId,
        failure: LinkFailure,
        known: usize,
        now_ms: u64,
    ) -> Option<Isolation> {
        let link = self.broken.entry(id.clone()).or_default();
        link.record_failed(failure, now_ms);
        self.failed.insert(id.clone());
        let is_isolated = self.failed.len() >= known.clamp(1, MIN_FAILED);
        if self.is_isolated || !is_isolated {
            return None;
        }
        self.is_isolated = true;
        Some(Isolation::Began)
    }

    /// Returns the path by which a request is to be sent to an upstream.
    pub fn path(&self, id: &UpstreamId) -> LinkPath {
        let link = self.broken.get(id);
        if let Some(link) = link.filter(|link| !link.relays.is_empty()) {
            return LinkPath::Relayed(link.relays.clone());
        }
        if !self.is_isolated {
            return LinkPath::Direct;
        }
        let relays = self.relays();
        let is_answered = link.is_some_and(|link| link.is_answered);
        if !relays.is_empty() && !is_answered {
            return LinkPath::Relayed(relays);
        }
        match link {
            Some(link) if link.failure == LinkFailure::TimedOut => LinkPath::None,
            // An attempt that is refused takes no time, and one that succeeds ends the isolation.
            _ => LinkPath::Direct,
        }
    }

    /// Returns whether this daemon can send no request to any upstream, neither itself nor through
    /// another daemon.
    pub fn is_cut_off(&self) -> bool {
        self.is_isolated && self.relays().is_empty()
    }

    /// Returns whether no connection to any upstream can be opened.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Returns whether a connection to an upstream failed since the last one that was opened to it.
    pub fn is_broken(&self, id: &UpstreamId) -> bool {
        self.broken.contains_key(id)
    }

    /// Returns why this daemon can't connect to an upstream.
    pub fn verdict(&self, id: &UpstreamId) -> LinkVerdict {
        match self.broken.get(id) {
            Some(link) if !link.relays.is_empty() => LinkVerdict::OwnPath,
            Some(link) if link.is_answered => LinkVerdict::Upstream,
            _ => LinkVerdict::Unknown,
        }
    }

    /// Returns the number of upstreams that are reached through other daemons.
    pub fn relayed(&self) -> usize {
        let links = self.broken.values();
        links.filter(|link| !link.relays.is_empty()).count()
    }

    /// Returns the number of upstreams to which a connection could not be opened since one could be
    /// opened to any.
    pub fn failed(&self) -> usize {
        self.failed.len()
    }

    /// Returns when a connection to any upstream was last opened; `None` before the first one.
    pub fn opened_ms(&self) -> Option<u64> {
        self.opened_ms
    }

    /// Returns the upstreams that other daemons are to be queried for now, `max` at most.
    pub fn to_query(&mut self, max: usize, now_ms: u64) -> Vec<UpstreamId> {
        let due = self.broken.iter_mut();
        let due = due.filter(|(_, link)| link.is_query_due(now_ms)).take(max);
        due.map(|(id, link)| {
            link.queried_ms = Some(now_ms);
            id.clone()
        })
        .collect()
    }

    /// Returns whether a daemon may be queried or used as a relay.
    pub fn is_usable(&self, daemon: SocketAddr, now_ms: u64) -> bool {
        self.avoided
            .get(&daemon)
            .is_none_or(|until_ms| now_ms >= *until_ms)
    }

    /// Applies a daemon's answer to a query: which of the upstreams it reaches. Returns the
    /// upstreams that have their first relay by it.
    pub fn record_reached(
        &mut self,
        daemon: SocketAddr,
        queried: &[UpstreamId],
        reached: &[bool],
    ) -> Vec<UpstreamId> {
        let mut first = Vec::new();
        for (id, is_reached) in queried.iter().zip(reached) {
            let Some(link) = self.broken.get_mut(id) else {
                continue;
            };
            link.is_answered = true;
            if link.record_reached(daemon, *is_reached) {
                first.push(id.clone());
            }
        }
        first
    }

    /// Records that all other daemons were queried for upstreams. If none of them reaches an upstream,
    /// the upstream counts as lost, even if all daemons are isolated: then nothing tells whether the
    /// network was lost or all upstreams.
    pub fn record_all_queried(&mut self, queried: &[UpstreamId]) {
        for id in queried {
            if let Some(link) = self.broken.get_mut(id) {
                link.is_answered = true;
            }
        }
    }

    /// Records that a daemon answered that it is isolated itself. It is no witness of whether an upstream
    /// is alive.
    pub fn record_isolated(&mut self, daemon: SocketAddr, now_ms: u64) {
        self.record_relay_failed(daemon, now_ms);
    }

    /// Returns the queried upstreams whose links are broken and that no daemon is known to reach.
    pub fn unreached(&self, queried: &[UpstreamId]) -> Vec<UpstreamId> {
        let is_unreached = |id: &&UpstreamId| {
            let link = self.broken.get(*id);
            link.is_some_and(|link| link.relays.is_empty())
        };
        queried.iter().filter(is_unreached).cloned().collect()
    }

    /// Records that a daemon did not answer, or did not pass on a request.
    pub fn record_relay_failed(&mut self, daemon: SocketAddr, now_ms: u64) {
        for link in self.broken.values_mut() {
            link.relays.retain(|relay| *relay != daemon);
        }
        self.avoid(daemon, now_ms);
    }

    fn avoid(&mut self, daemon: SocketAddr, now_ms: u64) {
        self.avoided.retain(|_, until_ms| now_ms < *until_ms);
        self.avoided.insert(daemon, now_ms + AVOID_MS);
    }

    /// Returns the upstreams to which this daemon is to try to connect now, `max` at most: those whose
    /// links are broken, and some of `known` while all that were tried failed.
    pub fn to_probe<'a>(
        &mut self,
        known: impl Iterator<Item = &'a UpstreamId>,
        max: usize,
        now_ms: u64,
    ) -> Vec<UpstreamId> {
        let mut probed = Vec::new();
        let due = self.broken.iter_mut();
        let due = due.filter(|(_, link)| link.is_probe_due(now_ms));
        for (id, link) in due.take(max) {
            link.record_probed(now_ms);
            probed.push(id.clone());
        }
        let is_suspect = self.is_isolated || self.failed.len() >= MIN_SUSPECT;
        let untried = known.filter(|id| is_suspect && !self.failed.contains(*id));
        let untried = untried.filter(|id| !self.broken.contains_key(*id));
        probed.extend(untried.take(max - probed.len()).cloned());
        probed
    }

    /// Returns whether there is nothing to query or to probe.
    pub fn is_sound(&self) -> bool {
        self.broken.is_empty()
    }

    /// Removes upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.broken.retain(|id, _| is_known(id));
        self.failed.retain(|id| is_known(id));
        self.is_isolated &= !self.failed.is_empty();
    }

    /// Returns the daemons that reach any upstream to which this one has lost its link.
    pub fn relays(&self) -> Vec<SocketAddr> {
        let links = self.broken.values();
        let relays: BTreeSet<SocketAddr> = links.flat_map(|l| &l.relays).copied().collect();
        relays.into_iter().collect()
    }
}

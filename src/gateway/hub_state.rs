use {
    super::Gateway,
    crate::{
        cluster::*,
        names::{FailureDomain, ServiceName, UpstreamId},
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::net::UdpSocket,
};

/// Number of datagrams that were not sent because they were too large.
pub const TOO_LARGE_DATAGRAMS: &str = "saddlepulley_datagrams_too_large_total";

/// A hub watches the holder of the duties if fewer live hubs than this rank ahead of it. A few
/// are enough to take over at once, and each costs calls to the platform.
const DUTY_WATCHERS: usize = 4;

/// The role of this daemon among the others: whether it is a hub, and what it announces.
impl Gateway {
    /// Sets the socket through which datagrams are sent.
    pub fn set_datagram_socket(&self, socket: Arc<UdpSocket>) {
        // The socket is set only once, when the daemon starts.
        let _ = self.datagrams.set(socket);
    }

    /// Sends a datagram. It may be lost, so what must arrive is announced repeatedly.
    pub async fn send_datagram(&self, datagram: &Datagram, to: SocketAddr) {
        let encode = |version| datagram.encode_for(version);
        self.send_encoded(datagram.into(), encode, to).await;
    }

    /// Sends a datagram with its extensions, in the message version that the other daemon
    /// uses.
    pub async fn send_packet(&self, packet: &Packet, to: SocketAddr) {
        let encode = |version| packet.encode_for(version);
        self.send_encoded((&packet.datagram).into(), encode, to)
            .await;
    }

    async fn send_encoded(
        &self,
        kind: ControlKind,
        encode_for: impl Fn(u8) -> Result<Option<Vec<u8>>, DatagramError>,
        to: SocketAddr,
    ) {
        let Some(socket) = self.datagrams.get() else {
            return;
        };
        let versions = self.peer_versions.lock().for_daemon(to, self.steady_ms());
        for version in versions {
            match encode_for(*version) {
                Ok(Some(bytes)) => {
                    self.control.record(kind, bytes.len());
                    // A failed send is treated as a lost datagram.
                    let _ = socket.send_to(&bytes, to).await;
                }
                Ok(None) => {}
                Err(e) => {
                    metrics::counter!(TOO_LARGE_DATAGRAMS).increment(1);
                    log::warn!(target: "peers", "datagram not sent. to={to} error=\"{e}\"");
                }
            }
        }
    }

    /// Returns the sequence number of the next message to other daemons.
    pub fn next_sequence(&self) -> u64 {
        self.last_sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether this daemon is a hub: it decides on its own requests and on those of its
    /// dependents.
    pub fn is_hub(&self) -> bool {
        self.peers.lock().is_hub()
    }

    /// Returns the addresses at which the other hubs receive datagrams.
    pub fn other_hubs(&self) -> BTreeSet<SocketAddr> {
        let mut hubs = self.peers.lock().hub_addresses();
        hubs.remove(&self.settings.listen.peers);
        hubs
    }

    /// Returns the hubs and the members to which this daemon announces changes first. For a
    /// hub these are all other hubs and the other daemons of its failure domain; for another
    /// daemon, the hubs of its failure domain and no members.
    pub fn hubs_and_members(&self) -> (BTreeSet<SocketAddr>, BTreeSet<SocketAddr>) {
        let is_hub = self.is_hub();
        let peers = self.peers.lock();
        let (mut hubs, mut members) = match is_hub {
            true => (peers.hub_addresses(), peers.own_members()),
            false => (peers.own_hubs().into_iter().collect(), BTreeSet::new()),
        };
        drop(peers);
        hubs.remove(&self.settings.listen.peers);
        members.retain(|member| !hubs.contains(member));
        (hubs, members)
    }

    /// Advances the time in the tables of members and peers. Returns whether this daemon is a
    /// hub.
    pub fn tick_peers(&self) -> bool {
        let now_ms = self.steady_ms();
        let dependents = {
            let mut members = self.members.lock();
            members.tick(now_ms);
            members.dependents()
        };
        let mut peers = self.peers.lock();
        peers.tick(dependents, now_ms);
        let is_hub = peers.is_hub();
        drop(peers);
        let mut since = self.hub_since_ms.lock();
        if is_hub != since.is_some() {
            log::info!(target: "hubs", "role changed. is_hub={is_hub}");
            *since = is_hub.then_some(now_ms);
        }
        is_hub
    }

    /// Returns whether this daemon watches the holder of the duties, so that it can take over
    /// from it.
    pub fn watches_duties(&self) -> bool {
        *self.reads_source.borrow() && self.peers.lock().hubs_ahead() < DUTY_WATCHERS
    }

    /// Returns for how long this daemon has been a hub, in milliseconds; 0 if it is no hub.
    pub fn hub_age_ms(&self) -> u64 {
        let since_ms = *self.hub_since_ms.lock();
        since_ms.map_or(0, |since| self.steady_ms().saturating_sub(since))
    }

    /// Returns the state of this daemon as it announces it.
    pub fn status(&self) -> DaemonStatus {
        DaemonStatus {
            config_version: self.config_version(),
            source_age_ms: self.source_age_ms().unwrap_or(u64::MAX),
            cut_from_source: self.is_cut_from_source(),
            is_leaving: self.is_stopping(),
            is_hub: self.is_hub(),
            holds_duties: self.holds_duties.load(Ordering::Relaxed),
        }
    }

    /// Returns a sample of known daemons for a daemon of the given failure domain.
    pub fn sample_daemons(&self, domain: &str) -> Vec<DaemonEntry> {
        let mut rng = self.rng.lock().clone();
        let sample = self.peers.lock().sample_daemons_for(domain, &mut rng);
        *self.rng.lock() = rng;
        sample
    }

    /// Brings the quotas up to date and returns their state to announce.
    pub fn tick_quotas(&self) -> Vec<AnnouncedAccount> {
        let (accounts, daemons) = (self.account_terms(), self.daemons());
        let others = self.peers.lock().quota_daemons();
        let mut quotas = self.quotas.lock();
        let notices = quotas.tick(&accounts, &others, daemons, self.steady_ms());
        notices.iter().map(AnnouncedAccount::of).collect()
    }

    /// Returns the state of the quotas as it was announced last.
    pub fn announced_quotas(&self) -> Vec<AnnouncedAccount> {
        let quotas = self.quotas.lock();
        quotas
            .last_notices()
            .iter()
            .map(AnnouncedAccount::of)
            .collect()
    }

    /// Returns the requests and waiting tokens of this daemon at upstreams.
    pub fn own_loads(&self) -> LoadSums {
        let loads = self.loads.lock();
        let busy = loads.iter().filter(|(_, load)| load.active > 0);
        let sums = busy.map(|(id, l)| (id.clone(), (l.active, l.waiting_tokens)));
        sums.collect()
    }

    /// Returns the requests and waiting tokens of this daemon and its dependents at upstreams.
    pub fn loads_with_dependents(&self) -> LoadSums {
        let mut sums = self.own_loads();
        let members = self.members.lock();
        members.each_load(|id, active, tokens| add_load(&mut sums, id, active, tokens));
        drop(members);
        sums
    }

    /// Returns the requests and waiting tokens of all daemons at upstreams, as far as they are
    /// known.
    pub fn all_loads(&self) -> LoadSums {
        let mut sums = self.loads_with_dependents();
        let peers = self.peers.lock();
        peers.each_load(|id, active, tokens| add_load(&mut sums, id, active, tokens));
        drop(peers);
        sums
    }

    /// Returns the average age of the loads by which this daemon places requests, in
    /// milliseconds: those of its dependents and of other hubs.
    pub fn loads_age_ms(&self) -> u64 {
        let (members, members_ms) = self.members.lock().loads_ages(self.steady_ms());
        let (hubs, hubs_ms) = self.peers.lock().loads_ages();
        (members_ms + hubs_ms) / (members + hubs).max(1)
    }

    /// Admits and places a request for another daemon.
    pub async fn decide_query(&self, query: &AdmissionQuery, terms: QueryTerms) -> HubDecision {
        let urgency = terms.urgency;
        let Some(table) = self.table() else {
            return HubDecision::Unknown;
        };
        let service = query.placement.service.as_str().into();
        if table.find_service(&service).is_none() {
            return HubDecision::Unknown;
        }
        let domain = self.domain().clone();
        let Some(quota) = &query.quota else {
            return self.place_queried(query, terms, service, domain).await;
        };
        let mut accounts = table.config().accounts.iter();
        let Some(account) = accounts.find(|a| a.name.as_str() == quota.account) else {
            return HubDecision::Unknown;
        };
        let max_wait = Duration::from_millis(u64::from(quota.max_wait_ms));
        if let Err(wait) = self.admit(account, quota.cost, urgency, max_wait).await {
            self.log_refusal(account, quota.cost, urgency, wait, &query.request);
            return HubDecision::Refused {
                wait_ms: wait.as_millis() as u64,
            };
        }
        let decision = self.place_queried(query, terms, service, domain).await;
        if let HubDecision::NoRoom { .. } = decision {
            self.give_back(account, quota.cost, urgency);
        }
        decision
    }

    /// Places a request of another daemon, and records its prompt as cached at the chosen
    /// upstream.
    pub async fn place_queried(
        &self,
        query: &AdmissionQuery,
        terms: QueryTerms,
        service: ServiceName,
        domain: FailureDomain,
    ) -> HubDecision {
        let typed = |names: &[String]| -> Vec<UpstreamId> {
            names.iter().map(|n| UpstreamId::from(n.as_str())).collect()
        };
        let mut request = super::PlacementRequest {
            service,
            target_ms: query.placement.target_ms as f64,
            prompt: super::Prompt::from_query(&query.placement),
            tried: typed(&query.placement.tried),
            avoided: typed(&query.placement.avoided),
            in_cooldown: Vec::new(),
            domain,
            isolation_key: query.placement.isolation_key,
            urgency: terms.urgency,
            version: terms.version,
            is_counted: false,
        };
        let account = query.quota.as_ref().map(|q| q.account.as_str());
        let place = match self.wait_for_room(&request, account, &query.request).await {
            Ok(place) => place,
            Err(retry_after) => {
                return HubDecision::NoRoom {
                    wait_ms: retry_after.as_millis() as u64,
                };
            }
        };
        request.is_counted = place.is_some();
        let Some(placement) = self.choose_permitted(&request, &query.request).await else {
            return HubDecision::NoUpstream;
        };
        self.record_cached(&request.prompt, &placement.upstream);
        HubDecision::Placed {
            upstream: placement.upstream.id.to_string(),
            unread_tokens: placement.unread_tokens,
            waiting_tokens: placement.waiting_tokens,
        }
    }

    /// Records an event of a request for the next report to the hubs. A hub records none.
    pub(super) fn record_event(&self, event: impl FnOnce() -> MemberEvent) {
        if !self.is_hub() {
            self.events.lock().record(event());
            self.report_early.notify_one();
        }
    }
}

use {
    crate::{
        clock::BootInstant,
        cluster::{
            AdmissionQuery, Answer, Datagram, HubDecision, OpenQueries, Packet, PlacementQuery,
            QueryTerms, QuotaQuery, RequestUrgency,
        },
        gateway::Gateway,
        names::UpstreamVersion,
        policy::HubContact,
    },
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::sync::mpsc,
};

/// How many hubs are queried before a daemon decides by itself.
const MAX_QUERIED_HUBS: usize = 2;
/// How many times a query is sent to each hub, since a datagram may be lost.
const ATTEMPTS_PER_HUB: u32 = 2;
/// The time beyond the request's longest hold for which the answer to a held request is awaited.
/// The hub may have to request a permit from another daemon, for which
/// [`IssuerClient`](crate::cluster::IssuerClient) waits at most this long.
const HOLD_GRACE: Duration = Duration::from_millis(200);

/// Interval at which the query of a held request is repeated. A hub that still holds the request
/// answers so again, or repeats a decision whose answer was lost; one that has ended or restarted
/// does not.
const HELD_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of consecutive unanswered repetitions after which the hub of a held request counts as
/// silent. It is more than one since a datagram may be lost, and a query to another hub gives up the
/// place in the queue.
const MAX_MISSED_PROBES: u32 = 3;

/// Sends this daemon's admission queries to the hubs of its failure domain.
#[derive(Debug, Default)]
pub struct HubClient {
    state: Mutex<ClientState>,
}

#[derive(Debug, Default)]
struct ClientState {
    queries: OpenQueries,
    waiting: HashMap<u64, mpsc::UnboundedSender<ReceivedDecision>>,
    hubs: HashMap<SocketAddr, HubContact>,
}

/// A hub's decision as received by the daemon that sent the query.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDecision {
    /// The hub's decision.
    pub decision: HubDecision,
    /// True if the placement has a permit, in case its upstream names a rate limit. Hubs of earlier
    /// builds don't know of permits.
    pub has_permit: bool,
}

/// A query that is open until its request is counted in this daemon's loads, or over.
#[derive(Debug)]
struct OpenQuery<'a> {
    client: &'a HubClient,
    id: u64,
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        let mut state = self.client.state.lock();
        state.queries.close(self.id);
        state.waiting.remove(&self.id);
    }
}

impl HubClient {
    /// Queries the hubs to admit and place a request. None if no hub answers in time.
    pub async fn query(
        &self,
        gateway: &Gateway,
        request: &str,
        quota: Option<QuotaQuery>,
        placement: PlacementQuery,
        urgency: RequestUrgency,
        version: Option<UpstreamVersion>,
    ) -> Option<ReceivedDecision> {
        let hubs = self.hubs_to_query(gateway);
        let (open, mut answers) = self.open();
        let query = AdmissionQuery {
            name: gateway.settings.node.name.to_string(),
            incarnation: gateway.incarnation,
            id: open.id,
            request: request.to_string(),
            quota,
            placement,
        };
        let max_wait_ms = query.quota.as_ref().map_or(0, |q| q.max_wait_ms);
        let mut hold = Duration::from_millis(u64::from(max_wait_ms)) + HOLD_GRACE;
        if gateway.settings.mechanisms.room_queue {
            hold += Duration::from_millis(u64::from(urgency.time_left_ms));
        }
        let query = Packet::from(Datagram::AdmissionQuery(query));
        let began_at = BootInstant::now();
        for hub in hubs {
            let hold = hold.saturating_sub(began_at.elapsed());
            let terms = QueryTerms {
                urgency: Some(urgency.after(began_at.elapsed())),
                version: version.clone(),
            };
            let mut packet = query.clone();
            packet.extensions = terms.to_extensions();
            self.state.lock().queries.resume(open.id);
            match self.query_hub(gateway, hub, &packet, &mut answers).await {
                // The hub answers later.
                Some(received) if received.decision == HubDecision::Held => {
                    let decided = self.wait_held(gateway, hub, &packet, hold, &mut answers);
                    if let Some(received) = decided.await {
                        return Some(received);
                    }
                }
                Some(received) => return Some(received),
                None => self.record_silent(hub, gateway),
            }
        }
        None
    }

    /// Queries one hub, repeatedly if it does not answer. Returns its first answer.
    async fn query_hub(
        &self,
        gateway: &Gateway,
        hub: SocketAddr,
        query: &Packet,
        answers: &mut mpsc::UnboundedReceiver<ReceivedDecision>,
    ) -> Option<ReceivedDecision> {
        for attempt in 1..=ATTEMPTS_PER_HUB {
            let sent_at = BootInstant::now();
            gateway.send_packet(query, hub).await;
            let wait = self.timeout(hub) * attempt;
            if let Ok(Some(received)) = tokio::time::timeout(wait, answers.recv()).await {
                // The response time is known only if the query was sent once.
                self.record_answer(hub, (attempt == 1).then(|| sent_at.elapsed()));
                return Some(received);
            }
        }
        None
    }

    /// Waits until a hub has decided on a held request, and repeats the query meanwhile. Returns none
    /// if the hub stops answering, or has not decided within `hold`.
    async fn wait_held(
        &self,
        gateway: &Gateway,
        hub: SocketAddr,
        query: &Packet,
        hold: Duration,
        answers: &mut mpsc::UnboundedReceiver<ReceivedDecision>,
    ) -> Option<ReceivedDecision> {
        if !gateway.settings.mechanisms.room_queue {
            return decided_within(hold, answers).await;
        }
        let held_at = BootInstant::now();
        let mut missed_probes = 0;
        loop {
            let left = hold.saturating_sub(held_at.elapsed());
            if left.is_zero() {
                return None;
            }
            let pause = left.min(HELD_PROBE_INTERVAL);
            if let Some(received) = decided_within(pause, answers).await {
                return Some(received);
            }
            match self.query_hub(gateway, hub, query, answers).await {
                Some(received) if received.decision == HubDecision::Held => missed_probes = 0,
                Some(received) => return Some(received),
                None => missed_probes += 1,
            }
            if missed_probes >= MAX_MISSED_PROBES {
                self.record_silent(hub, gateway);
                return None;
            }
        }
    }

    fn open(&self) -> (OpenQuery<'_>, mpsc::UnboundedReceiver<ReceivedDecision>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut state = self.state.lock();
        let id = state.queries.open();
        state.waiting.insert(id, tx);
        drop(state);
        (OpenQuery { client: self, id }, rx)
    }

    fn hubs_to_query(&self, gateway: &Gateway) -> Vec<SocketAddr> {
        let hubs = gateway.peers.lock().own_hubs();
        let now_ms = gateway.steady_ms();
        let state = self.state.lock();
        let is_avoided = |hub: &SocketAddr| {
            let contact = state.hubs.get(hub);
            contact.is_some_and(|c| c.is_avoided(now_ms))
        };
        let usable = hubs.into_iter().filter(|hub| !is_avoided(hub));
        usable.take(MAX_QUERIED_HUBS).collect()
    }

    /// Returns the hub that the next admission query goes to, or none if no hub is usable.
    pub fn next_hub(&self, gateway: &Gateway) -> Option<SocketAddr> {
        self.hubs_to_query(gateway).first().copied()
    }

    /// Returns the id up to which the requests of all queries are counted in this daemon's loads,
    /// or over.
    pub fn counted_up_to(&self) -> u64 {
        self.state.lock().queries.counted_up_to()
    }

    /// Applies a hub's answer.
    pub fn apply(&self, answer: Answer, has_permit: bool) {
        let mut state = self.state.lock();
        let ClientState {
            queries, waiting, ..
        } = &mut *state;
        if let Some(tx) = waiting.get(&answer.id) {
            let decision = answer.decision;
            match decision {
                HubDecision::Held => queries.hold(answer.id),
                _ => queries.resume(answer.id),
            }
            // If the receiver no longer waits, this daemon has already decided without this answer.
            let _ = tx.send(ReceivedDecision {
                decision,
                has_permit,
            });
        }
    }

    /// Records that a datagram from a hub arrived.
    pub fn record_contact(&self, hub: SocketAddr) {
        if let Some(contact) = self.state.lock().hubs.get_mut(&hub) {
            contact.record_contact();
        }
    }

    fn record_answer(&self, hub: SocketAddr, after: Option<Duration>) {
        let mut state = self.state.lock();
        let contact = state.hubs.entry(hub).or_default();
        match after {
            Some(after) => contact.record_answer(after.as_secs_f64() * 1_000.0),
            None => contact.record_contact(),
        }
    }

    fn record_silent(&self, hub: SocketAddr, gateway: &Gateway) {
        log::info!(target: "hubs", "hub did not answer in time. hub={hub}");
        metrics::counter!(SILENT_HUBS).increment(1);
        let mut state = self.state.lock();
        let contact = state.hubs.entry(hub).or_default();
        contact.record_silent(gateway.steady_ms());
    }

    fn timeout(&self, hub: SocketAddr) -> Duration {
        let state = self.state.lock();
        let contact = state.hubs.get(&hub).copied().unwrap_or_default();
        Duration::from_secs_f64(contact.timeout_ms() / 1_000.0)
    }
}

/// Waits for a decision other than [`HubDecision::Held`]. A hub that got the query twice may answer
/// twice that it holds the request.
async fn decided_within(
    hold: Duration,
    answers: &mut mpsc::UnboundedReceiver<ReceivedDecision>,
) -> Option<ReceivedDecision> {
    let decided = async {
        loop {
            let received = answers.recv().await?;
            if received.decision != HubDecision::Held {
                return Some(received);
            }
        }
    };
    // After a timeout the caller queries another hub.
    tokio::time::timeout(hold, decided).await.ok().flatten()
}

/// Counts admission queries that a hub did not answer in time.
pub const SILENT_HUBS: &str = "saddlepulley_silent_hubs_total";

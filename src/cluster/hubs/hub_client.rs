use {
    crate::{
        clock::BootInstant,
        cluster::{AdmissionQuery, Answer, Datagram, HubDecision, PlacementQuery, QuotaQuery},
        gateway::Gateway,
        policy::HubContact,
    },
    parking_lot::Mutex,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// How many hubs are asked before a daemon decides for itself.
const ASKED_HUBS: usize = 2;
/// How often each is asked: a datagram may be lost.
const ASKED_TIMES: u32 = 2;
/// How much longer than its hold an answer may take that a hub holds back: it may have to
/// ask others for a permit, for as long as [`PermitClient`](crate::cluster::PermitDesk) waits at most.
const HOLD_GRACE: Duration = Duration::from_millis(200);

/// Sends this daemon's admission queries to the hubs of its failure domain.
#[derive(Debug, Default)]
pub struct HubClient {
    state: Mutex<ClientState>,
}

#[derive(Debug, Default)]
struct ClientState {
    last_id: u64,
    /// Questions whose requests are not counted at an upstream yet.
    open: BTreeSet<u64>,
    waiting: HashMap<u64, mpsc::UnboundedSender<ReceivedDecision>>,
    hubs: HashMap<SocketAddr, HubContact>,
}

/// A hub's decision as received by the daemon that sent the query.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDecision {
    /// What is to be done.
    pub decision: HubDecision,
    /// Whether the placement has a permit, where its upstream names a limit: hubs of earlier
    /// builds know of none.
    pub has_permit: bool,
}

/// A question that is open until its request is counted, or over.
#[derive(Debug)]
struct OpenQuery<'a> {
    client: &'a HubClient,
    id: u64,
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        let mut state = self.client.state.lock();
        state.open.remove(&self.id);
        state.waiting.remove(&self.id);
    }
}

impl HubClient {
    /// Asks the hubs whether a request may be let in and where it shall run;
    /// none if none of them answers in time.
    pub async fn query(
        &self,
        gateway: &Gateway,
        request: &str,
        quota: Option<QuotaQuery>,
        place: PlacementQuery,
    ) -> Option<ReceivedDecision> {
        let hubs = self.hubs_to_query(gateway);
        let (open, mut answers) = self.open();
        let query = AdmissionQuery {
            name: gateway.settings.node.name.to_string(),
            incarnation: gateway.incarnation,
            id: open.id,
            request: request.to_string(),
            quota,
            place,
        };
        let max_wait_ms = query.quota.as_ref().map_or(0, |q| q.max_wait_ms);
        let hold = Duration::from_millis(u64::from(max_wait_ms)) + HOLD_GRACE;
        let datagram = Datagram::AdmissionQuery(query);
        for hub in hubs {
            match self.query_hub(gateway, hub, &datagram, &mut answers).await {
                // It said that it would answer later.
                Some(heard) if heard.decision == HubDecision::Held => {
                    if let Some(heard) = decided_within(hold, &mut answers).await {
                        return Some(heard);
                    }
                }
                Some(heard) => return Some(heard),
                None => self.record_silent(hub, gateway),
            }
        }
        None
    }

    /// Asks one hub, some times if it doesn't answer; returns its first answer.
    async fn query_hub(
        &self,
        gateway: &Gateway,
        hub: SocketAddr,
        query: &Datagram,
        answers: &mut mpsc::UnboundedReceiver<ReceivedDecision>,
    ) -> Option<ReceivedDecision> {
        for time in 1..=ASKED_TIMES {
            let asked_at = BootInstant::now();
            gateway.send_datagram(query, hub).await;
            let wait = self.timeout(hub) * time;
            if let Ok(Some(heard)) = tokio::time::timeout(wait, answers.recv()).await {
                // The time to an answer is known only if it was asked once.
                self.record_answer(hub, (time == 1).then(|| asked_at.elapsed()));
                return Some(heard);
            }
        }
        None
    }

    fn open(&self) -> (OpenQuery<'_>, mpsc::UnboundedReceiver<ReceivedDecision>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut state = self.state.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.open.insert(id);
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
        usable.take(ASKED_HUBS).collect()
    }

    /// Returns the hub through which requests are let in now.
    pub fn leans_on(&self, gateway: &Gateway) -> Option<SocketAddr> {
        self.hubs_to_query(gateway).first().copied()
    }

    /// Returns up to which number all questions are counted in at upstreams, or
    /// over.
    pub fn counted(&self) -> u64 {
        let state = self.state.lock();
        let first_open = state.open.first().copied();
        first_open.map_or(state.last_id, |id| id - 1)
    }

    /// Takes in a hub's answer.
    pub fn apply(&self, answer: Answer, has_permit: bool) {
        let state = self.state.lock();
        if let Some(tx) = state.waiting.get(&answer.id) {
            let decision = answer.decision;
            // One that no longer waits has decided otherwise.
            let _ = tx.send(ReceivedDecision {
                decision,
                has_permit,
            });
        }
    }

    /// Notes that a hub was heard from.
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
        log::info!(target: "hubs", "a hub does not answer. hub={hub}");
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

/// Waits for an answer that decides. A hub that was asked twice may say twice that
/// it holds the request.
async fn decided_within(
    hold: Duration,
    answers: &mut mpsc::UnboundedReceiver<ReceivedDecision>,
) -> Option<ReceivedDecision> {
    let decided = async {
        loop {
            let heard = answers.recv().await?;
            if heard.decision != HubDecision::Held {
                return Some(heard);
            }
        }
    };
    // In vain: another hub is asked.
    tokio::time::timeout(hold, decided).await.ok().flatten()
}

/// Counts hubs that did not answer a question in time.
pub const SILENT_HUBS: &str = "saddlepulley_silent_hubs_total";

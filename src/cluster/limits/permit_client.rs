use {
    crate::{
        clock::BootInstant,
        cluster::{AnnouncedLimit, Extension, PermitAnswer, PermitQuery},
        gateway::Gateway,
        policy::HubContact,
    },
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::sync::oneshot,
};

/// How many times an answer of a hub usually takes one for a permit is waited for: it may
/// stand in another failure domain, and may have to ask once more itself.
const PATIENCE_FACTOR: f64 = 2.0;

/// Sends this daemon's queries for permits for upstreams that name a limit.
#[derive(Debug, Default)]
pub struct PermitClient {
    state: Mutex<ClientState>,
}

#[derive(Debug, Default)]
struct ClientState {
    last_id: u64,
    waiting: HashMap<u64, oneshot::Sender<PermitAnswer>>,
    daemons: HashMap<SocketAddr, HubContact>,
}

/// A question that is open.
#[derive(Debug)]
struct OpenQuery<'a> {
    client: &'a PermitClient,
    id: u64,
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        self.client.state.lock().waiting.remove(&self.id);
    }
}

impl PermitClient {
    /// Asks the daemon that issues permits for one; none if it doesn't answer in time,
    /// or did not lately.
    pub async fn query(
        &self,
        gateway: &Gateway,
        issuer: SocketAddr,
        limit: AnnouncedLimit,
        is_forwarded: bool,
    ) -> Option<PermitAnswer> {
        let (open, answer, max_wait) = self.open(issuer, gateway.steady_ms())?;
        let asked_at = BootInstant::now();
        let query = Extension::PermitQuery(PermitQuery {
            incarnation: gateway.incarnation,
            id: open.id,
            is_forwarded,
            limit,
        });
        gateway.send_packet(&query.into(), issuer).await;
        let answer = tokio::time::timeout(max_wait, answer).await;
        let answer = answer.ok().and_then(Result::ok);
        let mut state = self.state.lock();
        let contact = state.daemons.entry(issuer).or_default();
        match answer {
            Some(_) => contact.record_answer(asked_at.elapsed().as_secs_f64() * 1_000.0),
            None => {
                contact.record_silent(gateway.steady_ms());
                log::info!(target: "limit", "no answer for a permit. daemon={issuer}");
            }
        }
        answer
    }

    fn open(
        &self,
        issuer: SocketAddr,
        now_ms: u64,
    ) -> Option<(OpenQuery<'_>, oneshot::Receiver<PermitAnswer>, Duration)> {
        let mut state = self.state.lock();
        let contact = state.daemons.get(&issuer).copied().unwrap_or_default();
        if contact.is_avoided(now_ms) {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        state.last_id += 1;
        let id = state.last_id;
        state.waiting.insert(id, tx);
        let max_wait_ms = contact.timeout_ms() * PATIENCE_FACTOR;
        let max_wait = Duration::from_secs_f64(max_wait_ms / 1_000.0);
        Some((OpenQuery { client: self, id }, rx, max_wait))
    }

    /// Takes in an answer.
    pub fn apply(&self, answer: PermitAnswer) {
        let waiting = self.state.lock().waiting.remove(&answer.id);
        if let Some(tx) = waiting {
            // One that no longer waits has sent its request elsewhere.
            let _ = tx.send(answer);
        }
    }

    /// Forgets daemons that are not there any more.
    pub fn retain(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let mut state = self.state.lock();
        state.daemons.retain(|address, _| is_known(address));
    }
}

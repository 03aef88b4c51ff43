use {
    crate::{clock::BootInstant, cluster::Extension, gateway::Gateway, policy::HubContact},
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::sync::oneshot,
};

/// The maximum wait for an answer, as a multiple of the usual timeout of a query to a hub. The
/// issuer may be in another failure domain, and may have to forward the query once.
const MAX_WAIT_FACTOR: f64 = 2.0;

/// Sends this daemon's queries to the daemons that issue permits, or slots, of upstreams. `A` is the
/// answer.
#[derive(Debug)]
pub struct IssuerClient<A> {
    state: Mutex<ClientState<A>>,
}

#[derive(Debug)]
struct ClientState<A> {
    last_id: u64,
    waiting: HashMap<u64, oneshot::Sender<A>>,
    daemons: HashMap<SocketAddr, HubContact>,
}

impl<A> Default for IssuerClient<A> {
    fn default() -> Self {
        Self {
            state: Mutex::new(ClientState {
                last_id: 0,
                waiting: HashMap::new(),
                daemons: HashMap::new(),
            }),
        }
    }
}

/// A query that waits for its answer. Dropping it removes it from the client.
#[derive(Debug)]
struct OpenQuery<'a, A> {
    client: &'a IssuerClient<A>,
    id: u64,
}

impl<A> Drop for OpenQuery<'_, A> {
    fn drop(&mut self) {
        self.client.state.lock().waiting.remove(&self.id);
    }
}

impl<A> IssuerClient<A> {
    /// Sends a query to an issuer. `make_query` makes the query with a given number. Returns none if the
    /// issuer doesn't answer in time, or is avoided because it recently failed to answer.
    pub async fn query(
        &self,
        gateway: &Gateway,
        issuer: SocketAddr,
        make_query: impl FnOnce(u64) -> Extension,
    ) -> Option<A> {
        let (open, answer, max_wait) = self.open(issuer, gateway.steady_ms())?;
        let sent_at = BootInstant::now();
        let query = make_query(open.id);
        gateway.send_packet(&query.into(), issuer).await;
        let answer = tokio::time::timeout(max_wait, answer).await;
        let answer = answer.ok().and_then(Result::ok);
        let mut state = self.state.lock();
        let contact = state.daemons.entry(issuer).or_default();
        match answer {
            Some(_) => contact.record_answer(sent_at.elapsed().as_secs_f64() * 1_000.0),
            None => {
                contact.record_silent(gateway.steady_ms());
                log::info!(target: "limit", "query to an issuer timed out. daemon={issuer}");
            }
        }
        answer
    }

    fn open(
        &self,
        issuer: SocketAddr,
        now_ms: u64,
    ) -> Option<(OpenQuery<'_, A>, oneshot::Receiver<A>, Duration)> {
        let mut state = self.state.lock();
        let contact = state.daemons.get(&issuer).copied().unwrap_or_default();
        if contact.is_avoided(now_ms) {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        state.last_id += 1;
        let id = state.last_id;
        state.waiting.insert(id, tx);
        let max_wait_ms = contact.timeout_ms() * MAX_WAIT_FACTOR;
        let max_wait = Duration::from_secs_f64(max_wait_ms / 1_000.0);
        Some((OpenQuery { client: self, id }, rx, max_wait))
    }

    /// Passes an answer to the query that waits for it.
    pub fn apply(&self, id: u64, answer: A) {
        let waiting = self.state.lock().waiting.remove(&id);
        if let Some(tx) = waiting {
            // The receiver may be gone: its query timed out, and the request went elsewhere.
            let _ = tx.send(answer);
        }
    }

    /// Removes the contact state of daemons that are no longer known.
    pub fn retain(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let mut state = self.state.lock();
        state.daemons.retain(|address, _| is_known(address));
    }
}

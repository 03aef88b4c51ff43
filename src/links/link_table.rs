use {
    crate::{names::*, peer::*},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
};

/// The links of this box, and when each peer was heard last.
pub struct LinkTable {
    tls: Option<Arc<PeerTls>>,
    local_ip: IpAddr,
    silence_ms: u64,
    clients: Mutex<HashMap<SocketAddr, Arc<PeerClient>>>,
    heard: Mutex<HashMap<BoxId, Heard>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    at_ms: u64,
    /// Calls that failed since then.
    failures: u32,
}

impl LinkTable {
    /// Makes an empty table; connections leave from `local_ip`.
    pub fn new(tls: Option<Arc<PeerTls>>, local_ip: IpAddr, silence_ms: u64) -> Self {
        Self {
            tls,
            local_ip,
            silence_ms,
            clients: Mutex::default(),
            heard: Mutex::default(),
        }
    }

    /// Returns the client for an address.
    pub fn client(&self, addr: SocketAddr) -> Arc<PeerClient> {
        let mut clients = self.clients.lock();
        clients
            .entry(addr)
            .or_insert_with(|| Arc::new(PeerClient::new(addr, self.local_ip, self.tls.clone())))
            .clone()
    }

    /// Forgets clients of addresses that no box has any more.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.lock().retain(|addr, _| keep(addr));
    }

    /// Notes a sign of life.
    pub fn heard(&self, id: &BoxId) {
        let heard = Heard {
            at_ms: now_ms(),
            failures: 0,
        };
        self.heard.lock().insert(id.clone(), heard);
    }

    /// Notes a call that failed.
    pub fn failed(&self, id: &BoxId) {
        self.heard.lock().entry(id.clone()).or_default().failures += 1;
    }

    /// Returns whether calls to a peer failed for longer than the allowed silence.
    pub fn is_silent(&self, id: &BoxId) -> bool {
        let heard = self.heard.lock();
        let Some(h) = heard.get(id) else { return false };
        h.failures > 0 && now_ms().saturating_sub(h.at_ms) > self.silence_ms
    }

    /// Returns whether a peer gave a sign of life in the last milliseconds.
    pub fn seen_within(&self, id: &BoxId, ms: u64) -> bool {
        let heard = self.heard.lock();
        heard
            .get(id)
            .is_some_and(|h| now_ms().saturating_sub(h.at_ms) < ms)
    }

    /// Returns whether the last call to a peer failed.
    pub fn is_failing(&self, id: &BoxId) -> bool {
        self.heard.lock().get(id).is_some_and(|h| h.failures > 0)
    }
}

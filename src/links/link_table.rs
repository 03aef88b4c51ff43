use {
    crate::{names::*, peer::*},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
};

/// The clients for the other daemons, and the time of the last contact with each of them.
pub struct LinkTable {
    tls: Option<Arc<PeerTls>>,
    local_ip: IpAddr,
    /// How long calls to a peer may fail before it counts as silent, in milliseconds.
    silence_ms: u64,
    clients: Mutex<HashMap<SocketAddr, Arc<PeerClient>>>,
    contacts: Mutex<HashMap<BoxId, Contact>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Time of the last contact, in Unix milliseconds; 0 if there was none.
    last_seen_ms: u64,
    /// Number of calls that failed since the last contact.
    failures: u32,
}

impl LinkTable {
    /// Creates an empty table; connections leave from `local_ip`.
    pub fn new(tls: Option<Arc<PeerTls>>, local_ip: IpAddr, silence_ms: u64) -> Self {
        Self {
            tls,
            local_ip,
            silence_ms,
            clients: Mutex::default(),
            contacts: Mutex::default(),
        }
    }

    /// Returns the client for an address; creates it at the first use.
    pub fn client(&self, addr: SocketAddr) -> Arc<PeerClient> {
        let mut clients = self.clients.lock();
        clients
            .entry(addr)
            .or_insert_with(|| Arc::new(PeerClient::new(addr, self.local_ip, self.tls.clone())))
            .clone()
    }

    /// Removes the clients of addresses that `keep` rejects.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.lock().retain(|addr, _| keep(addr));
    }

    /// Records a contact with a peer, now, and resets its failures.
    pub fn record_contact(&self, id: &BoxId) {
        let contact = Contact {
            last_seen_ms: now_ms(),
            failures: 0,
        };
        self.contacts.lock().insert(id.clone(), contact);
    }

    /// Records a failed call to a peer.
    pub fn record_failure(&self, id: &BoxId) {
        self.contacts.lock().entry(id.clone()).or_default().failures += 1;
    }

    /// Returns whether calls to a peer have failed since a last contact that is longer ago than
    /// the allowed silence.
    pub fn is_silent(&self, id: &BoxId) -> bool {
        let contacts = self.contacts.lock();
        let Some(contact) = contacts.get(id) else {
            return false;
        };
        contact.failures > 0 && now_ms().saturating_sub(contact.last_seen_ms) > self.silence_ms
    }

    /// Returns whether the last contact with a peer is less than `ms` milliseconds ago.
    pub fn seen_within(&self, id: &BoxId, ms: u64) -> bool {
        let contacts = self.contacts.lock();
        contacts
            .get(id)
            .is_some_and(|contact| now_ms().saturating_sub(contact.last_seen_ms) < ms)
    }

    /// Returns whether the last call to a peer failed.
    pub fn is_failing(&self, id: &BoxId) -> bool {
        self.contacts
            .lock()
            .get(id)
            .is_some_and(|contact| contact.failures > 0)
    }
}

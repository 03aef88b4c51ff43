use {
    super::*,
    crate::{
        boxes::*, conf::Settings, contracts::Table, engine::*, links::*, names::*, peer::*,
        policy::*, provider::*, requests::*,
    },
    parking_lot::{Mutex, RwLock},
    rand::{RngCore, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{sync::Arc, time::Duration},
    tokio::sync::{Notify, watch},
};

/// The external systems that a daemon uses, each behind a trait.
#[derive(Clone)]
pub struct Backends {
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain services.
    pub plain: Arc<dyn PlainService>,
    /// The log service.
    pub log: Arc<dyn PlatformLog>,
    /// The box list.
    pub box_list: Arc<dyn BoxList>,
    /// The cloud API.
    pub cloud: Arc<dyn CloudApi>,
    /// The weight store.
    pub weights: Arc<dyn WeightStore>,
}

/// The phase of a daemon's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The daemon has no table yet, or its clock jumped: it doesn't accept requests.
    Starting,
    /// The daemon accepts requests.
    Ready,
    /// A planned stop: requests in flight finish on this box.
    Draining,
    /// The box will be reclaimed at this time, in Unix milliseconds.
    Leaving(u64),
}

/// The state that all parts of a daemon share.
///
/// Lock order, outer before inner: `table`, `boxes`, `journal`, `links`,
/// `stats`, `hints`, `admission`, `claims`, a shard of `requests`,
/// a request's record, `score`, `rng`. No lock is held across an await.
pub struct World {
    /// The settings.
    pub settings: Settings,
    /// This box and its incarnation.
    pub me: BoxIncarnation,
    /// The active table.
    pub table: RwLock<Arc<Table>>,
    /// The last records of the table, kept for peers that lag.
    pub table_records: Mutex<TableRecords>,
    /// All known boxes.
    pub boxes: RwLock<BoxTable>,
    /// Boxes whose facts changed, for the heartbeats to peers.
    pub journal: Mutex<Journal>,
    /// Upstreams whose load changed, for the heartbeats to peers.
    pub load_journal: Mutex<Journal>,
    /// Wakes the tasks that send or process state changes.
    pub state_changed: Notify,
    /// Links to peers.
    pub links: LinkTable,
    /// Measurements of upstreams.
    pub stats: Mutex<StatsTable>,
    /// Prompt prefixes that upstreams probably have cached.
    pub hints: Mutex<CacheHints>,
    /// Admission control.
    pub admission: AdmissionControl,
    /// Claims on requests that may run only once.
    pub claims: ClaimClient,
    /// The requests that this box owns, holds copies of, or has moved.
    pub requests: RequestTable,
    /// Senders to the boxes that hold copies of this box's requests.
    pub replicators: Replicators,
    /// Figures of ended requests by policy, client account and service.
    pub score: Mutex<ScoreBoard>,
    /// Retry budgets by client account and service.
    pub budgets: Mutex<std::collections::BTreeMap<(ClientAccount, ServiceName), RetryBudget>>,
    /// The daemon's current phase.
    pub phase: watch::Sender<Phase>,
    /// The external systems.
    pub backends: Backends,
    rng: Mutex<ChaCha8Rng>,
}

impl World {
    /// Creates the state of a daemon that has just started.
    pub fn new(
        settings: Settings,
        backends: Backends,
        tls: Option<Arc<PeerTls>>,
        incarnation: u64,
    ) -> Self {
        let me = BoxIncarnation {
            id: settings.this_box.id.clone(),
            incarnation,
        };
        let local_ip = settings.listen.peers.ip();
        let silence_ms = settings.peers.silence_ms;
        Self {
            me,
            table: RwLock::default(),
            table_records: Mutex::default(),
            boxes: RwLock::default(),
            journal: Mutex::default(),
            load_journal: Mutex::default(),
            state_changed: Notify::new(),
            links: LinkTable::new(tls, local_ip, silence_ms),
            stats: Mutex::default(),
            hints: Mutex::default(),
            admission: AdmissionControl::default(),
            claims: ClaimClient::default(),
            requests: RequestTable::default(),
            replicators: Replicators::default(),
            score: Mutex::default(),
            budgets: Mutex::default(),
            phase: watch::Sender::new(Phase::Starting),
            backends,
            rng: Mutex::new(ChaCha8Rng::from_os_rng()),
            settings,
        }
    }

    /// Returns this box's failure domain.
    pub fn my_domain(&self) -> &FailureDomain {
        &self.settings.this_box.failure_domain
    }

    /// Returns a new random number generator, seeded from this daemon's generator.
    pub fn fork_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.rng.lock().next_u64())
    }

    /// Returns the active table.
    pub fn active_table(&self) -> Arc<Table> {
        self.table.read().clone()
    }

    /// Merges facts about boxes, announces those that changed anything, and returns them.
    pub fn fold_facts(&self, facts: &[BoxFact]) -> Vec<BoxFact> {
        if !self.settings.trial.leaving {
            return self.replace_facts(facts);
        }
        let mut boxes = self.boxes.write();
        let mut journal = self.journal.lock();
        let mut changed = Vec::new();
        for fact in facts {
            if boxes.fold(fact) {
                journal.push(&fact.id);
                changed.extend(boxes.get(&fact.id).cloned());
            }
        }
        drop((boxes, journal));
        if !changed.is_empty() {
            self.state_changed.notify_waiters();
            self.on_changed(&changed);
        }
        changed
    }

    /// Replaces the facts regardless of their order, for trials without monotone states.
    fn replace_facts(&self, facts: &[BoxFact]) -> Vec<BoxFact> {
        let mut boxes = self.boxes.write();
        facts.iter().for_each(|f| boxes.put(f));
        Vec::new()
    }

    /// Moves a box's state forward and announces the change.
    pub fn advance_box(&self, id: &BoxId, incarnation: u64, state: BoxState, leaves_at_ms: u64) {
        if !self.settings.trial.leaving {
            return;
        }
        let fact = {
            let mut boxes = self.boxes.write();
            boxes.advance(id, incarnation, state, leaves_at_ms)
        };
        if let Some(fact) = fact {
            self.journal.lock().push(id);
            self.state_changed.notify_waiters();
            self.on_changed(&[fact]);
        }
    }

    /// Returns the live entry boxes other than this one, which can hold copies.
    pub fn holder_candidates(&self) -> Vec<HolderCandidate> {
        let boxes = self.boxes.read();
        boxes
            .live_entries()
            .filter(|b| b.id != self.me.id)
            .map(|b| HolderCandidate {
                id: b.id.clone(),
                failure_domain: b.failure_domain.clone(),
            })
            .collect()
    }

    /// Returns the number of daemons of this failure domain that aren't silent, including this one.
    pub fn domain_daemons(&self) -> usize {
        let boxes = self.boxes.read();
        let others = boxes
            .live_entries()
            .filter(|b| b.failure_domain == *self.my_domain() && b.id != self.me.id)
            .filter(|b| !self.links.is_silent(&b.id))
            .count();
        others + 1
    }

    /// Calls another box, and records for its link whether it answered.
    ///
    /// # Errors
    ///
    /// Returns an error if the box is unknown or the call fails or times out.
    pub async fn call_box(
        &self,
        id: &BoxId,
        call: &PeerCall,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let Some(client) = self.client_of(id) else {
            return Err(PeerError::NotConnected(format!("no box {id}")));
        };
        let outcome = client.call(call, timeout).await;
        match &outcome {
            Ok(_) => self.links.record_contact(id),
            Err(_) => self.links.record_failure(id),
        }
        outcome
    }

    /// Returns the client for calls to another box, if that is a known entry box.
    pub fn client_of(&self, id: &BoxId) -> Option<Arc<PeerClient>> {
        let addr = {
            let boxes = self.boxes.read();
            boxes.get(id).filter(|b| b.kind == BoxKind::Entry)?.address
        };
        Some(self.links.client(addr))
    }

    /// Returns true if this daemon accepts new requests.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Ready
    }

    /// Returns the time at which this box will be reclaimed, in Unix milliseconds, if it is leaving.
    pub fn leaves_at_ms(&self) -> Option<u64> {
        match *self.phase.borrow() {
            Phase::Leaving(at) => Some(at),
            _ => None,
        }
    }

    fn on_changed(&self, facts: &[BoxFact]) {
        for fact in facts {
            if fact.id == self.me.id {
                self.on_own_fact(fact);
            }
        }
    }

    /// Enters the phase `Leaving` when a fact shows that this incarnation is leaving or gone.
    fn on_own_fact(&self, fact: &BoxFact) {
        if fact.incarnation != self.me.incarnation || fact.state == BoxState::Live {
            return;
        }
        self.phase.send_if_modified(|phase| {
            let starts_leaving = !matches!(phase, Phase::Leaving(_));
            if starts_leaving {
                log::warn!(target: "app", "this box is leaving. at_ms={}", fact.leaves_at_ms);
                *phase = Phase::Leaving(fact.leaves_at_ms);
            }
            starts_leaving
        });
    }
}

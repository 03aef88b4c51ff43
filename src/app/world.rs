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

/// The systems outside, each behind a trait.
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

/// Where this daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no table yet, or its clock jumped: not ready.
    Starting,
    /// It takes requests.
    Ready,
    /// A planned stop: what is in flight finishes here.
    Draining,
    /// It will be taken back at this time, in Unix milliseconds.
    Leaving(u64),
}

/// All that the parts of a daemon share.
///
/// Lock order, outer before inner: `table`, `boxes`, `journal`, `links`,
/// `stats`, `hints`, the admission desk, the claim desk, a shard of `requests`,
/// a request's record, `score`, `rng`. No lock is held across an await.
pub struct World {
    /// The settings.
    pub settings: Settings,
    /// This box and its life.
    pub me: BoxIncarnation,
    /// The table in force.
    pub table: RwLock<Arc<Table>>,
    /// The table's last records, for peers.
    pub table_records: Mutex<TableRecords>,
    /// All known boxes.
    pub boxes: RwLock<BoxTable>,
    /// Which boxes changed, for links.
    pub journal: Mutex<Journal>,
    /// Loads that changed, for links.
    pub load_journal: Mutex<Journal>,
    /// Wakes the links when there is news.
    pub news: Notify,
    /// Links to peers.
    pub links: LinkTable,
    /// What was measured of upstreams.
    pub stats: Mutex<StatsTable>,
    /// What upstreams are thought to have cached.
    pub hints: Mutex<CacheHints>,
    /// Admission.
    pub admission: AdmissionControl,
    /// Claims.
    pub claims: ClaimClient,
    /// All requests.
    pub requests: RequestTable,
    /// What is sent to the holders of copies.
    pub replicators: Replicators,
    /// How each policy did.
    pub score: Mutex<ScoreBoard>,
    /// Retry budgets by row.
    pub budgets: Mutex<std::collections::BTreeMap<(ClientAccount, ServiceName), RetryBudget>>,
    /// Where this daemon is in its life.
    pub phase: watch::Sender<Phase>,
    /// The systems outside.
    pub borders: Backends,
    rng: Mutex<ChaCha8Rng>,
}

impl World {
    /// Makes the world of a daemon that has just started.
    pub fn new(
        settings: Settings,
        borders: Backends,
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
            news: Notify::new(),
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
            borders,
            rng: Mutex::new(ChaCha8Rng::from_os_rng()),
            settings,
        }
    }

    /// Returns this box's failure domain.
    pub fn my_domain(&self) -> &FailureDomain {
        &self.settings.this_box.failure_domain
    }

    /// Returns a seeded generator of its own for one decision maker.
    pub fn fork_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.rng.lock().next_u64())
    }

    /// Returns the table in force.
    pub fn active_table(&self) -> Arc<Table> {
        self.table.read().clone()
    }

    /// Folds facts about boxes and tells the links of those that were new.
    pub fn fold_facts(&self, facts: &[BoxFact]) -> Vec<BoxFact> {
        if !self.settings.trial.leaving {
            return self.put_facts(facts);
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
            self.news.notify_waiters();
            self.on_changed(&changed);
        }
        changed
    }

    /// Takes each fact as the newest truth, for trials without monotone states.
    fn put_facts(&self, facts: &[BoxFact]) -> Vec<BoxFact> {
        let mut boxes = self.boxes.write();
        facts.iter().for_each(|f| boxes.put(f));
        Vec::new()
    }

    /// Moves a box's state forward and tells the links.
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
            self.news.notify_waiters();
            self.on_changed(&[fact]);
        }
    }

    /// Returns the live entry boxes other than this one, as holders of copies.
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

    /// Returns how many daemons of this failure domain answer, this one included.
    pub fn domain_daemons(&self) -> usize {
        let boxes = self.boxes.read();
        let others = boxes
            .live_entries()
            .filter(|b| b.failure_domain == *self.my_domain() && b.id != self.me.id)
            .filter(|b| !self.links.is_silent(&b.id))
            .count();
        others + 1
    }

    /// Calls another box.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn call_box(
        &self,
        id: &BoxId,
        call: &PeerCall,
        within: Duration,
    ) -> Result<PeerReply, PeerError> {
        let Some(client) = self.client_of(id) else {
            return Err(PeerError::NotConnected(format!("no box {id}")));
        };
        let outcome = client.call(call, within).await;
        match &outcome {
            Ok(_) => self.links.heard(id),
            Err(_) => self.links.failed(id),
        }
        outcome
    }

    /// Returns the client of another box.
    pub fn client_of(&self, id: &BoxId) -> Option<Arc<PeerClient>> {
        let addr = {
            let boxes = self.boxes.read();
            boxes.get(id).filter(|b| b.kind == BoxKind::Entry)?.address
        };
        Some(self.links.client(addr))
    }

    /// Returns whether this daemon takes new requests.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Ready
    }

    /// Returns when this box is taken back, if it will be.
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

    fn on_own_fact(&self, fact: &BoxFact) {
        if fact.incarnation != self.me.incarnation || fact.state == BoxState::Live {
            return;
        }
        self.phase.send_if_modified(|phase| {
            let news = !matches!(phase, Phase::Leaving(_));
            if news {
                log::warn!(target: "app", "this box is leaving. at_ms={}", fact.leaves_at_ms);
                *phase = Phase::Leaving(fact.leaves_at_ms);
            }
            news
        });
    }
}

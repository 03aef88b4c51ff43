use {
    super::World,
    crate::{clock, contracts::Contract, names::*, policy::*},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Requests at once that an upstream without a report of load is taken to serve.
const DEFAULT_SLOTS: u32 = 32;
/// How much more than the slots is let through, so that engines never idle.
const OVERCOMMIT: f64 = 1.1;
/// A service without upstreams here: its requests are sent on, not queued.
const NO_QUEUE: u32 = u32::MAX;
/// How much of a new stay enters the smoothed one.
const SMOOTHING: f64 = 0.05;

/// Admits requests by their row, and shares a service's capacity fairly.
///
/// Lock order: `gates` before `queues`.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    gates: Mutex<BTreeMap<(ClientAccount, ServiceName), RowLimiter>>,
    queues: Mutex<BTreeMap<ServiceName, ServiceQueue>>,
    running: AtomicUsize,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    fair: FairQueue,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    stay_ms: f64,
}

/// An admitted request; it ends when dropped.
pub struct Admitted {
    world: Arc<World>,
    account: ClientAccount,
    service: ServiceName,
    queued: bool,
    started_ms: u64,
}

impl AdmissionControl {
    /// Admits a request, or refuses it at once.
    ///
    /// # Errors
    ///
    /// Returns the limit that refuses it and when to come back.
    pub async fn admit(
        world: &Arc<World>,
        c: &Contract,
        tokens: f64,
        deadline_ms: u64,
        fair: bool,
    ) -> Result<Admitted, Rejection> {
        let desk = &world.admission;
        desk.pass_gate(world, c, tokens)?;
        let mut admitted = Admitted {
            world: world.clone(),
            account: c.account.clone(),
            service: c.service.clone(),
            queued: false,
            started_ms: now_ms(),
        };
        if fair {
            desk.take_turn(world, c, deadline_ms).await?;
            admitted.queued = true;
            admitted.started_ms = now_ms();
        }
        Ok(admitted)
    }

    /// Returns how many admitted requests have not ended, those that wait included.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns how many requests of a service wait for their turn.
    pub fn waiting_for(&self, service: &ServiceName) -> u32 {
        let queues = self.queues.lock();
        queues.get(service).map_or(0, |q| q.fair.waiting() as u32)
    }

    /// Returns how many requests wait for their turn.
    pub fn waiting(&self) -> usize {
        self.queues.lock().values().map(|q| q.fair.waiting()).sum()
    }

    fn pass_gate(&self, world: &World, c: &Contract, tokens: f64) -> Result<(), Rejection> {
        let daemons = world.domain_daemons();
        let share = RowShare::divide(c.rate, c.concurrency, c.tokens_per_s, daemons);
        let now = now_ms();
        let key = (c.account.clone(), c.service.clone());
        let mut gates = self.gates.lock();
        let gate = gates
            .entry(key)
            .or_insert_with(|| RowLimiter::new(&share, now));
        gate.admit(&share, tokens, now)?;
        self.running.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn take_turn(
        &self,
        world: &World,
        c: &Contract,
        deadline_ms: u64,
    ) -> Result<(), Rejection> {
        let capacity = capacity(world, &c.service);
        let now = now_ms();
        let (ticket, rx) = {
            let mut queues = self.queues.lock();
            let q = queues.entry(c.service.clone()).or_default();
            let stay_ms = q.stay_ms;
            let turn = q
                .fair
                .join(&c.account, c.weight, capacity, stay_ms, now, deadline_ms);
            match turn {
                Ok(JoinOutcome::Now) => return Ok(()),
                Ok(JoinOutcome::Wait(ticket)) => {
                    let (tx, rx) = oneshot::channel();
                    q.waiters.insert(ticket, tx);
                    (ticket, rx)
                }
                Err(rejection) => return Err(rejection),
            }
        };
        let waiting = Waiting {
            desk: self,
            service: &c.service,
            ticket,
            rx,
            done: false,
        };
        waiting.turn(deadline_ms.saturating_sub(now)).await
    }

    fn leave_gate(&self, account: &ClientAccount, service: &ServiceName) {
        let key = (account.clone(), service.clone());
        self.running.fetch_sub(1, Ordering::Relaxed);
        if let Some(gate) = self.gates.lock().get_mut(&key) {
            gate.end();
        }
    }

    fn end(&self, world: &World, admitted: &Admitted) {
        self.leave_gate(&admitted.account, &admitted.service);
        if !admitted.queued {
            return;
        }
        let capacity = capacity(world, &admitted.service);
        let stay_ms = now_ms().saturating_sub(admitted.started_ms) as f64;
        let mut queues = self.queues.lock();
        let q = queues.entry(admitted.service.clone()).or_default();
        if q.stay_ms == 0.0 {
            q.stay_ms = stay_ms;
        }
        q.stay_ms += SMOOTHING * (stay_ms - q.stay_ms);
        q.fair.end();
        q.wake(capacity);
    }

    /// Lets waiting requests go where the capacity grew.
    pub fn wake_all(&self, world: &World) {
        let services: Vec<ServiceName> = self.queues.lock().keys().cloned().collect();
        for service in services {
            let capacity = capacity(world, &service);
            if let Some(q) = self.queues.lock().get_mut(&service) {
                q.wake(capacity);
            }
        }
    }
}

impl ServiceQueue {
    fn wake(&mut self, capacity: u32) {
        let turns = self.fair.next(capacity, self.stay_ms, now_ms());
        for ticket in turns.over {
            // Its request is told at once: the channel closes.
            self.waiters.remove(&ticket);
        }
        for ticket in turns.go {
            let woken = self
                .waiters
                .remove(&ticket)
                .is_some_and(|tx| tx.send(()).is_ok());
            if !woken {
                self.fair.end();
            }
        }
        let fair = &self.fair;
        if fair.waiting() == 0 {
            self.waiters.clear();
        }
    }
}

/// A wait for a turn; whoever drops it leaves the queue.
struct Waiting<'a> {
    desk: &'a AdmissionControl,
    service: &'a ServiceName,
    ticket: u64,
    rx: oneshot::Receiver<()>,
    done: bool,
}

impl Waiting<'_> {
    async fn turn(mut self, left_ms: u64) -> Result<(), Rejection> {
        let turn = clock::timeout(Duration::from_millis(left_ms), &mut self.rx).await;
        if matches!(turn, Ok(Ok(()))) {
            self.done = true;
            return Ok(());
        }
        Err(Rejection::Deadline {
            retry_after_ms: 1_000,
        })
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        if let Some(q) = self.desk.queues.lock().get_mut(self.service) {
            q.fair.leave(self.ticket);
            q.waiters.remove(&self.ticket);
            // A turn that came in the last moment is given back.
            if self.rx.try_recv().is_ok() {
                q.fair.end();
            }
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let world = self.world.clone();
        world.admission.end(&world, self);
    }
}

/// Returns this daemon's part of what the domain's upstreams of a service serve at once.
fn capacity(world: &World, service: &ServiceName) -> u32 {
    let slots = {
        let boxes = world.boxes.read();
        let stats = world.stats.lock();
        let slots_of = |b: &BoxFact| {
            let load = stats.get(&b.id).and_then(|s| s.load.as_ref());
            load.map_or(DEFAULT_SLOTS, |l| l.slots)
        };
        boxes
            .upstreams(service, world.my_domain())
            .map(slots_of)
            .sum::<u32>()
    };
    if slots == 0 {
        return NO_QUEUE;
    }
    let part = f64::from(slots) * OVERCOMMIT / world.domain_daemons() as f64;
    (part.ceil() as u32).max(1)
}

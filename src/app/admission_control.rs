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

/// Number of concurrent requests assumed for an upstream that has not reported its load.
const DEFAULT_SLOTS: u32 = 32;
/// Factor by which admissions exceed the slots, so that engines never idle.
const OVERCOMMIT: f64 = 1.1;
/// Capacity of a service without upstreams in this failure domain: its requests are moved
/// to another failure domain instead of being queued.
const NO_QUEUE: u32 = u32::MAX;
/// Weight of a new sample in the exponentially smoothed time that a request runs.
const SMOOTHING: f64 = 0.05;

/// Admits requests within the limits of their contract row, and shares the capacity of a
/// service fairly among client accounts.
///
/// Lock order: `row_limiters` before `queues`.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    row_limiters: Mutex<BTreeMap<(ClientAccount, ServiceName), RowLimiter>>,
    queues: Mutex<BTreeMap<ServiceName, ServiceQueue>>,
    running: AtomicUsize,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    fair: FairQueue,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    /// Smoothed time between the start and the end of a request, in milliseconds.
    run_time_ms: f64,
}

/// An admitted request. Dropping it ends the request and releases its slot.
pub struct Admitted {
    world: Arc<World>,
    account: ClientAccount,
    service: ServiceName,
    queued: bool,
    started_ms: u64,
}

impl AdmissionControl {
    /// Admits a request; with `fair`, once the service's fair queue lets it start.
    ///
    /// # Errors
    ///
    /// Returns the limit that refuses the request and when to retry.
    pub async fn admit(
        world: &Arc<World>,
        c: &Contract,
        tokens: f64,
        deadline_ms: u64,
        fair: bool,
    ) -> Result<Admitted, Rejection> {
        let admission = &world.admission;
        admission.check_row_limits(world, c, tokens)?;
        let mut admitted = Admitted {
            world: world.clone(),
            account: c.account.clone(),
            service: c.service.clone(),
            queued: false,
            started_ms: now_ms(),
        };
        if fair {
            admission.wait_for_start(world, c, deadline_ms).await?;
            admitted.queued = true;
            admitted.started_ms = now_ms();
        }
        Ok(admitted)
    }

    /// Returns how many admitted requests have not ended, including those in the fair queue.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns how many requests of a service wait in its fair queue.
    pub fn waiting_for(&self, service: &ServiceName) -> u32 {
        let queues = self.queues.lock();
        queues.get(service).map_or(0, |q| q.fair.waiting() as u32)
    }

    /// Returns how many requests wait in the fair queues of all services.
    pub fn waiting(&self) -> usize {
        self.queues.lock().values().map(|q| q.fair.waiting()).sum()
    }

    fn check_row_limits(&self, world: &World, c: &Contract, tokens: f64) -> Result<(), Rejection> {
        let daemons = world.domain_daemons();
        let share = RowShare::divide(c.rate, c.concurrency, c.tokens_per_s, daemons);
        let now = now_ms();
        let key = (c.account.clone(), c.service.clone());
        let mut row_limiters = self.row_limiters.lock();
        let limiter = row_limiters
            .entry(key)
            .or_insert_with(|| RowLimiter::new(&share, now));
        limiter.admit(&share, tokens, now)?;
        self.running.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn wait_for_start(
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
            let run_time_ms = q.run_time_ms;
            let outcome = q.fair.join(
                &c.account,
                c.weight,
                capacity,
                run_time_ms,
                now,
                deadline_ms,
            );
            match outcome {
                Ok(JoinOutcome::Now) => return Ok(()),
                Ok(JoinOutcome::Wait(ticket)) => {
                    let (tx, rx) = oneshot::channel();
                    q.waiters.insert(ticket, tx);
                    (ticket, rx)
                }
                Err(rejection) => return Err(rejection),
            }
        };
        let waiting = QueueWait {
            admission: self,
            service: &c.service,
            ticket,
            rx,
            started: false,
        };
        waiting.until_started(deadline_ms.saturating_sub(now)).await
    }

    fn release_row(&self, account: &ClientAccount, service: &ServiceName) {
        let key = (account.clone(), service.clone());
        self.running.fetch_sub(1, Ordering::Relaxed);
        if let Some(limiter) = self.row_limiters.lock().get_mut(&key) {
            limiter.end();
        }
    }

    fn end(&self, world: &World, admitted: &Admitted) {
        self.release_row(&admitted.account, &admitted.service);
        if !admitted.queued {
            return;
        }
        let capacity = capacity(world, &admitted.service);
        let run_time_ms = now_ms().saturating_sub(admitted.started_ms) as f64;
        let mut queues = self.queues.lock();
        let q = queues.entry(admitted.service.clone()).or_default();
        if q.run_time_ms == 0.0 {
            q.run_time_ms = run_time_ms;
        }
        q.run_time_ms += SMOOTHING * (run_time_ms - q.run_time_ms);
        q.fair.end();
        q.wake(capacity);
    }

    /// Starts waiting requests of services whose capacity has grown.
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
        let outcome = self.fair.next(capacity, self.run_time_ms, now_ms());
        for ticket in outcome.expired {
            // Dropping the sender closes the channel, which rejects the waiting request at once.
            self.waiters.remove(&ticket);
        }
        for ticket in outcome.started {
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

/// A request's wait in the fair queue. Dropping it leaves the queue.
struct QueueWait<'a> {
    admission: &'a AdmissionControl,
    service: &'a ServiceName,
    ticket: u64,
    rx: oneshot::Receiver<()>,
    started: bool,
}

impl QueueWait<'_> {
    async fn until_started(mut self, remaining_ms: u64) -> Result<(), Rejection> {
        let started = clock::timeout(Duration::from_millis(remaining_ms), &mut self.rx).await;
        if matches!(started, Ok(Ok(()))) {
            self.started = true;
            return Ok(());
        }
        Err(Rejection::Deadline {
            retry_after_ms: 1_000,
        })
    }
}

impl Drop for QueueWait<'_> {
    fn drop(&mut self) {
        if self.started {
            return;
        }
        if let Some(q) = self.admission.queues.lock().get_mut(self.service) {
            q.fair.leave(self.ticket);
            q.waiters.remove(&self.ticket);
            // A start that was granted just before the drop is returned.
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

/// Returns this daemon's share of the concurrent requests that the failure domain's
/// upstreams of a service can serve.
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
    let share = f64::from(slots) * OVERCOMMIT / world.domain_daemons() as f64;
    (share.ceil() as u32).max(1)
}

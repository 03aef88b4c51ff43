use {
    crate::{
        cluster::{
            AppendOutcome, BackendError, DutyApi, DutyClaim, FleetOrder, FleetScaler, RolloutDuty,
            SharedLog, StatusBoard,
        },
        gateway::{Gateway, GatewayPhase},
        names::{BoxId, now_ms},
        policy::{
            BoxIncarnation, DutyFitness, DutyLog, DutyRecord, LeaseRecord, LeaseStep,
            UsageReadiness,
        },
    },
    bytes::Bytes,
    std::{
        collections::BTreeSet,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// The topic of the duties.
pub const DUTY_TOPIC: &str = "duties";
const PAUSE: Duration = Duration::from_millis(250);
/// How often a daemon looks that doesn't hold the lease while another does.
const WATCH_EVERY: Duration = Duration::from_millis(1_500);
/// The pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// How long a call for a duty may take, in milliseconds: borders end it then.
pub const DUTY_CALL_MS: u64 = 900;

/// Takes the lease of the duties when it is free, and does them while it is held.
pub struct DutyRunner {
    gateway: Arc<Gateway>,
    shared_log: Arc<dyn SharedLog>,
    api: Arc<dyn DutyApi>,
    log: DutyLog,
    reported: BTreeSet<u64>,
    /// Since when this daemon holds the duties.
    held_since_ms: Option<u64>,
    scaler: FleetScaler,
    rollouts: RolloutDuty,
}

impl DutyRunner {
    /// Makes the runner of a daemon.
    pub fn new(
        gateway: Arc<Gateway>,
        shared_log: Arc<dyn SharedLog>,
        api: Arc<dyn DutyApi>,
        board: Arc<dyn StatusBoard>,
    ) -> Self {
        let me = BoxIncarnation {
            id: BoxId::from(gateway.settings.node.name.as_str()),
            incarnation: gateway.incarnation,
        };
        let log = DutyLog::new(me, gateway.settings.duties.lease_ms);
        Self {
            gateway,
            shared_log,
            api,
            log,
            reported: BTreeSet::new(),
            held_since_ms: None,
            scaler: FleetScaler::default(),
            rollouts: RolloutDuty::new(board),
        }
    }

    /// Runs until the daemon stops.
    pub async fn run(mut self) {
        let spread_ms = self.gateway.draw() % 500;
        tokio::time::sleep(Duration::from_millis(spread_ms)).await;
        let mut holds = false;
        loop {
            if !holds {
                // Those that read the source are enough to hold the duties.
                self.gateway.until_reading_source().await;
            }
            self.scaler.look(&self.gateway);
            let stopping = *self.gateway.phase.borrow() != GatewayPhase::Ready;
            let is_fit = self.fitness(stopping).may_hold();
            let other_holds = self.gateway.peers.lock().has_duty_holder();
            if !holds && other_holds && !self.gateway.watches_duties() {
                // Enough others count from the last renewal when the lease ends.
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            if !is_fit || (!holds && other_holds) {
                if holds {
                    self.release_lease().await;
                }
                self.tell(false);
                holds = false;
                self.watch_holder().await;
                continue;
            }
            match self.turn(holds).await {
                Ok(now_holds) => {
                    holds = now_holds;
                    self.tell(holds);
                    tokio::time::sleep(PAUSE).await;
                }
                Err(e) => {
                    log::info!(target: "duties", "a call failed. error=\"{e}\"");
                    holds = self.log.fence_for(0, self.gateway.steady_ms()).is_some();
                    self.tell(holds);
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    fn fitness(&self, is_stopping: bool) -> DutyFitness {
        DutyFitness {
            is_stopping,
            is_hub: self.gateway.is_hub(),
            reads_source: *self.gateway.reads_source.borrow(),
        }
    }

    /// Reads along while another daemon holds the lease, so that the time to
    /// wait for its end is counted from its last renewal.
    async fn watch_holder(&mut self) {
        if let Err(e) = self.read_on().await {
            log::info!(target: "duties", "the topic can't be read. error=\"{e}\"");
        }
        tokio::time::sleep(WATCH_EVERY).await;
    }

    fn tell(&mut self, holds: bool) {
        let since_ms = self.held_since_ms.unwrap_or(self.gateway.steady_ms());
        self.held_since_ms = holds.then_some(since_ms);
        let before = self.gateway.holds_duties.swap(holds, Ordering::Relaxed);
        if before != holds {
            log::info!(target: "duties", "holder changed. holds={holds}");
        }
    }

    /// Does one turn; returns whether the lease is held.
    async fn turn(&mut self, holds: bool) -> Result<bool, BackendError> {
        if !holds {
            self.read_on().await?;
        }
        match self.log.step(self.gateway.steady_ms()) {
            LeaseStep::Wait => Ok(false),
            LeaseStep::Append(lease) => self.take_lease(lease).await,
            LeaseStep::Act { .. } => {
                self.lead_rollouts().await?;
                self.report_usage().await?;
                self.order_upstreams().await?;
                Ok(true)
            }
        }
    }

    async fn read_on(&mut self) -> Result<(), BackendError> {
        let page = self.shared_log.read(DUTY_TOPIC, self.log.next()).await?;
        self.log.skip_to(page.from);
        let now_ms = self.gateway.steady_ms();
        for (offset, bytes) in (page.from..).zip(&page.records) {
            match serde_json::from_slice::<DutyRecord>(bytes) {
                Ok(record) => self.log.fold(offset, record, now_ms),
                Err(e) => {
                    log::warn!(target: "duties", "unreadable record. offset={offset} error=\"{e}\"");
                    self.log.skip(offset);
                }
            }
        }
        Ok(())
    }

    async fn take_lease(&mut self, lease: LeaseRecord) -> Result<bool, BackendError> {
        self.log.record_sent(&lease, self.gateway.steady_ms());
        let taken = self.append(DutyRecord::Lease(lease)).await?;
        Ok(taken && self.log.fence_for(0, self.gateway.steady_ms()).is_some())
    }

    /// Gives the lease back, so that a planned stop leaves the duties to a successor at
    /// once: it would wait for the rest of the term, and reports would come late.
    async fn release_lease(&mut self) {
        let now_ms = self.gateway.steady_ms();
        let Some(lease) = self.log.release(now_ms) else {
            return;
        };
        self.log.record_sent(&lease, now_ms);
        if let Err(e) = self.append(DutyRecord::Lease(lease)).await {
            // It runs out by itself.
            log::info!(target: "duties", "the lease was not given back. error=\"{e}\"");
        }
    }

    /// Appends a record where the topic was read to; returns whether it was taken.
    async fn append(&mut self, record: DutyRecord) -> Result<bool, BackendError> {
        let end = self.log.next();
        let bytes =
            serde_json::to_vec(&record).map_err(|e| BackendError::NotDone(e.to_string()))?;
        let append = self
            .shared_log
            .append_at(DUTY_TOPIC, end, Bytes::from(bytes));
        match append.await? {
            AppendOutcome::Taken => {
                self.log.fold(end, record, self.gateway.steady_ms());
                Ok(true)
            }
            AppendOutcome::Conflict => {
                self.read_on().await?;
                Ok(false)
            }
        }
    }

    async fn lead_rollouts(&mut self) -> Result<(), BackendError> {
        let Some(claim) = self.claim() else {
            return Ok(());
        };
        let gateway = self.gateway.clone();
        let turn = self.rollouts.turn(&gateway, claim.fence);
        if let Err(e) = turn.await {
            // The other duties need not wait for it: it goes on at the next turn.
            log::info!(target: "rollout", "not written. error=\"{e}\"");
        }
        Ok(())
    }

    /// Reports the windows that are due.
    async fn report_usage(&mut self) -> Result<(), BackendError> {
        if !self.gateway.settings.duties.usage {
            return Ok(());
        }
        for window in self.due_windows() {
            if self.log.report(window).is_none() {
                let counts = self.gateway.usage.lock().total(window);
                let record = self.log.usage_record(window, counts);
                if !self.append(record).await? {
                    return Ok(());
                }
            }
            self.send_report(window).await?;
        }
        Ok(())
    }

    fn due_windows(&self) -> Vec<u64> {
        let duties = &self.gateway.settings.duties;
        let length_ms = duties.usage_window_s * 1_000;
        let delay_ms = duties.usage_delay_s as f64 * 1_000.0;
        let now = now_ms();
        let held_ms = self
            .held_since_ms
            .map_or(0, |since| self.gateway.steady_ms().saturating_sub(since))
            as f64;
        let is_due = |window: &u64| {
            let ended_ms = (window + 1) * length_ms;
            let age_ms = now.saturating_sub(ended_ms) as f64;
            let readiness = UsageReadiness {
                age_ms,
                delay_ms,
                is_complete: self.is_usage_complete(*window),
                held_ms,
            };
            readiness.is_due() && !self.reported.contains(window)
        };
        let newest = now / length_ms.max(1);
        let oldest = newest.saturating_sub(2 * duties.usage_delay_s / duties.usage_window_s.max(1));
        (oldest..newest).filter(is_due).collect()
    }

    /// Returns whether all daemons have told what they counted in a window.
    fn is_usage_complete(&self, window: u64) -> bool {
        let expected_ms = 2_000 * self.gateway.settings.duties.usage_window_s;
        let since_ms = self.gateway.steady_ms().saturating_sub(expected_ms);
        let (told, all_whole) = self
            .gateway
            .usage
            .lock()
            .usage_complete_from(window, since_ms);
        all_whole && told + 1 >= self.gateway.daemons()
    }

    async fn send_report(&mut self, window: u64) -> Result<(), BackendError> {
        let Some(counts) = self.log.report(window).cloned() else {
            return Ok(());
        };
        let Some(claim) = self.claim() else {
            return Ok(());
        };
        self.api.report_usage(&claim, window, &counts).await?;
        log::info!(
            target: "duties",
            "usage reported. window={window} requests={} is_whole={} daemons={}",
            counts.values().sum::<u64>(),
            self.is_usage_complete(window),
            self.gateway.daemons()
        );
        self.reported.insert(window);
        if self.reported.len() > 64 {
            self.reported.pop_first();
        }
        Ok(())
    }

    /// Places the orders for upstreams that are due.
    async fn order_upstreams(&mut self) -> Result<(), BackendError> {
        if !self.gateway.settings.duties.scaling {
            return Ok(());
        }
        for order in self.scaler.due_orders(&self.gateway) {
            let Some(claim) = self.claim() else {
                return Ok(());
            };
            let end = self.api.order(&claim, &order).await?;
            log::info!(
                target: "fleet",
                "ordered. service={} domain={} reclaimable={} count={} end={end:?}",
                order.service,
                order.domain,
                order.reclaimable,
                order.count
            );
            let boot_ms = self.boot_ms(&order);
            let now_ms = self.gateway.steady_ms();
            self.scaler.record(&order, end, boot_ms, now_ms);
        }
        Ok(())
    }

    fn boot_ms(&self, order: &FleetOrder) -> u64 {
        let table = self.gateway.table();
        let service = table.as_ref().and_then(|t| t.find_service(&order.service));
        let scaling = service.and_then(|s| s.autoscaling.as_ref());
        scaling.map_or(0, |s| (s.boot_s * 1_000.0) as u64)
    }

    /// Returns in whose name to act, if a call ends while the lease is held.
    fn claim(&self) -> Option<DutyClaim> {
        // Asked right before each call: the lease may be over by now.
        let fence = self.log.fence_for(DUTY_CALL_MS, self.gateway.steady_ms())?;
        Some(DutyClaim {
            holder: self.gateway.settings.node.name.clone(),
            fence,
        })
    }
}

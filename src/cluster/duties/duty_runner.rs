use {
    crate::{
        cluster::{
            AppendOutcome, BackendError, DutyApi, DutyClaim, FleetOrder, FleetScaler, RolloutDuty,
            RolloutStatusStore, SharedLog,
        },
        gateway::{Gateway, GatewayPhase},
        names::{BoxId, SourceEra, now_ms},
        policy::{
            BoxIncarnation, DutyFitness, DutyLog, DutyRecord, LeaseRecord, LeaseStep, TopicAppend,
            UsageReadiness, first_unannounced_window,
        },
    },
    bytes::Bytes,
    std::{
        collections::BTreeSet,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Topic of the shared log that holds the lease and the usage records of the duties.
pub const DUTY_TOPIC: &str = "duties";
/// Interval between two turns of a daemon that holds the lease or tries to take it.
const TURN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a standby reads the topic while another daemon holds the lease.
const WATCH_INTERVAL: Duration = Duration::from_millis(1_500);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Number of the newest windows whose reports are remembered.
const MAX_REPORTED: usize = 64;
/// Timeout of a call for a duty, in milliseconds. The backends enforce it.
pub const DUTY_CALL_TIMEOUT_MS: u64 = 900;

/// Acquires the lease of the duties when it is free, and performs the duties while this
/// daemon holds it.
pub struct DutyRunner {
    gateway: Arc<Gateway>,
    shared_log: Arc<dyn SharedLog>,
    api: Arc<dyn DutyApi>,
    log: DutyLog,
    /// The windows whose usage this daemon has reported, or is never to report.
    reported: BTreeSet<u64>,
    /// The time from which on this daemon has held the duties, by its steady clock; none if
    /// it does not hold them.
    held_since_ms: Option<u64>,
    scaler: FleetScaler,
    rollouts: RolloutDuty,
}

impl DutyRunner {
    /// Creates the runner of a daemon.
    pub fn new(
        gateway: Arc<Gateway>,
        shared_log: Arc<dyn SharedLog>,
        api: Arc<dyn DutyApi>,
        status_store: Arc<dyn RolloutStatusStore>,
    ) -> Self {
        let claimer = BoxIncarnation {
            id: BoxId::from(gateway.settings.node.name.as_str()),
            incarnation: gateway.incarnation,
        };
        let log = DutyLog::new(claimer, gateway.settings.duties.lease_ms);
        Self {
            gateway,
            shared_log,
            api,
            log,
            reported: BTreeSet::new(),
            held_since_ms: None,
            scaler: FleetScaler::default(),
            rollouts: RolloutDuty::new(status_store),
        }
    }

    /// Runs the duties. Does not return: it runs until the daemon stops.
    pub async fn run(mut self) {
        let spread_ms = self.gateway.draw() % 500;
        tokio::time::sleep(Duration::from_millis(spread_ms)).await;
        let mut holds = false;
        loop {
            if !holds {
                // Only daemons that read the shared source compete for the lease: they are
                // enough.
                self.gateway.until_reading_source().await;
            }
            self.scaler.observe_fleet(&self.gateway);
            // Noticed also by a daemon that does not read the topic: once it does, it knows that
            // records may be missing.
            self.enter_era(self.newest_era());
            if let Some(era) = self.gateway.announced_restore() {
                self.log.record_announced_restore(era);
            }
            let stopping = *self.gateway.phase.borrow() != GatewayPhase::Ready;
            let is_fit = self.fitness(stopping).may_hold();
            let other_holds = self.gateway.peers.lock().has_duty_holder();
            if !holds && other_holds && !self.gateway.watches_duties() {
                // Enough other daemons follow the renewals, and so know when the lease ends.
                tokio::time::sleep(TURN_INTERVAL).await;
                continue;
            }
            if !is_fit || (!holds && other_holds) {
                if holds {
                    self.release_lease().await;
                }
                self.set_holds(false);
                holds = false;
                self.watch_holder().await;
                continue;
            }
            match self.run_once(holds).await {
                Ok(now_holds) => {
                    holds = now_holds;
                    self.set_holds(holds);
                    tokio::time::sleep(TURN_INTERVAL).await;
                }
                Err(e) => {
                    log::info!(target: "duties", "a call for the duties failed. error=\"{e}\"");
                    holds = self.log.fence_for(0, self.gateway.steady_ms()).is_some();
                    self.set_holds(holds);
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

    /// Reads the topic while another daemon holds the lease, so that the expiry of the lease
    /// is counted from its last renewal.
    async fn watch_holder(&mut self) {
        if let Err(e) = self.read_new_records().await {
            log::info!(target: "duties", "the topic of the duties could not be read. error=\"{e}\"");
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }

    /// Publishes whether this daemon holds the duties.
    fn set_holds(&mut self, holds: bool) {
        let since_ms = self.held_since_ms.unwrap_or(self.gateway.steady_ms());
        self.held_since_ms = holds.then_some(since_ms);
        let held_before = self.gateway.holds_duties.swap(holds, Ordering::Relaxed);
        if held_before != holds {
            log::info!(target: "duties", "holder changed. holds={holds}");
        }
    }

    /// Takes or renews the lease, or performs the duties once. Returns whether this daemon holds
    /// the lease afterwards.
    async fn run_once(&mut self, holds: bool) -> Result<bool, BackendError> {
        if !holds || self.log.is_restoring() {
            self.read_new_records().await?;
        }
        if self.log.is_restoring() {
            self.restore_topic().await?;
            return Ok(self.log.fence_for(0, self.gateway.steady_ms()).is_some());
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

    /// Returns the newest era of the source that this daemon knows of, by answers of the source or
    /// by other daemons.
    fn newest_era(&self) -> SourceEra {
        let announced = self.gateway.directory.read().era();
        self.shared_log.era().max(announced)
    }

    /// Applies the era of an answer of the log. Returns false if the log has returned from a
    /// copy, so that its topic has to be read from the start.
    fn enter_era(&mut self, era: SourceEra) -> bool {
        let before = self.log.era();
        let is_same = self.log.enter_era(era, self.gateway.steady_ms(), now_ms());
        if !is_same {
            let holds = self.held_since_ms.is_some();
            log::info!(target: "duties", "the log returned from an older copy, reading the topic again. era={era} before={before} holds={holds}");
            self.rollouts.write_again(&self.gateway);
        }
        is_same
    }

    /// Reads and folds the records that were appended to the topic since the last read, or all
    /// records if the log has returned from a copy since.
    async fn read_new_records(&mut self) -> Result<(), BackendError> {
        let mut page = self.shared_log.read(DUTY_TOPIC, self.log.next()).await?;
        let is_same_era = self.enter_era(page.era);
        if is_same_era && page.from < self.log.next() {
            let offset = self.log.next();
            log::warn!(target: "duties", "the log lacks records that were read, reading the topic again. offset={offset}");
            self.log.restart(self.gateway.steady_ms(), now_ms());
        }
        if !is_same_era && page.from > page.first {
            page = self.shared_log.read(DUTY_TOPIC, self.log.next()).await?;
            if !self.enter_era(page.era) {
                return Err(BackendError::NotDone(
                    "the log returned from a copy while it was read".into(),
                ));
            }
        }
        self.log.skip_to(page.from);
        let now_ms = self.gateway.steady_ms();
        for (offset, bytes) in (page.from..).zip(&page.records) {
            match serde_json::from_slice::<Option<DutyRecord>>(bytes) {
                Ok(Some(record)) => self.log.fold(offset, record, now_ms),
                Ok(None) => self.log.skip(offset),
                Err(e) => {
                    log::warn!(target: "duties", "unreadable record. offset={offset} error=\"{e}\"");
                    self.log.skip(offset);
                }
            }
        }
        if self.log.next() >= page.end {
            self.record_read();
        }
        Ok(())
    }

    fn record_read(&mut self) {
        let was_restoring = self.log.is_restoring();
        self.log.record_read(self.gateway.steady_ms(), now_ms());
        let is_restoring = self.log.is_restoring();
        if was_restoring != is_restoring {
            let era = self.log.era();
            let next = self.log.next();
            log::info!(target: "duties", "topic after the log returned from a copy. is_continued={was_restoring} era={era} next={next}");
        }
    }

    /// Continues the topic after the log returned from a copy, if this daemon may do so now.
    async fn restore_topic(&mut self) -> Result<(), BackendError> {
        let duties = &self.gateway.settings.duties;
        let noticed_ms = self.log.restore_noticed_unix_ms().unwrap_or_default();
        let first_window = first_unannounced_window(
            noticed_ms,
            duties.usage_window_s * 1_000,
            duties.usage_delay_s as f64 * 1_000.0,
        );
        let now_ms = self.gateway.steady_ms();
        let Some(TopicAppend { at, records }) = self.log.restoration(first_window, now_ms) else {
            return Ok(());
        };
        let encoded: Result<Vec<Bytes>, _> = records.iter().map(encode_record).collect();
        let encoded = encoded?;
        let append = self.shared_log.append_at(DUTY_TOPIC, at, &encoded);
        let outcome = append.await?;
        log::info!(
            target: "duties",
            "continues the topic after the log returned from a copy. at={at} records={} known={} first_window={first_window} outcome={outcome:?}",
            records.len(),
            records.iter().flatten().count()
        );
        // If it was not appended, another daemon has continued the topic.
        self.read_new_records().await
    }

    async fn take_lease(&mut self, lease: LeaseRecord) -> Result<bool, BackendError> {
        self.log.record_sent(&lease, self.gateway.steady_ms());
        let taken = self.append(DutyRecord::Lease(lease)).await?;
        Ok(taken && self.log.fence_for(0, self.gateway.steady_ms()).is_some())
    }

    /// Releases the lease, so that a successor can take the duties over immediately after a
    /// planned stop. Otherwise it would wait until the lease expires, and reports would be
    /// late.
    async fn release_lease(&mut self) {
        let now_ms = self.gateway.steady_ms();
        let Some(lease) = self.log.release(now_ms) else {
            return;
        };
        self.log.record_sent(&lease, now_ms);
        if let Err(e) = self.append(DutyRecord::Lease(lease)).await {
            // The lease expires by itself.
            log::info!(target: "duties", "the lease could not be released. error=\"{e}\"");
        }
    }

    /// Appends a record at the offset up to which the topic was read. Returns false, after
    /// reading the new records, if another daemon has appended there.
    async fn append(&mut self, record: DutyRecord) -> Result<bool, BackendError> {
        let end = self.log.next();
        let encoded = [encode_record(&Some(record.clone()))?];
        let append = self.shared_log.append_at(DUTY_TOPIC, end, &encoded);
        match append.await? {
            AppendOutcome::Taken(era) if self.enter_era(era) => {
                self.log.fold(end, record, self.gateway.steady_ms());
                Ok(true)
            }
            outcome => {
                log::info!(target: "duties", "append conflicts with another record. offset={end} outcome={outcome:?}");
                self.read_new_records().await?;
                Ok(false)
            }
        }
    }

    async fn lead_rollouts(&mut self) -> Result<(), BackendError> {
        let Some(claim) = self.claim() else {
            return Ok(());
        };
        let gateway = self.gateway.clone();
        let steps = self.rollouts.run_due_steps(&gateway, claim.fence);
        if let Err(e) = steps.await {
            // Not propagated, so that it does not hold up the other duties. The next run
            // tries again.
            log::info!(target: "rollout", "rollout status could not be written. error=\"{e}\"");
        }
        Ok(())
    }

    /// Reports the usage windows that are due. The counts of a window are appended to the
    /// topic first, so that a later holder reports the same ones.
    async fn report_usage(&mut self) -> Result<(), BackendError> {
        if !self.gateway.settings.duties.usage {
            return Ok(());
        }
        for window in self.due_windows() {
            if !self.log.may_report(window) {
                log::warn!(target: "duties", "usage not reported, as another report of it may have been sent before the log returned from a copy. window={window}");
                self.record_reported(window);
                continue;
            }
            if self.log.report(window).is_none() {
                let vouched = self.log.vouched_report(window).cloned();
                let counts = vouched.unwrap_or_else(|| self.gateway.usage.lock().total(window));
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

    /// Returns whether the complete counts of all daemons for a window have arrived.
    fn is_usage_complete(&self, window: u64) -> bool {
        let expected_ms = 2_000 * self.gateway.settings.duties.usage_window_s;
        let since_ms = self.gateway.steady_ms().saturating_sub(expected_ms);
        let (announced, all_complete) = self
            .gateway
            .usage
            .lock()
            .usage_completeness(window, since_ms);
        all_complete && announced + 1 >= self.gateway.daemons()
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
        self.record_reported(window);
        Ok(())
    }

    fn record_reported(&mut self, window: u64) {
        self.reported.insert(window);
        if self.reported.len() > MAX_REPORTED {
            self.reported.pop_first();
        }
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
            let outcome = self.api.order(&claim, &order).await?;
            log::info!(
                target: "fleet",
                "upstreams ordered. service={} domain={} reclaimable={} count={} end={outcome:?}",
                order.service,
                order.domain,
                order.reclaimable,
                order.count
            );
            let boot_ms = self.boot_ms(&order);
            let now_ms = self.gateway.steady_ms();
            self.scaler.record(&order, outcome, boot_ms, now_ms);
        }
        Ok(())
    }

    fn boot_ms(&self, order: &FleetOrder) -> u64 {
        let table = self.gateway.table();
        let service = table.as_ref().and_then(|t| t.find_service(&order.service));
        let scaling = service.and_then(|s| s.autoscaling.as_ref());
        scaling.map_or(0, |s| (s.boot_s * 1_000.0) as u64)
    }

    /// Returns the claim for a call, if the call ends within its timeout while the lease is
    /// still held.
    fn claim(&self) -> Option<DutyClaim> {
        // Checked immediately before each call, because the lease may have expired meanwhile.
        let fence = self
            .log
            .fence_for(DUTY_CALL_TIMEOUT_MS, self.gateway.steady_ms())?;
        Some(DutyClaim {
            holder: self.gateway.settings.node.name.clone(),
            fence,
        })
    }
}

/// Encodes a record of the topic. One without contents only takes an offset.
fn encode_record(record: &Option<DutyRecord>) -> Result<Bytes, BackendError> {
    let bytes = serde_json::to_vec(record);
    let bytes = bytes.map_err(|e| BackendError::NotDone(e.to_string()))?;
    Ok(bytes.into())
}

use {
    super::{model_loads::ModelLoads, replacements::Replacements, *},
    crate::{clock::BootInstant, policy::*},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// How long a read of the log may wait for new records, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Duration of a lease of a failure domain's duties, in milliseconds.
pub const LEASE_TERM_MS: u64 = 6_000;
/// Time, in milliseconds, that a paused holder may take to notice that its lease has
/// expired.
pub const PAUSE_ALLOWANCE_MS: u64 = 4_000;

/// The monotonic clock by which this box measures the lease of the duties. It also advances
/// while the machine is suspended.
#[derive(Debug)]
pub struct DutyClock {
    started: BootInstant,
}

impl DutyClock {
    /// Starts the clock at zero.
    pub fn new() -> Self {
        Self {
            started: BootInstant::now(),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Takes the lease of the failure domain's duties when it is free, and carries out the
/// duties while this box holds it.
pub async fn run_duties(world: Arc<World>) {
    let clock = DutyClock::new();
    let stream = format!("duties-{}", world.my_domain());
    let mut view = LeaseView::default();
    let mut next = 0;
    let mut first = true;
    // When this box's own appends started, by offset: its lease runs from that time.
    let mut append_times: BTreeMap<u64, u64> = BTreeMap::new();
    let mut replacements = Replacements::default();
    let mut model_loads = ModelLoads::default();
    loop {
        // The first read doesn't wait, so that a free lease is noticed at once.
        let wait_ms = if first { 0 } else { READ_WAIT_MS };
        first = false;
        let Ok(page) = world.backends.log.read(&stream, next, wait_ms).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        for entry in page.records {
            next = entry.offset + 1;
            if let Ok(record) = serde_json::from_str(&entry.data) {
                let append_started_ms = append_times.remove(&entry.offset);
                let now = clock.now_ms();
                view.fold(
                    entry.offset,
                    record,
                    &world.me,
                    append_started_ms,
                    now,
                    PAUSE_ALLOWANCE_MS,
                );
            }
        }
        next = next.max(page.next);
        match view.step(&world.me, LEASE_TERM_MS, clock.now_ms()) {
            LeaseStep::Append(record) if world.is_ready() => {
                let started_ms = clock.now_ms();
                let data = serde_json::to_string(&record).unwrap_or_default();
                if let Ok(offset) = world.backends.log.append(&stream, data).await {
                    append_times.insert(offset, started_ms);
                    next = next.min(offset);
                }
            }
            LeaseStep::Act {
                unfenced_allowed, ..
            } => {
                let may_act = || view.may_act(clock.now_ms());
                replacements.step(&world, &may_act).await;
                model_loads.step(&world, &may_act, unfenced_allowed).await;
            }
            LeaseStep::Append(_) | LeaseStep::Wait => {}
        }
    }
}

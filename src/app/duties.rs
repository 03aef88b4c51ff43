use {
    super::{model_loads::ModelLoads, replacements::Replacements, *},
    crate::{clock::BootInstant, policy::*},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const READ_WAIT_MS: u64 = 1_000;
const PAUSE: Duration = Duration::from_millis(250);
/// How long a lease of duties lasts.
pub const LEASE_TERM_MS: u64 = 6_000;
/// How long a paused holder may take to notice that its lease is over.
pub const PAUSE_ALLOWANCE_MS: u64 = 4_000;

/// This box's part in its failure domain's duties.
#[derive(Debug)]
pub struct DutyClock {
    started: BootInstant,
}

impl DutyClock {
    /// Starts the clock.
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

/// Takes the lease of the failure domain's duties when it is free, and does
/// the duties while it holds it.
pub async fn do_duties(world: Arc<World>) {
    let clock = DutyClock::new();
    let stream = format!("duties-{}", world.my_domain());
    let mut view = LeaseView::default();
    let mut next = 0;
    let mut first = true;
    let mut sent: BTreeMap<u64, u64> = BTreeMap::new();
    let mut replacements = Replacements::default();
    let mut model_loads = ModelLoads::default();
    loop {
        // The first read tells at once whether the lease is free.
        let wait_ms = if first { 0 } else { READ_WAIT_MS };
        first = false;
        let Ok(page) = world.borders.log.read(&stream, next, wait_ms).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        for entry in page.records {
            next = entry.offset + 1;
            if let Ok(record) = serde_json::from_str(&entry.data) {
                let appended = sent.remove(&entry.offset);
                let now = clock.now_ms();
                view.fold(
                    entry.offset,
                    record,
                    &world.me,
                    appended,
                    now,
                    PAUSE_ALLOWANCE_MS,
                );
            }
        }
        next = next.max(page.next);
        match view.step(&world.me, LEASE_TERM_MS, clock.now_ms()) {
            LeaseStep::Append(record) if world.is_ready() => {
                let at = clock.now_ms();
                let data = serde_json::to_string(&record).unwrap_or_default();
                if let Ok(offset) = world.borders.log.append(&stream, data).await {
                    sent.insert(offset, at);
                    next = next.min(offset);
                }
            }
            LeaseStep::Act { settled, .. } => {
                let may_act = || view.may_act(clock.now_ms());
                replacements.step(&world, &may_act).await;
                model_loads.step(&world, &may_act, settled).await;
            }
            LeaseStep::Append(_) | LeaseStep::Wait => {}
        }
    }
}

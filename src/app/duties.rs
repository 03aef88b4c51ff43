use {
    super::*,
    crate::{names::*, policy::*},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
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
    started: Instant,
}

impl DutyClock {
    /// Starts the clock.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
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
    let mut sent: BTreeMap<u64, u64> = BTreeMap::new();
    let mut replacement = Replacements::default();
    loop {
        let wait_ms = if next == 0 { 0 } else { READ_WAIT_MS };
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
            LeaseStep::Act { .. } => {
                replacement
                    .step(&world, || view.may_act(clock.now_ms()))
                    .await;
            }
            LeaseStep::Append(_) | LeaseStep::Wait => {}
        }
    }
}

/// Orders a box for each that is leaving.
#[derive(Debug, Default)]
struct Replacements {
    done: std::collections::BTreeSet<String>,
}

impl Replacements {
    async fn step(&mut self, world: &World, may_act: impl Fn() -> Option<u64>) {
        for b in lost_upstreams(world) {
            let token = format!("replace-{}-{}", b.id, b.incarnation);
            if self.done.contains(&token) {
                continue;
            }
            if self.order(world, &b, &token, &may_act).await {
                self.done.insert(token);
            }
        }
    }

    /// Orders a replacement: of the same class, or on-demand where that is refused.
    ///
    /// The token is the same whoever orders, so that an order whose answer was
    /// lost, and is given again by this or the next holder, is taken once.
    async fn order(
        &self,
        world: &World,
        lost: &BoxFact,
        token: &str,
        may_act: &impl Fn() -> Option<u64>,
    ) -> bool {
        for class in [lost.class, BoxClass::OnDemand] {
            let Some(fence) = may_act() else { return false };
            let order = crate::platform::BoxOrder {
                client_token: token.to_string(),
                fence,
                failure_domain: lost.failure_domain.clone(),
                class,
                service: lost.service.clone(),
            };
            match world.borders.cloud.order(&order).await {
                Ok(()) => {
                    log::info!(target: "duties", "ordered a box. for={} class={class:?} fence={fence}", lost.id);
                    return true;
                }
                Err(crate::platform::PlatformError::Refused) => {}
                Err(e) => {
                    log::debug!(target: "duties", "an order failed. error=\"{e}\"");
                    return self.is_taken(world, token).await;
                }
            }
        }
        false
    }

    /// An order whose answer was lost is settled by the list of orders.
    async fn is_taken(&self, world: &World, token: &str) -> bool {
        let orders = world.borders.cloud.orders().await;
        orders.is_ok_and(|o| o.iter().any(|o| o.client_token == token))
    }
}

fn lost_upstreams(world: &World) -> Vec<BoxFact> {
    let recent = now_ms().saturating_sub(600_000);
    let boxes = world.boxes.read();
    boxes
        .iter()
        .filter(|b| b.kind != BoxKind::Entry && b.state != BoxState::Live)
        .filter(|b| b.failure_domain == *world.my_domain() && b.leaves_at_ms > recent)
        .cloned()
        .collect()
}

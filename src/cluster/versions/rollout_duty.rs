use {
    crate::{
        cluster::{BackendError, RolloutStatusStore, WriteOutcome},
        gateway::Gateway,
        names::now_ms,
        rollouts::{Rollout, RolloutState, RolloutSteps, RolloutView, VersionEvaluator},
    },
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// A rollout that this daemon leads.
#[derive(Debug)]
struct LedRollout {
    order: u64,
    steps: RolloutSteps,
    evaluator: VersionEvaluator,
}

/// Leads the rollouts while this daemon holds the duties: evaluates the new version, decides on the
/// next step, announces it, and writes it to the status store. The written records are the only
/// state that must outlast the leader: the next leader continues from them.
pub struct RolloutDuty {
    store: Arc<dyn RolloutStatusStore>,
    led: HashMap<String, LedRollout>,
    /// The fencing token under which the written records were read; none before the first read.
    loaded_fence: Option<u64>,
    /// Records that the status store has not accepted yet, with their numbers.
    unwritten: VecDeque<(u64, Rollout)>,
    last_number: u64,
}

impl RolloutDuty {
    /// Creates the duty of a daemon, which writes to a status store.
    pub fn new(store: Arc<dyn RolloutStatusStore>) -> Self {
        Self {
            store,
            led: HashMap::new(),
            loaded_fence: None,
            unwritten: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Queues the newest known status of each led rollout to be written again, as the status store
    /// may have lost it.
    pub fn write_again(&mut self, gateway: &Gateway) {
        let rollouts = gateway.rollouts.lock();
        let led: Vec<Rollout> = rollouts.iter().filter(|r| r.fence > 0).cloned().collect();
        drop(rollouts);
        for rollout in led {
            self.last_number += 1;
            self.unwritten.push_back((self.last_number, rollout));
        }
    }

    /// Performs the rollout steps that are due.
    ///
    /// # Errors
    ///
    /// Returns an error if a call to the status store failed. The call is repeated at the next run.
    pub async fn run_due_steps(
        &mut self,
        gateway: &Gateway,
        fence: u64,
    ) -> Result<(), BackendError> {
        let open: Vec<Rollout> = {
            let rollouts = gateway.rollouts.lock();
            let open = rollouts.iter();
            open.filter(|r| r.state == RolloutState::InProgress)
                .cloned()
                .collect()
        };
        if open.is_empty() && self.unwritten.is_empty() {
            return Ok(());
        }
        if self.loaded_fence != Some(fence) {
            self.begin(gateway, fence).await?;
        }
        for rollout in open {
            // The records read above may say that the rollout has ended.
            let known = gateway.rollouts.lock().get(&rollout.service).cloned();
            if let Some(rollout) = known.filter(|r| r.state == RolloutState::InProgress) {
                self.lead(gateway, rollout, fence);
            }
        }
        self.write(fence).await
    }

    /// Begins to lead: continues from the written records. The status store is taken over before it
    /// is read. Otherwise a former leader could still write an outcome after the read, which this
    /// leader would not see, and the operator would read two different outcomes.
    async fn begin(&mut self, gateway: &Gateway, fence: u64) -> Result<(), BackendError> {
        self.store.take_over(fence).await?;
        let mut written = self.store.read().await?;
        // The store is taken over, so no leader has written under a later token. Such a record of another
        // writer would outrank all steps of this one.
        written.retain(|rollout| rollout.fence <= fence);
        gateway.apply_rollouts(&written);
        self.led.clear();
        self.unwritten.clear();
        self.last_number = 0;
        self.loaded_fence = Some(fence);
        self.write_missing(gateway, &written);
        Ok(())
    }

    /// Queues the status of ended rollouts of which the status store has an earlier one: it has
    /// lost what a former leader wrote.
    fn write_missing(&mut self, gateway: &Gateway, written: &[Rollout]) {
        let rollouts = gateway.rollouts.lock();
        let is_missing = |known: &&Rollout| {
            let has_ended = known.fence > 0 && known.state != RolloutState::InProgress;
            let in_store = written.iter().find(|r| r.service == known.service);
            has_ended && in_store.is_none_or(|r| r.rank() < known.rank())
        };
        let missing: Vec<Rollout> = rollouts.iter().filter(is_missing).cloned().collect();
        drop(rollouts);
        for rollout in missing {
            self.last_number += 1;
            self.unwritten.push_back((self.last_number, rollout));
        }
    }

    fn lead(&mut self, gateway: &Gateway, rollout: Rollout, fence: u64) {
        let current = self.led.get(&rollout.service);
        if current.is_none_or(|led| led.order != rollout.order) {
            let max_unproven_share = gateway.settings.bounds.canary_share as f32;
            let led = LedRollout {
                order: rollout.order,
                steps: RolloutSteps::new(max_unproven_share, rollout.share),
                evaluator: VersionEvaluator::default(),
            };
            self.led.insert(rollout.service.clone(), led);
        }
        let Some(led) = self.led.get_mut(&rollout.service) else {
            return;
        };
        let batch = gateway
            .version_count_table
            .lock()
            .take(&rollout.service, rollout.order);
        led.evaluator.record(&batch);
        let started_ms = match rollout.started_ms {
            0 => now_ms(),
            started_ms => started_ms,
        };
        let view = view_of(gateway, &rollout, &led.evaluator, started_ms);
        let state = led.steps.next(view);
        let share = led.steps.share();
        let is_step = state != rollout.state || share != rollout.share || rollout.fence != fence;
        let steps_before = match rollout.fence == fence {
            true => rollout.step,
            false => 0,
        };
        let updated = Rollout {
            fence,
            step: steps_before.saturating_add(u32::from(is_step)),
            share,
            state,
            started_ms,
            age_ms: 0,
            ..rollout
        };
        gateway.apply_rollouts(std::slice::from_ref(&updated));
        if !is_step {
            return;
        }
        let worst = led.evaluator.worst();
        log::info!(
            target: "rollout",
            "step. service={} target={} state={} share={share} elapsed_ms={} deadline_ms={} judgement={:?} answers={} bad={} usual_rate={:.3} log_ratio={:.1} worst_answers={} worst_bad={} target_slots={} other_slots={} busy_others={}",
            updated.service,
            updated.target,
            state.as_str(),
            view.elapsed_ms,
            view.deadline_ms,
            view.assessment,
            led.evaluator.all().answers,
            led.evaluator.all().bad,
            worst.baseline_rate(),
            worst.log_ratio(),
            worst.answers,
            worst.bad,
            view.target_slots,
            view.other_slots,
            view.busy_others
        );
        self.last_number += 1;
        self.unwritten.push_back((self.last_number, updated));
    }

    /// Writes the records that the status store has not accepted yet, in order. A record whose write
    /// got no answer may have been stored, and is sent again under the same number.
    async fn write(&mut self, fence: u64) -> Result<(), BackendError> {
        while let Some((number, rollout)) = self.unwritten.front() {
            match self.store.write(rollout, fence, *number).await? {
                WriteOutcome::Taken => {
                    self.unwritten.pop_front();
                }
                WriteOutcome::Renumber(next) => {
                    self.renumber(next);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn renumber(&mut self, next: u64) {
        for ((number, _), new_number) in self.unwritten.iter_mut().zip(next..) {
            *number = new_number;
            self.last_number = new_number;
        }
    }
}

fn view_of(
    gateway: &Gateway,
    rollout: &Rollout,
    evaluator: &VersionEvaluator,
    started_ms: u64,
) -> RolloutView {
    let (target_slots, other_slots) = gateway.version_slots(&rollout.service, &rollout.target);
    let service = rollout.service.as_str().into();
    let table = gateway.table();
    RolloutView {
        elapsed_ms: now_ms().saturating_sub(started_ms),
        deadline_ms: (rollout.deadline_s.max(0.0) * 1_000.0) as u64,
        is_known: table.is_none_or(|t| t.find_service(&service).is_some()),
        target_slots,
        other_slots,
        busy_others: gateway.active_at_other_versions(&rollout.service, &rollout.target),
        assessment: evaluator.assessment(),
    }
}

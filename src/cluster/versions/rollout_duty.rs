use {
    crate::{
        cluster::{BackendError, StatusBoard, WriteOutcome},
        gateway::Gateway,
        names::now_ms,
        rollouts::{Rollout, RolloutState, RolloutSteps, RolloutView, VersionEvaluator},
    },
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// A roll-out that this daemon leads.
#[derive(Debug)]
struct Led {
    order: u64,
    steps: RolloutSteps,
    evaluator: VersionEvaluator,
}

/// Leads the roll-outs while this daemon holds the duties: judges, decides on the next
/// step, tells it, and writes it down. What is written is all that must last: a daemon
/// that leads later goes on from there.
pub struct RolloutDuty {
    board: Arc<dyn StatusBoard>,
    led: HashMap<String, Led>,
    /// The fence under which what is written was read.
    read_under: Option<u64>,
    /// Records that the board has not taken yet, with their numbers.
    unwritten: VecDeque<(u64, Rollout)>,
    last_number: u64,
}

impl RolloutDuty {
    /// Makes the leader of a daemon.
    pub fn new(board: Arc<dyn StatusBoard>) -> Self {
        Self {
            board,
            led: HashMap::new(),
            read_under: None,
            unwritten: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Takes the steps that are due.
    ///
    /// # Errors
    ///
    /// Returns how a call to the board failed; it is made again at the next turn.
    pub async fn turn(&mut self, gateway: &Gateway, fence: u64) -> Result<(), BackendError> {
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
        if self.read_under != Some(fence) {
            self.begin(gateway, fence).await?;
        }
        for rollout in open {
            // The record may have told that it is over.
            let known = gateway.rollouts.lock().get(&rollout.service).cloned();
            if let Some(rollout) = known.filter(|r| r.state == RolloutState::InProgress) {
                self.lead(gateway, rollout, fence);
            }
        }
        self.write(fence).await
    }

    /// Begins to lead: goes on from what is written. The board is taken over before it is
    /// read: else a leader before could still write an outcome that is not seen here, and
    /// the operator would read two that differ.
    async fn begin(&mut self, gateway: &Gateway, fence: u64) -> Result<(), BackendError> {
        self.board.take_over(fence).await?;
        gateway.apply_rollouts(&self.board.read().await?);
        self.led.clear();
        self.unwritten.clear();
        self.last_number = 0;
        self.read_under = Some(fence);
        Ok(())
    }

    fn lead(&mut self, gateway: &Gateway, rollout: Rollout, fence: u64) {
        let is_led = self.led.get(&rollout.service);
        if is_led.is_none_or(|led| led.order != rollout.order) {
            let most_unproved = gateway.settings.bounds.canary_share as f32;
            let led = Led {
                order: rollout.order,
                steps: RolloutSteps::new(most_unproved, rollout.share),
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
        let told = Rollout {
            fence,
            step: rollout.step + u32::from(is_step),
            share,
            state,
            started_ms,
            age_ms: 0,
            ..rollout
        };
        gateway.apply_rollouts(std::slice::from_ref(&told));
        if !is_step {
            return;
        }
        let worst = led.evaluator.worst();
        log::info!(
            target: "rollout",
            "step. service={} target={} state={} share={share} elapsed_ms={} deadline_ms={} judgement={:?} answers={} bad={} usual_rate={:.3} log_ratio={:.1} worst_answers={} worst_bad={} target_slots={} other_slots={} busy_others={}",
            told.service,
            told.target,
            state.as_str(),
            view.elapsed_ms,
            view.deadline_ms,
            view.assessment,
            led.evaluator.all().answers,
            led.evaluator.all().bad,
            worst.usual_rate(),
            worst.log_ratio(),
            worst.answers,
            worst.bad,
            view.target_slots,
            view.other_slots,
            view.busy_others
        );
        self.last_number += 1;
        self.unwritten.push_back((self.last_number, told));
    }

    /// Writes what the board has not taken yet, in order: one that got no answer may have
    /// been taken, and is sent again under its number.
    async fn write(&mut self, fence: u64) -> Result<(), BackendError> {
        while let Some((number, rollout)) = self.unwritten.front() {
            match self.board.write(rollout, fence, *number).await? {
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
        for ((number, _), in_turn) in self.unwritten.iter_mut().zip(next..) {
            *number = in_turn;
            self.last_number = in_turn;
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

use super::{Assessment, RolloutState};

/// The shares that follow the first one, each with the fraction of the time until the
/// deadline up to which it holds. The share rises late and fast: while a version may still
/// turn out to be bad, it gets a small share. The requests that it gets during the rise
/// count towards the bound too, and the remaining time is left for the old versions to
/// become idle.
const SHARE_SCHEDULE: [(f64, f32); 3] = [(0.58, 0.25), (0.66, 0.6), (1.0, 1.0)];
/// Fraction of the time until the deadline up to which a version keeps its first share.
const FIRST_SHARE_UNTIL: f64 = 0.5;
/// The first share as a fraction of the share that a bad version may get. The rest is a
/// reserve for the requests that a version gets that turns bad late, until it is found.
const FIRST_SHARE_FRACTION: f32 = 0.5;
/// Share from which a version counts as getting most requests.
const MAJORITY_SHARE: f32 = 0.5;
/// Time before the deadline at which a rollout is decided at the latest, in milliseconds.
/// It covers a slow write and an order that was received late.
const DECISION_MARGIN_MS: u64 = 2_000;
/// Time for which no request may be known to run at the old versions, while all requests go
/// to the new one, before the old ones are stopped, in milliseconds. It spans a few digests,
/// so that each daemon knows the new share and requests in transit have arrived.
const MIN_IDLE_MS: u64 = 1_500;

/// The inputs of a step of a rollout that is in progress.
#[derive(Clone, Copy, Debug)]
pub struct RolloutView {
    /// The time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// The time from the order to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// True if the configuration contains the service.
    pub is_known: bool,
    /// Number of slots of ready upstreams of the new version.
    pub target_slots: u32,
    /// Number of slots of ready upstreams of other versions.
    pub other_slots: u32,
    /// Number of requests that run or wait at upstreams of other versions.
    pub busy_others: u32,
    /// The assessment of the new version.
    pub assessment: Assessment,
}

/// The steps of one rollout, as its leader takes them.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSteps {
    /// The share of all requests that a bad version may get.
    max_unproven_share: f32,
    share: f32,
    idle_since_ms: Option<u64>,
    /// True once other versions were seen; without them there is nothing to move.
    has_seen_others: bool,
}

impl RolloutSteps {
    /// Starts a rollout, or continues one at the share that an earlier leader reached.
    pub fn new(max_unproven_share: f32, share: f32) -> Self {
        Self {
            max_unproven_share,
            share,
            idle_since_ms: None,
            has_seen_others: share > 0.0,
        }
    }

    /// Returns the share of requests that the new version gets now, 0 to 1.
    pub fn share(&self) -> f32 {
        self.share
    }

    /// Takes the next step: updates the share and returns the state that follows.
    pub fn next(&mut self, view: RolloutView) -> RolloutState {
        self.has_seen_others |= view.other_slots > 0;
        let has_majority = self.share >= MAJORITY_SHARE;
        let is_bad = match view.assessment {
            Assessment::Bad => true,
            Assessment::StronglySuspected => has_majority,
            _ => false,
        };
        if is_bad || !view.is_known {
            return self.finish(RolloutState::RolledBack);
        }
        let is_deadline_near = view.elapsed_ms + DECISION_MARGIN_MS >= view.deadline_ms;
        if view.target_slots == 0 {
            self.share = 0.0;
            self.idle_since_ms = None;
            return match is_deadline_near {
                true => self.finish(RolloutState::RolledBack),
                false => RolloutState::InProgress,
            };
        }
        if !self.has_seen_others && view.elapsed_ms >= MIN_IDLE_MS {
            // The new version is the only one that runs.
            return self.finish(RolloutState::Completed);
        }
        self.share = self.next_share(view);
        let all_moved = self.share >= 1.0;
        if all_moved && self.is_idle(view) && view.assessment == Assessment::Good {
            return self.finish(RolloutState::Completed);
        }
        match (
            is_deadline_near,
            all_moved && view.assessment == Assessment::Good,
        ) {
            (true, true) => self.finish(RolloutState::Completed),
            (true, false) => self.finish(RolloutState::RolledBack),
            (false, _) => RolloutState::InProgress,
        }
    }

    fn next_share(&self, view: RolloutView) -> f32 {
        let elapsed_fraction = view.elapsed_ms as f64 / view.deadline_ms.max(1) as f64;
        let planned = SHARE_SCHEDULE
            .iter()
            .find(|(until, _)| elapsed_fraction < *until);
        let planned = planned.map_or(1.0, |(_, share)| *share);
        let first = self.max_unproven_share * FIRST_SHARE_FRACTION;
        let is_first =
            elapsed_fraction < FIRST_SHARE_UNTIL || view.assessment == Assessment::Unknown;
        let share = match view.assessment {
            _ if is_first => first,
            Assessment::Suspected | Assessment::StronglySuspected => {
                // The maximum for a bad version settles the suspicion soon, within the bound.
                planned.min(self.max_unproven_share)
            }
            _ => planned,
        };
        // A version with too few upstreams gets no more than these can run.
        let slots = view.target_slots as f32;
        let capacity_share = slots / (view.other_slots as f32 * 0.5).max(1.0);
        share.min(capacity_share.max(first))
    }

    /// Returns true if no request has been known to run at the old versions for
    /// `MIN_IDLE_MS`.
    fn is_idle(&mut self, view: RolloutView) -> bool {
        if view.busy_others > 0 {
            self.idle_since_ms = None;
            return false;
        }
        let since_ms = *self.idle_since_ms.get_or_insert(view.elapsed_ms);
        view.elapsed_ms >= since_ms + MIN_IDLE_MS
    }

    fn finish(&mut self, state: RolloutState) -> RolloutState {
        self.share = match state {
            RolloutState::Completed => 1.0,
            RolloutState::RolledBack => 0.0,
            RolloutState::InProgress => self.share,
        };
        state
    }
}

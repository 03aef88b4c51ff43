use super::{Assessment, RolloutState};

/// The shares that follow the first one, each until a part of the time until the
/// deadline. Late and fast: while a version may still turn out bad, it gets a small share;
/// what it gets while it rises counts towards the bound, too, and the rest is left for the
/// old ones to become idle.
const RISE: [(f64, f32); 3] = [(0.58, 0.25), (0.66, 0.6), (1.0, 1.0)];
/// Until which part of the time a version keeps its first share.
const FIRST_UNTIL: f64 = 0.5;
/// Of the share that a bad version may get, how much the first share is: the rest is for
/// what comes before a version is found to be bad that turns bad late.
const FIRST_PART: f32 = 0.5;
/// The share from which on a version gets most requests.
const MOST: f32 = 0.5;
/// How long before its deadline a roll-out is decided at the latest, in milliseconds: a
/// slow write, and that the order was heard late.
const MARGIN_MS: u64 = 2_000;
/// For how long nothing may have been known to run at the old versions, all requests
/// going to the new one, before they are stopped, in milliseconds: some digests, so that
/// each daemon has heard, and a request on its way has arrived.
const IDLE_MS: u64 = 1_500;

/// What is known at a moment of a roll-out that is in progress.
#[derive(Clone, Copy, Debug)]
pub struct RolloutView {
    /// The time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// The time from the order to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the configuration names the service.
    pub is_known: bool,
    /// Slots of ready upstreams of the new version.
    pub target_slots: u32,
    /// Slots of ready upstreams of other versions.
    pub other_slots: u32,
    /// Requests that run or wait at upstreams of other versions.
    pub busy_others: u32,
    /// What is known of the new version.
    pub assessment: Assessment,
}

/// The steps of one roll-out, as its leader takes them.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSteps {
    /// The share that a bad version may get of all requests.
    most_unproved: f32,
    share: f32,
    idle_since_ms: Option<u64>,
    /// Whether other versions were seen: without, there is nothing to move.
    has_seen_others: bool,
}

impl RolloutSteps {
    /// Starts, or goes on at the share that a leader before got to.
    pub fn new(most_unproved: f32, share: f32) -> Self {
        Self {
            most_unproved,
            share,
            idle_since_ms: None,
            has_seen_others: share > 0.0,
        }
    }

    /// Returns the share of requests that the new version gets now.
    pub fn share(&self) -> f32 {
        self.share
    }

    /// Decides on the next step.
    pub fn next(&mut self, view: RolloutView) -> RolloutState {
        self.has_seen_others |= view.other_slots > 0;
        let gets_most = self.share >= MOST;
        let is_bad = match view.assessment {
            Assessment::Bad => true,
            Assessment::StronglySuspected => gets_most,
            _ => false,
        };
        if is_bad || !view.is_known {
            return self.end(RolloutState::RolledBack);
        }
        let is_last = view.elapsed_ms + MARGIN_MS >= view.deadline_ms;
        if view.target_slots == 0 {
            self.share = 0.0;
            self.idle_since_ms = None;
            return match is_last {
                true => self.end(RolloutState::RolledBack),
                false => RolloutState::InProgress,
            };
        }
        if !self.has_seen_others && view.elapsed_ms >= IDLE_MS {
            // The version that runs already.
            return self.end(RolloutState::Completed);
        }
        self.share = self.next_share(view);
        let all_moved = self.share >= 1.0;
        if all_moved && self.is_idle(view) && view.assessment == Assessment::Good {
            return self.end(RolloutState::Completed);
        }
        match (is_last, all_moved && view.assessment == Assessment::Good) {
            (true, true) => self.end(RolloutState::Completed),
            (true, false) => self.end(RolloutState::RolledBack),
            (false, _) => RolloutState::InProgress,
        }
    }

    fn next_share(&self, view: RolloutView) -> f32 {
        let part = view.elapsed_ms as f64 / view.deadline_ms.max(1) as f64;
        let planned = RISE.iter().find(|(until, _)| part < *until);
        let planned = planned.map_or(1.0, |(_, share)| *share);
        let first = self.most_unproved * FIRST_PART;
        let is_first = part < FIRST_UNTIL || view.assessment == Assessment::Unknown;
        let share = match view.assessment {
            _ if is_first => first,
            Assessment::Suspected | Assessment::StronglySuspected => {
                // As much as a bad one may get: known soon, and within the bound.
                planned.min(self.most_unproved)
            }
            _ => planned,
        };
        // A version with too few upstreams gets what these can bear.
        let slots = view.target_slots as f32;
        let room = slots / (view.other_slots as f32 * 0.5).max(1.0);
        share.min(room.max(first))
    }

    /// Returns whether nothing has been known to run at the old versions for a while.
    fn is_idle(&mut self, view: RolloutView) -> bool {
        if view.busy_others > 0 {
            self.idle_since_ms = None;
            return false;
        }
        let since_ms = *self.idle_since_ms.get_or_insert(view.elapsed_ms);
        view.elapsed_ms >= since_ms + IDLE_MS
    }

    fn end(&mut self, state: RolloutState) -> RolloutState {
        self.share = match state {
            RolloutState::Completed => 1.0,
            RolloutState::RolledBack => 0.0,
            RolloutState::InProgress => self.share,
        };
        state
    }
}

use {
    bincode::{Decode, Encode},
    serde::{Deserialize, Serialize},
};

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The new version gets a share of the requests and is assessed against the old ones.
    InProgress,
    /// The new version gets all requests, and the old ones stop at once.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

impl RolloutState {
    /// Returns the name of the state.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// An operator's order to move a service's requests to a version of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// The time within which the rollout has to be decided, in seconds.
    pub deadline_s: f64,
    /// The order's number, from 1: a later order replaces an earlier one. It is the order's
    /// offset in its source plus one, unless the source has returned from an older copy.
    pub offset: u64,
}

/// A rollout as its leader last announced it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Rollout {
    /// The service.
    pub service: String,
    /// The version that the service moves to.
    pub target: String,
    /// The time within which the rollout has to be decided, in seconds from its start.
    pub deadline_s: f64,
    /// The offset of the order in its source.
    pub order: u64,
    /// The leader's fencing token: a later leader has a higher one.
    pub fence: u64,
    /// The number of the leader's step; rises with each step.
    pub step: u32,
    /// The share of requests that the new version gets, 0 to 1.
    pub share: f32,
    /// The state of the rollout.
    pub state: RolloutState,
    /// When its first leader started the rollout, in Unix milliseconds; 0 if none did.
    pub started_ms: u64,
    /// The time since the leader announced this, in milliseconds.
    pub age_ms: u32,
}

impl Rollout {
    /// Makes a rollout that no daemon leads yet: the new version gets no requests.
    pub fn ordered(order: &RolloutOrder) -> Self {
        Self {
            service: order.service.clone(),
            target: order.target.clone(),
            deadline_s: order.deadline_s,
            order: order.offset,
            fence: 0,
            step: 0,
            share: 0.0,
            state: RolloutState::InProgress,
            started_ms: 0,
            age_ms: 0,
        }
    }

    /// Returns the rank that orders announcements of a service's rollout: a newer one has a
    /// higher rank.
    pub fn rank(&self) -> (u64, u64, u32) {
        (self.order, self.fence, self.step)
    }
}

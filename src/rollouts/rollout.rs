use {
    bincode::{Decode, Encode},
    serde::{Deserialize, Serialize},
};

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The new version is judged beside the old ones.
    InProgress,
    /// The new version gets all requests; the old ones stop at once.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

impl RolloutState {
    /// Returns the state as a word.
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
    /// The version.
    pub target: String,
    /// Within how long it is to be decided, in seconds.
    pub deadline_s: f64,
    /// Rises with the order's place in its source, from 1: a later one takes its place.
    pub offset: u64,
}

/// A roll-out as its leader told it last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Rollout {
    /// The service.
    pub service: String,
    /// The version that it moves to.
    pub target: String,
    /// Within how long it is to be decided, in seconds from when it began.
    pub deadline_s: f64,
    /// Where the order stands in its source.
    pub order: u64,
    /// The leader's fence: one that leads later has a higher one.
    pub fence: u64,
    /// Rises with each step of a leader.
    pub step: u32,
    /// The share of requests that the new version gets, 0 to 1.
    pub share: f32,
    /// How far it is.
    pub state: RolloutState,
    /// When its first leader took it up, in Unix milliseconds; 0 if none did.
    pub started_ms: u64,
    /// How long ago the leader said so, in milliseconds.
    pub age_ms: u32,
}

impl Rollout {
    /// Starts a roll-out that no daemon leads yet: the new version gets nothing.
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

    /// Returns what decides which of two words on a service's roll-out is the newer one.
    pub fn rank(&self) -> (u64, u64, u32) {
        (self.order, self.fence, self.step)
    }
}

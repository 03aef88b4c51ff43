use {super::RoomLane, crate::names::ClientAccount};

/// The least work that a request counts for, in milliseconds: its cost beside reading its prompt.
pub(super) const MIN_WORK_MS: f64 = 1.0;

/// A request that waits for room at the upstreams of its service. Times are milliseconds of a
/// steady clock.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The client account, or an empty name for requests without one.
    pub account: ClientAccount,
    /// When the request began to wait.
    pub arrived_ms: u64,
    /// The last moment at which sending the request still gives an answer within its target latency.
    pub latest_start_ms: u64,
    /// When the client gives up the request.
    pub given_up_ms: u64,
    /// How long an upstream of the usual speed reads its prompt, in milliseconds.
    pub work_ms: f64,
}

impl WaitingRequest {
    /// Returns the work that the request counts for, in milliseconds.
    pub(super) fn counted_work_ms(&self) -> f64 {
        self.work_ms.max(MIN_WORK_MS)
    }

    /// Returns whether the request, if it begins after `wait_ms`, does so before it is given up.
    pub fn begins_in_time(&self, wait_ms: f64, now_ms: u64) -> bool {
        now_ms as f64 + wait_ms < self.given_up_ms as f64
    }

    /// Returns the lane in which the request waits now.
    pub fn lane(&self, now_ms: u64) -> RoomLane {
        RoomLane {
            is_late: self.latest_start_ms < now_ms,
            priority: self.priority,
        }
    }

    /// Returns the rank inside a lane; the lowest goes first. In time, that is the request that has
    /// to be sent soonest; among late ones, which have no time left to compare, the oldest.
    pub fn rank(&self, lane: RoomLane) -> u64 {
        match lane.is_late {
            false => self.latest_start_ms,
            true => self.arrived_ms,
        }
    }
}

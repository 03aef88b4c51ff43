use {
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// How many requests a runner takes, and how many it may reject.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Number of requests that run at once.
    pub slots: usize,
    /// Number of requests that wait for a slot. Others are rejected.
    pub queue: usize,
    /// How long each request runs.
    pub run_time: Duration,
    /// The runner crashes when it has to reject more requests than this within a second, and says so in
    /// all answers. Without it, it rejects any number.
    pub max_rejections: Option<u32>,
    /// How long the runner is down after such a crash.
    pub down_time: Duration,
}

/// The period in which rejections are counted.
const REJECTION_PERIOD: Duration = Duration::from_secs(1);

/// The requests that a runner with a [`Capacity`] has.
#[derive(Debug)]
pub(super) struct Occupancy {
    pub capacity: Capacity,
    slots: Arc<Semaphore>,
    /// Running and waiting requests.
    present: usize,
    rejected: VecDeque<Instant>,
}

impl Occupancy {
    pub fn new(capacity: Capacity) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(capacity.slots)),
            capacity,
            present: 0,
            rejected: VecDeque::new(),
        }
    }

    /// Takes a request in. Returns the slots of which it has to wait for one, or none if it is rejected.
    pub fn enter(&mut self) -> Option<Arc<Semaphore>> {
        if self.present >= self.capacity.slots + self.capacity.queue {
            self.rejected.push_back(Instant::now());
            return None;
        }
        self.present += 1;
        Some(self.slots.clone())
    }

    pub fn leave(&mut self) {
        self.present -= 1;
    }

    /// Returns whether the runner has to crash, because it rejected too many requests.
    pub fn is_overloaded(&mut self) -> bool {
        let first = Instant::now().checked_sub(REJECTION_PERIOD);
        while self.rejected.front().is_some_and(|at| Some(*at) < first) {
            self.rejected.pop_front();
        }
        let max = self.capacity.max_rejections;
        max.is_some_and(|max| self.rejected.len() > max as usize)
    }
}

/// Waits for a slot.
pub(super) async fn take_slot(slots: Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
    slots.acquire_owned().await.ok()
}

use {
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
};

/// Body of `/control/faults`: the faults to inject. Fields that are left out keep their
/// present value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder {
    /// Delay before each request is handled, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of requests to refuse without executing them; -1 for all.
    pub refuse: Option<i64>,
    /// Number of requests to execute without sending the answer; -1 for all.
    pub lose_answers: Option<i64>,
    /// Closes the connection on every request while true.
    pub down: Option<bool>,
}

/// The faults that are injected at present.
#[derive(Debug, Default)]
pub struct Faults {
    delay_ms: AtomicU64,
    refuse: AtomicI64,
    lose_answers: AtomicI64,
    down: AtomicBool,
}

impl Faults {
    /// Applies an order.
    pub fn apply(&self, order: &FaultOrder) {
        if let Some(ms) = order.delay_ms {
            self.delay_ms.store(ms, Ordering::SeqCst);
        }
        if let Some(n) = order.refuse {
            self.refuse.store(n, Ordering::SeqCst);
        }
        if let Some(n) = order.lose_answers {
            self.lose_answers.store(n, Ordering::SeqCst);
        }
        if let Some(down) = order.down {
            self.down.store(down, Ordering::SeqCst);
        }
    }

    /// Returns the delay of each request in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.delay_ms.load(Ordering::SeqCst)
    }

    /// Returns true while every request is to fail.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Returns true if this request is to be refused, and counts it.
    pub fn take_refusal(&self) -> bool {
        take_one(&self.refuse)
    }

    /// Returns true if this answer is to be lost, and counts it.
    pub fn take_lost_answer(&self) -> bool {
        take_one(&self.lose_answers)
    }
}

/// Counts a positive `n` down. Returns false if `n` is 0; negative values stay.
fn take_one(n: &AtomicI64) -> bool {
    let decremented = |n: i64| match n {
        0 => None,
        n if n < 0 => Some(n),
        n => Some(n - 1),
    };
    n.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decremented)
        .is_ok()
}

use {
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
};

/// How a stand-in misbehaves, as sent to `/control/faults`. A field that is
/// left out stays as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder {
    /// Milliseconds that every answer waits.
    pub delay_ms: Option<u64>,
    /// How many requests to refuse before doing anything; -1 for all.
    pub refuse: Option<i64>,
    /// How many answers to lose after acting; -1 for all.
    pub lose_answers: Option<i64>,
    /// Whether every request is turned away.
    pub down: Option<bool>,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct Faults {
    delay_ms: AtomicU64,
    refuse: AtomicI64,
    lose_answers: AtomicI64,
    down: AtomicBool,
}

impl Faults {
    /// Puts an order in force.
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

    /// Returns the delay of answers in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.delay_ms.load(Ordering::SeqCst)
    }

    /// Returns whether every request is turned away.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Returns whether this request is to be refused.
    pub fn take_refusal(&self) -> bool {
        take_one(&self.refuse)
    }

    /// Returns whether this answer is to be lost.
    pub fn take_lost_answer(&self) -> bool {
        take_one(&self.lose_answers)
    }
}

fn take_one(n: &AtomicI64) -> bool {
    let decremented = |n: i64| match n {
        0 => None,
        n if n < 0 => Some(n),
        n => Some(n - 1),
    };
    n.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decremented)
        .is_ok()
}

use std::{collections::HashMap, time::Instant};

/// The store's reply to the number of a producer's append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NumberCheck {
    /// The append follows the last one.
    Next,
    /// The append was accepted before.
    Repeated,
    /// A later epoch has been seen.
    Fenced,
    /// The append does not follow the last one; this sequence number was expected.
    OutOfOrder(u64),
}

/// The newest epoch and sequence number of each producer, with their history.
#[derive(Clone, Debug, Default)]
pub struct Producers {
    accepted: HashMap<String, Vec<(Instant, u64, u64)>>,
}

impl Producers {
    /// Checks the epoch and sequence number of a producer's append, and records them if the
    /// append is the next one.
    pub fn check(&mut self, producer: String, epoch: u64, sequence: u64) -> NumberCheck {
        let accepted = self.accepted.entry(producer).or_default();
        let (_, last_epoch, last) = accepted.last().copied().unwrap_or((Instant::now(), 0, 0));
        if epoch < last_epoch {
            return NumberCheck::Fenced;
        }
        if epoch == last_epoch && sequence <= last {
            return NumberCheck::Repeated;
        }
        if epoch == last_epoch && sequence != last + 1 {
            return NumberCheck::OutOfOrder(last + 1);
        }
        accepted.push((Instant::now(), epoch, sequence));
        NumberCheck::Next
    }

    /// Goes back to the state of an earlier time.
    pub fn restore(&mut self, state_of: Instant) {
        for accepted in self.accepted.values_mut() {
            accepted.retain(|(at, ..)| *at <= state_of);
        }
    }
}

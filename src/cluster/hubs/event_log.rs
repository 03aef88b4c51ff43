use {crate::cluster::MemberEvent, std::collections::VecDeque};

/// How often an event is told: a datagram may be lost.
const TOLD_TIMES: u8 = 2;
/// How many events wait to be told at most; the oldest are dropped, since hubs
/// only learn from them.
const MAX_WAITING: usize = 48;

/// What happened to a daemon's requests, as far as hubs have not heard of it.
#[derive(Debug, Default)]
pub struct EventLog {
    last: u64,
    waiting: VecDeque<(u64, u8, MemberEvent)>,
}

impl EventLog {
    /// Notes an event.
    pub fn record(&mut self, event: MemberEvent) {
        self.last += 1;
        self.waiting.push_back((self.last, 0, event));
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_front();
        }
    }

    /// Returns the events to tell next, with their numbers.
    pub fn to_announce(&mut self, most: usize) -> Vec<(u64, MemberEvent)> {
        let mut told = Vec::new();
        for (number, times, event) in self.waiting.iter_mut().take(most) {
            *times += 1;
            told.push((*number, event.clone()));
        }
        self.waiting.retain(|(_, times, _)| *times < TOLD_TIMES);
        told
    }

    /// Returns whether something waits to be told for the first time.
    pub fn has_unannounced(&self) -> bool {
        self.waiting.iter().any(|(_, times, _)| *times == 0)
    }
}

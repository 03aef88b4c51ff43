use {crate::cluster::MemberEvent, std::collections::VecDeque};

/// How many reports carry an event, since a datagram may be lost.
const ANNOUNCEMENTS: u8 = 2;
/// The most events that wait to be announced. The oldest are dropped beyond that: hubs use events
/// only to learn how upstreams and engines perform.
const MAX_WAITING: usize = 48;

/// Events of a daemon's requests, or samples from them, that are still to be announced to hubs.
#[derive(Debug)]
pub struct EventLog<T = MemberEvent> {
    last_number: u64,
    /// The number of each event, how many times it was announced, and the event.
    waiting: VecDeque<(u64, u8, T)>,
}

impl<T> Default for EventLog<T> {
    fn default() -> Self {
        Self {
            last_number: 0,
            waiting: VecDeque::new(),
        }
    }
}

impl<T: Clone> EventLog<T> {
    /// Adds an event.
    pub fn record(&mut self, event: T) {
        self.last_number += 1;
        self.waiting.push_back((self.last_number, 0, event));
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_front();
        }
    }

    /// Returns at most `most` events to announce next, the oldest first, with their numbers.
    pub fn to_announce(&mut self, most: usize) -> Vec<(u64, T)> {
        let mut announced = Vec::new();
        for (number, times, event) in self.waiting.iter_mut().take(most) {
            *times += 1;
            announced.push((*number, event.clone()));
        }
        self.waiting.retain(|(_, times, _)| *times < ANNOUNCEMENTS);
        announced
    }

    /// Removes at most `most` events, the oldest first, and returns them with their numbers, to be
    /// announced only once.
    pub fn take(&mut self, most: usize) -> Vec<(u64, T)> {
        let taken = self.waiting.drain(..most.min(self.waiting.len()));
        taken.map(|(number, _, event)| (number, event)).collect()
    }

    /// Returns true if an event has not been announced yet.
    pub fn has_unannounced(&self) -> bool {
        self.waiting.iter().any(|(_, times, _)| *times == 0)
    }
}

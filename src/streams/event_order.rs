use super::{EventVerdict, StreamFault, StreamIds, UsualIds, UsualNumber};

/// By how much ids rise, and the id of a first event, as far as a stream and its service have shown nothing else.
/// An event that does not fit is delayed, not refused.
const GUESSED_STEP: u64 = 1;

/// Decides by their ids which events belong to a stream, over all upstreams that write it one after another.
///
/// An id has to rise. By how much is learned: from the service's other streams, or else from this one. As long as
/// the service is not known, an event that rises by another step than those before it is held until the next one
/// shows that the stream goes on from it. This is done once a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    /// The id of the last event that belongs to the stream.
    last: Option<u64>,
    /// `last` is by the word of a client that takes its stream up.
    is_by_client: bool,
    /// The step of the stream's ids so far.
    step: Option<u64>,
    /// An event was held and belongs to the stream.
    has_held: bool,
    /// The id of the event that is held.
    held: Option<u64>,
    /// The ids that the present upstream has written.
    run: StreamIds,
}

impl EventOrder {
    /// Creates the order of a stream of which the client has the events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            is_by_client: last.is_some(),
            ..Self::default()
        }
    }

    /// Goes on with the stream at another upstream.
    pub fn continue_elsewhere(&mut self) {
        self.held = None;
        self.run = StreamIds::default();
    }

    /// Returns the id of the last event that belongs to the stream.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an event is held.
    pub fn is_holding(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the ids that the present upstream has written.
    pub fn run(&self) -> StreamIds {
        self.run
    }

    /// Takes in the next event.
    ///
    /// # Errors
    ///
    /// Returns why the event, or the one that is held, belongs to no run.
    pub fn add(&mut self, id: u64, usual: &UsualIds) -> Result<EventVerdict, StreamFault> {
        let last = self.last;
        let verdict = self.add_after_held(id, usual);
        if verdict.is_err() {
            // An event that was held is not passed on in front of a fault.
            self.last = last;
        }
        verdict
    }

    fn add_after_held(&mut self, id: u64, usual: &UsualIds) -> Result<EventVerdict, StreamFault> {
        if let Some(held) = self.held {
            if id <= held {
                return Err(StreamFault::FallsBack { id: held });
            }
            self.check_due(held, usual)?;
            self.release();
        }
        if let Some(last) = self.last.filter(|last| id <= *last) {
            return Err(StreamFault::NotRising { id, last });
        }
        let is_known = self.is_known(usual);
        let is_even = self.record_step(id, usual);
        self.check_due(id, usual)?;
        if !is_even && !is_known && !self.has_held {
            self.held = Some(id);
            return Ok(EventVerdict::Hold);
        }
        self.accept(id);
        Ok(EventVerdict::Pass)
    }

    /// Takes the event that is held as part of the stream, and returns its id.
    pub fn release(&mut self) -> Option<u64> {
        let held = self.held.take()?;
        self.has_held = true;
        self.accept(held);
        Some(held)
    }

    fn accept(&mut self, id: u64) {
        self.last = Some(id);
        self.is_by_client = false;
    }

    /// Returns whether the service has shown which id the next event may have.
    fn is_known(&self, usual: &UsualIds) -> bool {
        let number = match self.is_at_start(usual) {
            true => usual.first,
            false => usual.step,
        };
        number != UsualNumber::Unknown
    }

    /// Records by how much an id rises. Returns whether that is as for the events before it.
    fn record_step(&mut self, id: u64, usual: &UsualIds) -> bool {
        let Some(last) = self.last.filter(|_| !self.is_at_start(usual)) else {
            self.run.record_first(id);
            return id <= GUESSED_STEP;
        };
        let step = id - last;
        let is_even = step == self.step.unwrap_or(GUESSED_STEP);
        // By the word of a client, the step may be any.
        if !self.is_by_client {
            self.run.record_step(step);
            self.step.get_or_insert(step);
        }
        is_even
    }

    /// Checks that the next event has the id that it has in the service's other streams.
    fn check_due(&self, id: u64, usual: &UsualIds) -> Result<(), StreamFault> {
        match self.due(usual) {
            Some(due) if due != id => Err(StreamFault::NotDue { id, due }),
            _ => Ok(()),
        }
    }

    /// Returns the id that the next event has in the service's other streams, if it is known.
    fn due(&self, usual: &UsualIds) -> Option<u64> {
        match self.last {
            _ if self.is_at_start(usual) => usual.first_due(),
            Some(last) if self.is_by_client && !usual.may_have(last) => None,
            last => usual.due_after(last?),
        }
    }

    /// Returns whether the next event is the first one of its stream. A client that has no event may say so
    /// by the id 0, unless that is the id of an event.
    fn is_at_start(&self, usual: &UsualIds) -> bool {
        match self.last {
            None => true,
            Some(0) => self.is_by_client && usual.first_due().is_some_and(|first| first > 0),
            Some(_) => false,
        }
    }
}

use {
    crate::{
        names::{ServiceName, UpstreamId},
        policy::*,
    },
    std::{collections::HashMap, time::Duration},
    tokio::sync::oneshot,
};

/// The outcome of a wait for room: how long the request waited, or why it is refused.
pub(super) type RoomWaitOutcome = Result<Duration, RoomRefusal>;

/// The ticket of a waiting request, and the receiver of its outcome.
pub(super) type RoomWait = (u64, oneshot::Receiver<RoomWaitOutcome>);

/// The requests that wait for room at this daemon, by service.
#[derive(Debug, Default)]
pub(super) struct RoomTable {
    services: HashMap<ServiceName, ServiceRoom>,
}

/// The queue of a service, and what is known about the load of its upstreams.
#[derive(Debug, Default)]
pub(super) struct ServiceRoom {
    pub queue: RoomQueue,
    backlogs: UpstreamBacklogs,
    /// The senders of outcomes, by ticket.
    waiters: HashMap<u64, oneshot::Sender<RoomWaitOutcome>>,
    /// The room that was computed last, less what was taken since.
    view: Option<RoomView>,
}

/// The loads of a service's upstreams, from which its room is computed.
#[derive(Debug)]
pub(super) struct ServiceLoads {
    /// The ids of the upstreams, in the order of `candidates`.
    pub ids: Vec<UpstreamId>,
    pub candidates: Vec<Candidate>,
    pub times: EngineTimes,
    /// How long a request may wait behind others at an upstream, in milliseconds.
    pub bound_ms: f64,
    /// Number of requests at the upstreams that this hub placed.
    pub own: u32,
    /// Number of requests at the upstreams that all hubs placed.
    pub all: u32,
    /// Number of hubs, with this one.
    pub hubs: usize,
    /// The age of the loads of other hubs, in milliseconds.
    pub age_ms: u64,
}

impl RoomTable {
    pub fn service(&mut self, name: &ServiceName) -> &mut ServiceRoom {
        self.services.entry(name.clone()).or_default()
    }

    /// Returns the services for which requests wait.
    pub fn waiting(&self) -> Vec<ServiceName> {
        let waiting = self.services.iter().filter(|(_, r)| !r.queue.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    }

    /// Returns how many requests of a priority wait, for each priority.
    pub fn by_priority(&self) -> [usize; 10] {
        let mut counts = [0; 10];
        for (priority, count) in self.services.values().flat_map(|r| r.queue.by_priority()) {
            counts[usize::from(priority.min(9))] += count;
        }
        counts
    }
}

impl ServiceRoom {
    /// Takes room for a request from the room that was computed last, if no request waits and that
    /// room is recent. Returns false if it has to be computed anew.
    pub fn take_from_view(&mut self, work_ms: f64, now_ms: u64) -> bool {
        let view = self.view.as_mut().filter(|_| self.queue.is_empty());
        view.is_some_and(|view| view.take(work_ms, now_ms))
    }

    /// Computes the room at the upstreams, and keeps it for further requests.
    pub fn update_room(&mut self, loads: &ServiceLoads, now_ms: u64) -> Room {
        let reported = loads.candidates.iter().map(|c| c.waiting_ms(&loads.times));
        let reported: Vec<f64> = reported.collect();
        let mut room = Room::of(&loads.candidates, &reported, &loads.times, loads.bound_ms);
        // How much of the reported work is read by now matters only while all seem to have too much.
        if !self.queue.is_empty() || !room.is_open() {
            let mut unread = Vec::with_capacity(reported.len());
            for (id, reported_ms) in loads.ids.iter().zip(reported) {
                unread.push(self.backlogs.observe(id, reported_ms, now_ms));
            }
            room = Room::of(&loads.candidates, &unread, &loads.times, loads.bound_ms);
        } else {
            self.backlogs.clear();
        }
        room = room.among_hubs(loads.own, loads.all, loads.hubs, loads.age_ms);
        self.view = Some(RoomView::new(room, now_ms));
        room
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request can't begin in time, or the queue is full.
    pub fn join(
        &mut self,
        request: WaitingRequest,
        room: &Room,
        now_ms: u64,
    ) -> Result<RoomWait, RoomRefusal> {
        match self.queue.join(request, room, now_ms) {
            RoomJoin::Refused(refusal) => Err(refusal),
            RoomJoin::Waits(ticket) => {
                let (tx, rx) = oneshot::channel();
                self.waiters.insert(ticket, tx);
                Ok((ticket, rx))
            }
        }
    }

    /// Releases the requests for which there is room, and refuses those that can't begin in time.
    pub fn release(&mut self, room: &Room, now_ms: u64) {
        let outcome = self.queue.release(room, now_ms);
        self.send_outcomes(outcome);
    }

    /// Releases all waiting requests.
    pub fn release_all(&mut self, now_ms: u64) {
        let outcome = self.queue.let_all_go(now_ms);
        self.send_outcomes(outcome);
    }

    fn send_outcomes(&mut self, outcome: RoomOutcome) {
        let RoomOutcome { released, refused } = outcome;
        let released = released.into_iter();
        let released = released.map(|(t, ms)| (t, Ok(Duration::from_millis(ms))));
        let refused = refused.into_iter().map(|(t, refusal)| (t, Err(refusal)));
        for (ticket, outcome) in released.chain(refused) {
            if let Some(tx) = self.waiters.remove(&ticket) {
                // The receiver is gone if the client has left; its `QueuePlace` then frees the place.
                let _ = tx.send(outcome);
            }
        }
    }

    /// Removes a request that no longer waits, or is placed.
    pub fn remove(&mut self, ticket: u64) {
        self.queue.leave(ticket);
        self.waiters.remove(&ticket);
    }
}

//! Slots of upstreams that crash if they have to reject too many requests within a second.

use {
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{
        names::{ServiceName, UpstreamId},
        policy::*,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

const SLOTS: u32 = 16;
const RUN_MS: u64 = 200;
const SECONDS: u64 = 30;
/// Time after which a slot is free although its release was lost.
const MAX_SLOT_MS: u64 = 2_000;

/// What happens in a simulation, in the order of the times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at the upstream.
    Arrives { issuer: usize, slot: u64 },
    /// A request ends at the upstream.
    Ends { issuer: usize, slot: u64 },
    /// An issuer is told how a request ended.
    Released {
        issuer: usize,
        slot: u64,
        is_taken: bool,
    },
}

/// An upstream that may take fewer requests than its slots say, and the daemons before it.
struct World {
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    issuers: Vec<SlotLimiter>,
    bound: RejectionBound,
    /// How many requests the upstream takes now, running and waiting.
    room: usize,
    present: usize,
    rejected_ms: VecDeque<u64>,
    most_rejected: usize,
    taken: usize,
}

impl World {
    fn new(seed: u64, bound: u32, issuers: usize) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            number: 0,
            issuers: (0..issuers).map(|_| SlotLimiter::new(SLOTS)).collect(),
            bound: RejectionBound::new(bound),
            room: SLOTS as usize + 2,
            present: 0,
            rejected_ms: VecDeque::new(),
            most_rejected: 0,
            taken: 0,
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_ms, self.number, event)));
    }

    /// A message takes some milliseconds. It is sent twice, since it is lost now and then.
    fn send(&mut self, now_ms: u64, event: Event) {
        for _ in 0..2 {
            let delay_ms = self.rng.random_range(1..20);
            if self.rng.random_bool(0.98) {
                self.schedule(now_ms + delay_ms, event);
            }
        }
    }

    fn offer(&mut self, now_ms: u64) {
        let issuer = self.rng.random_range(0..self.issuers.len());
        let granted = self.issuers[issuer].grant(self.bound, MAX_SLOT_MS, now_ms);
        if let Ok(slot) = granted {
            let delay_ms = self.rng.random_range(1..20);
            self.schedule(now_ms + delay_ms, Event::Arrives { issuer, slot });
        }
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Arrives { issuer, slot } if self.present >= self.room => {
                self.reject(now_ms);
                let is_taken = false;
                self.send(
                    now_ms,
                    Event::Released {
                        issuer,
                        slot,
                        is_taken,
                    },
                );
            }
            Event::Arrives { issuer, slot } => {
                self.present += 1;
                let run_ms = self.rng.random_range(RUN_MS / 2..RUN_MS * 3 / 2);
                self.schedule(now_ms + run_ms, Event::Ends { issuer, slot });
            }
            Event::Ends { issuer, slot } => {
                self.present -= 1;
                self.taken += 1;
                let is_taken = true;
                self.send(
                    now_ms,
                    Event::Released {
                        issuer,
                        slot,
                        is_taken,
                    },
                );
            }
            Event::Released {
                issuer,
                slot,
                is_taken,
            } => {
                let release = match is_taken {
                    true => SlotRelease::Taken,
                    false => SlotRelease::Rejected,
                };
                self.issuers[issuer].release(slot, release, SLOTS, now_ms);
            }
        }
    }

    fn reject(&mut self, now_ms: u64) {
        self.rejected_ms.push_back(now_ms);
        while self
            .rejected_ms
            .front()
            .is_some_and(|at_ms| at_ms + 1_000 <= now_ms)
        {
            self.rejected_ms.pop_front();
        }
        self.most_rejected = self.most_rejected.max(self.rejected_ms.len());
    }

    /// Offers requests at a rate for a time; `change` is called each millisecond.
    fn run(&mut self, per_ms: f64, change: impl Fn(&mut Self, u64)) {
        for now_ms in 0..SECONDS * 1_000 {
            change(self, now_ms);
            let mut left = per_ms;
            while left > 0.0 && self.rng.random_bool(left.min(1.0)) {
                self.offer(now_ms);
                left -= 1.0;
            }
            while let Some(Reverse((at_ms, _, event))) = self.events.peek().copied() {
                if at_ms > now_ms {
                    break;
                }
                self.events.pop();
                self.handle(now_ms, event);
            }
        }
    }
}

/// The upstream takes fewer or more requests from time to time, down to a quarter of its slots. Three
/// times as much as it can do is offered.
#[test]
fn no_more_requests_are_rejected_than_the_upstream_bears() {
    for seed in 0..60 {
        let bound = [1, 2, 4, 10, 40][seed as usize % 5];
        let mut world = World::new(seed, bound, 1);
        world.run(0.24, |world, now_ms| {
            if now_ms % 3_000 == 0 && now_ms > 0 {
                world.room = *[4, 8, 12, 18, 40].choose(&mut world.rng).unwrap();
            }
        });
        let most = world.most_rejected;
        assert!(most <= bound as usize, "seed {seed}: {most} of {bound}");
    }
}

/// An issuer that starts knows of no request, and one that is only taken for dead goes on.
#[test]
fn no_more_requests_are_rejected_than_the_upstream_bears_while_two_daemons_give_out_slots() {
    for seed in 0..60 {
        let bound = [2, 4, 10, 40][seed as usize % 4];
        let mut world = World::new(seed, bound, 2);
        world.run(0.24, |world, now_ms| {
            if now_ms % 4_000 == 0 {
                let restarted = world.rng.random_range(0..2);
                world.issuers[restarted] = SlotLimiter::new(SLOTS);
            }
        });
        let most = world.most_rejected;
        assert!(most <= bound as usize, "seed {seed}: {most} of {bound}");
    }
}

#[test]
fn an_upstream_is_used_as_far_as_it_takes_requests() {
    for (seed, room) in [(1, 18), (2, 12), (3, 6)] {
        let mut world = World::new(seed, 10, 1);
        world.room = room;
        world.run(0.24, |_, _| {});
        let can_do = room.min(SLOTS as usize) as u64 * SECONDS * 1_000 / RUN_MS;
        let share = world.taken as f64 / can_do as f64;
        assert!(share >= 0.7, "room {room}: {share:.2} of {can_do}");
    }
}

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::from(name)
}

#[test]
fn an_upstream_that_was_not_heard_yet_has_the_bound_of_its_service() {
    let (s, other) = (ServiceName::from("s"), ServiceName::from("other"));
    let mut bounds = RejectionBounds::default();
    let bound = RejectionBound::new(7);
    assert!(bounds.record_answer(&upstream("u1"), &s, NamedBound::Bound(bound), 0, 10));
    assert!(!bounds.record_answer(&upstream("u1"), &s, NamedBound::Bound(bound), 0, 20));
    assert_eq!(bounds.of(&upstream("u2"), &s, 100), Some(bound));
    assert_eq!(bounds.of(&upstream("u2"), &other, 100), None);
    assert_eq!(bounds.of(&upstream("u2"), &s, 60_000), None);
    // The first answer may have begun before the bound was named.
    assert!(!bounds.record_answer(&upstream("u1"), &s, NamedBound::Absent, 5, 110));
    assert_eq!(bounds.of(&upstream("u1"), &s, 110), Some(bound));
    assert!(bounds.record_answer(&upstream("u1"), &s, NamedBound::Absent, 30, 120));
    assert_eq!(bounds.of(&upstream("u1"), &s, 120), None);
}

#[test]
fn only_a_number_is_a_bound_on_rejections() {
    let read = |values: &[&[u8]]| NamedBound::read(values.iter().copied());
    assert_eq!(read(&[]), NamedBound::Absent);
    assert_eq!(read(&[b" 12 "]), NamedBound::Bound(RejectionBound::new(12)));
    assert_eq!(
        read(&[b"12", b"3", b"x"]),
        NamedBound::Bound(RejectionBound::new(3))
    );
    for invalid in ["", "-1", "1.5", "soon", "0x1"] {
        assert_eq!(
            read(&[invalid.as_bytes()]),
            NamedBound::Unreadable,
            "{invalid}"
        );
    }
    let large = "9".repeat(300);
    assert!(matches!(read(&[large.as_bytes()]), NamedBound::Bound(_)));
}

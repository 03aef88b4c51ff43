//! The lease of the duties: never two holders at once, and a holder that was paused past
//! its term sends no orders.

use {
    proptest::prelude::*,
    saddlepulley::{names::*, policy::*},
    std::collections::BTreeMap,
};

const TERM_MS: u64 = 1_000;
const PAUSE_MS: u64 = 500;

struct Member {
    me: BoxIncarnation,
    view: LeaseView,
    read: usize,
    sent: BTreeMap<u64, u64>,
}

impl Member {
    fn new(name: &str) -> Self {
        Self {
            me: BoxIncarnation {
                id: BoxId::from(name),
                incarnation: 1,
            },
            view: LeaseView::default(),
            read: 0,
            sent: BTreeMap::new(),
        }
    }

    fn read(&mut self, log: &[LeaseRecord], now: u64) {
        while self.read < log.len() {
            let offset = self.read as u64;
            let sent = self.sent.remove(&offset);
            self.view.fold(
                offset,
                log[self.read].clone(),
                &self.me,
                sent,
                now,
                PAUSE_MS,
            );
            self.read += 1;
        }
    }

    /// Takes one step; the reply to an append may be lost.
    fn step(&mut self, log: &mut Vec<LeaseRecord>, now: u64, lost: bool) {
        self.read(log, now);
        if let LeaseStep::Append(record) = self.view.step(&self.me, TERM_MS, now) {
            let offset = log.len() as u64;
            log.push(record);
            if !lost {
                self.sent.insert(offset, now);
            }
            self.read(log, now);
        }
    }
}

proptest! {
    /// Guards against two holders at the same time: members step at random times, with
    /// pauses and lost replies.
    #[test]
    fn two_members_never_hold_the_lease_at_the_same_time(steps in prop::collection::vec((0..3usize, 1..400u64, any::<bool>()), 1..200)) {
        let mut members = [Member::new("a"), Member::new("b"), Member::new("c")];
        let mut log = Vec::new();
        let mut now = 0;
        let mut fences = Vec::new();
        for (who, wait, lost) in steps {
            now += wait;
            members[who].step(&mut log, now, lost);
            let acting: Vec<u64> = members.iter().filter_map(|m| m.view.may_act(now)).collect();
            prop_assert!(acting.len() <= 1, "two holders at {now}: {acting:?}");
            fences.extend(acting);
        }
        prop_assert!(fences.is_sorted(), "an older fencing token after a newer one");
    }
}

#[test]
fn a_holder_that_was_paused_past_its_term_may_not_act() {
    let mut log = Vec::new();
    let mut a = Member::new("a");
    a.step(&mut log, 0, false);
    assert!(a.view.may_act(TERM_MS - 1).is_some());
    assert!(a.view.may_act(TERM_MS).is_none());
}

#[test]
fn a_new_holder_waits_before_it_sends_orders_to_upstreams_that_check_no_fencing_token() {
    let mut log = Vec::new();
    let (mut a, mut b) = (Member::new("a"), Member::new("b"));
    a.step(&mut log, 0, false);
    b.step(&mut log, 10, false);
    b.step(&mut log, 10 + TERM_MS, false);
    let now = 10 + TERM_MS;
    assert!(matches!(
        b.view.step(&b.me, TERM_MS, now + 1),
        LeaseStep::Act {
            unfenced_allowed: false,
            ..
        }
    ));
}

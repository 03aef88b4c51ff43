//! Explores all interleavings of two boxes that claim one non-repeatable request, with
//! delayed, duplicated and lost appends, crashes, give-ups, and delayed, duplicated and
//! lost hand-overs. Guards against a request that runs twice, or runs after the client
//! was answered `not-run`.

use {
    saddlepulley::{names::*, policy::*},
    std::collections::{BTreeSet, HashSet},
    uuid::Uuid,
};

const BOXES: usize = 2;

/// Bounds of the events in one exploration, which runs until it finds no new state.
#[derive(Clone, Copy)]
struct Bounds {
    claims: [u8; BOXES],
    crashes: u8,
    hand_overs: u8,
    refusals: u8,
    /// How many times one append may reach the log.
    deliveries: u8,
    log: usize,
}

/// Upper bound on the states of an exploration, above what each of them reaches.
const MAX_STATES: usize = 1_000_000;

/// What a box that gave up does when its claim appears in the log later.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rules {
    /// The implemented rule: it appends the release again.
    Correct,
    /// A broken rule: it uses the right although it answered `not-run`.
    UsesRightAfterNotRun,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct BoxState {
    incarnation: u64,
    claimant: Option<Claimant>,
    /// Claims that this incarnation gave up, with the answer `not-run` to the client.
    given_up: Vec<Claimant>,
    taken: Vec<Uuid>,
    read: usize,
    claims_left: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct State {
    boxes: Vec<BoxState>,
    log: Vec<ClaimRecord>,
    /// Appends in transit, each with its remaining deliveries.
    appends: Vec<(ClaimRecord, u8)>,
    /// Hand-overs in transit, each with its remaining deliveries.
    hand_overs: Vec<(HandOver, u8)>,
    executions: Vec<Uuid>,
    answered_not_run: BTreeSet<Uuid>,
    crashes_left: u8,
    hand_overs_left: u8,
    refusals_left: u8,
    nonces: u128,
    deliveries: u8,
    log_bound: usize,
}

fn key() -> ClaimKey {
    ClaimKey {
        account: ClientAccount::from("acme"),
        request: RequestId::from_uuid(Uuid::from_u128(7)),
    }
}

fn box_incarnation(b: usize, incarnation: u64) -> BoxIncarnation {
    BoxIncarnation {
        id: BoxId::from(["a", "b"][b]),
        incarnation,
    }
}

impl State {
    fn start(bounds: Bounds) -> Self {
        let fresh = BoxState {
            incarnation: 1,
            claimant: None,
            given_up: Vec::new(),
            taken: Vec::new(),
            read: 0,
            claims_left: 0,
        };
        let with = |claims_left| BoxState {
            claims_left,
            ..fresh.clone()
        };
        Self {
            boxes: bounds.claims.map(with).to_vec(),
            log: Vec::new(),
            appends: Vec::new(),
            hand_overs: Vec::new(),
            executions: Vec::new(),
            answered_not_run: BTreeSet::new(),
            crashes_left: bounds.crashes,
            hand_overs_left: bounds.hand_overs,
            refusals_left: bounds.refusals,
            nonces: 0,
            deliveries: bounds.deliveries,
            log_bound: bounds.log,
        }
    }

    fn folded(&self, to: usize) -> KeyClaims {
        let mut claims = KeyClaims::default();
        for (offset, record) in self.log[..to].iter().enumerate() {
            claims.fold(offset as u64, record);
        }
        claims
    }

    fn append(&mut self, record: ClaimRecord) {
        self.appends.push((record, self.deliveries));
        self.appends.sort();
    }

    /// Returns every state that one step leads to.
    fn next(&self, rules: Rules) -> Vec<State> {
        let mut out = Vec::new();
        for b in 0..BOXES {
            self.claim(b, &mut out);
            self.read_log(b, rules, &mut out);
            self.dispatch(b, &mut out);
            self.give_up(b, &mut out);
            self.hand_over(b, &mut out);
            self.crash(b, &mut out);
        }
        for i in 0..self.appends.len() {
            self.deliver_append(i, &mut out);
        }
        for i in 0..self.hand_overs.len() {
            self.deliver_hand_over(i, &mut out);
        }
        out
    }

    fn claim(&self, b: usize, out: &mut Vec<State>) {
        if self.boxes[b].claimant.is_some() || self.boxes[b].claims_left == 0 {
            return;
        }
        let mut s = self.clone();
        s.nonces += 1;
        let nonce = Uuid::from_u128(s.nonces);
        let by = box_incarnation(b, s.boxes[b].incarnation);
        let (claimant, record) = Claimant::start(key(), nonce, by);
        s.boxes[b].claimant = Some(claimant);
        s.boxes[b].claims_left -= 1;
        s.append(record);
        out.push(s);
    }

    fn read_log(&self, b: usize, rules: Rules, out: &mut Vec<State>) {
        if self.boxes[b].read == self.log.len() {
            return;
        }
        let mut s = self.clone();
        s.boxes[b].read += 1;
        let claims = s.folded(s.boxes[b].read);
        if let Some(claimant) = &mut s.boxes[b].claimant {
            claimant.observe(&claims);
        }
        let mut releases = Vec::new();
        let mut late_winner = None;
        for c in &mut s.boxes[b].given_up {
            if let Some(ClaimCommand::Append(release)) = c.observe(&claims) {
                match rules {
                    Rules::Correct => releases.push(release),
                    Rules::UsesRightAfterNotRun => late_winner = claims.winner.clone(),
                }
            }
        }
        // The release of a claim that appeared late; one such append is enough to explore.
        for release in releases {
            if !s.appends.iter().any(|(r, _)| *r == release) && !s.log.contains(&release) {
                s.append(release);
            }
        }
        if let Some(winner) = late_winner {
            let right = ExecutionRight {
                key: key(),
                nonce: winner.nonce,
                fence: winner.fence,
            };
            let me = box_incarnation(b, s.boxes[b].incarnation);
            let hand_over = HandOver {
                right,
                taker: me.clone(),
            };
            s.boxes[b].claimant = Claimant::take(&hand_over, &me, &mut Vec::new());
        }
        out.push(s);
    }

    fn dispatch(&self, b: usize, out: &mut Vec<State>) {
        let Some(claimant) = &self.boxes[b].claimant else {
            return;
        };
        let ClaimantState::Holds(right) = claimant.state().clone() else {
            return;
        };
        let mut s = self.clone();
        let c = s.boxes[b].claimant.as_mut().unwrap();
        assert!(matches!(c.dispatch(), ClaimCommand::Dispatch(_)));
        assert_eq!(c.dispatch(), ClaimCommand::Refuse, "a right is used once");
        if self.refusals_left > 0 {
            // The upstream refused the request before it started.
            let mut refused = s.clone();
            refused.refusals_left -= 1;
            refused.boxes[b]
                .claimant
                .as_mut()
                .unwrap()
                .not_started(right);
            out.push(refused);
        }
        s.executions.push(nonce_of(&s, b));
        out.push(s);
    }

    fn give_up(&self, b: usize, out: &mut Vec<State>) {
        let Some(claimant) = &self.boxes[b].claimant else {
            return;
        };
        let mut claimant = claimant.clone();
        let mut s = self.clone();
        match claimant.give_up() {
            ClaimCommand::Append(release) => {
                s.answered_not_run.insert(claimant.nonce());
                s.boxes[b].given_up.push(claimant);
                s.boxes[b].claimant = None;
                s.append(release);
                out.push(s);
            }
            _ if matches!(claimant.state(), ClaimantState::Lost(_)) => {
                s.boxes[b].claimant = None;
                out.push(s);
            }
            _ => {}
        }
    }

    fn hand_over(&self, b: usize, out: &mut Vec<State>) {
        if self.hand_overs_left == 0 {
            return;
        }
        let mut s = self.clone();
        let taker = box_incarnation(1 - b, s.boxes[1 - b].incarnation);
        let Some(claimant) = &mut s.boxes[b].claimant else {
            return;
        };
        let Some(hand_over) = claimant.hand_over(taker) else {
            return;
        };
        assert_eq!(claimant.dispatch(), ClaimCommand::Refuse);
        s.hand_overs_left -= 1;
        s.hand_overs.push((hand_over, 2));
        out.push(s);
    }

    fn crash(&self, b: usize, out: &mut Vec<State>) {
        if self.crashes_left == 0 {
            return;
        }
        let mut s = self.clone();
        s.crashes_left -= 1;
        let now = &mut s.boxes[b];
        now.incarnation += 1;
        now.claimant = None;
        now.given_up.clear();
        now.taken.clear();
        now.read = 0;
        out.push(s);
    }

    /// The append is delivered, delivered with a duplicate to follow, or lost.
    fn deliver_append(&self, i: usize, out: &mut Vec<State>) {
        let mut lost = self.clone();
        let (record, left) = lost.appends.remove(i);
        if self.log.len() < self.log_bound {
            let mut s = lost.clone();
            s.log.push(record.clone());
            if left > 1 {
                let mut duplicated = s.clone();
                duplicated.appends.push((record, left - 1));
                duplicated.appends.sort();
                out.push(duplicated);
            }
            out.push(s);
        }
        out.push(lost);
    }

    /// The hand-over is delivered, delivered with a duplicate to follow, or lost.
    fn deliver_hand_over(&self, i: usize, out: &mut Vec<State>) {
        let mut lost = self.clone();
        let (hand_over, left) = lost.hand_overs.remove(i);
        let to = if hand_over.taker.id.as_str() == "a" {
            0
        } else {
            1
        };
        let mut s = lost.clone();
        let me = box_incarnation(to, s.boxes[to].incarnation);
        if s.boxes[to].claimant.as_ref().is_none_or(|c| !holds(c)) {
            let taken = Claimant::take(&hand_over, &me, &mut s.boxes[to].taken);
            if taken.is_some() {
                s.boxes[to].claimant = taken;
            }
        }
        if left > 1 {
            let mut duplicated = s.clone();
            duplicated.hand_overs.push((hand_over, left - 1));
            out.push(duplicated);
        }
        out.push(s);
        out.push(lost);
    }

    fn check(&self) -> Result<(), String> {
        if self.executions.len() > 1 {
            return Err(format!("ran twice: {self:#?}"));
        }
        if self
            .executions
            .iter()
            .any(|n| self.answered_not_run.contains(n))
        {
            return Err(format!("ran after `not-run`: {self:#?}"));
        }
        Ok(())
    }
}

fn holds(c: &Claimant) -> bool {
    matches!(c.state(), ClaimantState::Holds(_))
}

fn nonce_of(s: &State, b: usize) -> Uuid {
    s.boxes[b].claimant.as_ref().unwrap().nonce()
}

/// Explores breadth first; returns the number of states, or the first state that breaks
/// an invariant.
fn explore(rules: Rules, bounds: Bounds) -> Result<usize, String> {
    let mut seen: HashSet<State> = HashSet::new();
    let mut layer = vec![State::start(bounds)];
    while !layer.is_empty() {
        let mut next = Vec::new();
        for state in layer {
            for s in state.next(rules) {
                s.check()?;
                if !seen.contains(&s) {
                    seen.insert(s.clone());
                    next.push(s);
                }
            }
            assert!(seen.len() < MAX_STATES, "the exploration did not end");
        }
        layer = next;
    }
    Ok(seen.len())
}

fn assert_no_double_run(bounds: Bounds) {
    let states = explore(Rules::Correct, bounds).unwrap_or_else(|e| panic!("{e}"));
    println!("states: {states}");
    assert!(states > 1_000);
}

const CRASH: Bounds = Bounds {
    claims: [1, 1],
    crashes: 1,
    hand_overs: 0,
    refusals: 1,
    deliveries: 2,
    log: 3,
};

#[test]
fn duplicated_and_late_appends_with_a_crash_and_a_refusal_cause_no_double_run() {
    assert_no_double_run(CRASH);
}

#[test]
fn a_duplicated_late_or_lost_hand_over_with_a_crash_causes_no_double_run() {
    assert_no_double_run(Bounds {
        hand_overs: 1,
        refusals: 0,
        deliveries: 1,
        ..CRASH
    });
}

#[test]
fn a_key_that_is_sent_again_after_not_run_causes_no_double_run() {
    assert_no_double_run(Bounds {
        claims: [2, 1],
        crashes: 0,
        refusals: 0,
        deliveries: 1,
        log: 4,
        ..CRASH
    });
}

/// Shows that the exploration detects a violation: a box that gave up and answered
/// `not-run` uses its right when its claim appears in the log later.
#[test]
fn the_exploration_detects_a_run_after_not_run() {
    let found = explore(Rules::UsesRightAfterNotRun, CRASH);
    assert!(found.is_err(), "the broken rule went unnoticed");
}

//! All interleavings of two boxes and one non-repeatable key: appends delayed,
//! doubled and lost, crashes, give-ups, hand-overs delayed and doubled.

use {
    saddlepulley::{names::*, policy::*},
    std::collections::{BTreeSet, HashSet},
    uuid::Uuid,
};

const BOXES: usize = 2;

/// How much may happen in one exploration. Each is run to its end.
#[derive(Clone, Copy)]
struct Bounds {
    claims: [u8; BOXES],
    crashes: u8,
    hand_overs: u8,
    refusals: u8,
    /// How often one append may reach the log.
    deliveries: u8,
    log: usize,
}

/// More states than any of the explorations has.
const MOST_STATES: usize = 1_000_000;

/// What a giver-up does when its claim turns up in the log later.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rules {
    Ours,
    /// The broken rule: it takes its word back.
    TakesWordBack,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct BoxNow {
    incarnation: u64,
    claimant: Option<Claimant>,
    /// Claims that this life gave up, and told the caller `not-run`.
    given_up: Vec<Claimant>,
    taken: Vec<Uuid>,
    read: usize,
    claims_left: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct State {
    boxes: Vec<BoxNow>,
    log: Vec<ClaimRecord>,
    /// Appends on their way, each with the deliveries that it may still make.
    appends: Vec<(ClaimRecord, u8)>,
    hand_overs: Vec<(HandOver, u8)>,
    executions: Vec<Uuid>,
    told_not_run: BTreeSet<Uuid>,
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

fn claimer(b: usize, incarnation: u64) -> BoxIncarnation {
    BoxIncarnation {
        id: BoxId::from(["a", "b"][b]),
        incarnation,
    }
}

impl State {
    fn start(bounds: Bounds) -> Self {
        let fresh = BoxNow {
            incarnation: 1,
            claimant: None,
            given_up: Vec::new(),
            taken: Vec::new(),
            read: 0,
            claims_left: 0,
        };
        let with = |claims_left| BoxNow {
            claims_left,
            ..fresh.clone()
        };
        Self {
            boxes: bounds.claims.map(with).to_vec(),
            log: Vec::new(),
            appends: Vec::new(),
            hand_overs: Vec::new(),
            executions: Vec::new(),
            told_not_run: BTreeSet::new(),
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

    /// Every state that one step leads to.
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
        let by = claimer(b, s.boxes[b].incarnation);
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
        let mut again = Vec::new();
        let mut back = None;
        for c in &mut s.boxes[b].given_up {
            if let Some(ClaimCommand::Append(release)) = c.observe(&claims) {
                match rules {
                    Rules::Ours => again.push(release),
                    Rules::TakesWordBack => back = claims.winner.clone(),
                }
            }
        }
        // The release of a claim that turned up late; one such append is enough to explore.
        for release in again {
            if !s.appends.iter().any(|(r, _)| *r == release) && !s.log.contains(&release) {
                s.append(release);
            }
        }
        if let Some(winner) = back {
            let right = Right {
                key: key(),
                nonce: winner.nonce,
                fence: winner.fence,
            };
            let me = claimer(b, s.boxes[b].incarnation);
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
            // The upstream refused it before its start.
            let mut refused = s.clone();
            refused.refusals_left -= 1;
            refused.boxes[b]
                .claimant
                .as_mut()
                .unwrap()
                .not_started(right);
            out.push(refused);
        }
        s.executions.push(c_nonce(&s, b));
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
                s.told_not_run.insert(claimant.nonce());
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
        let taker = claimer(1 - b, s.boxes[1 - b].incarnation);
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

    /// Delivered, doubled or lost.
    fn deliver_append(&self, i: usize, out: &mut Vec<State>) {
        let mut lost = self.clone();
        let (record, left) = lost.appends.remove(i);
        if self.log.len() < self.log_bound {
            let mut s = lost.clone();
            s.log.push(record.clone());
            if left > 1 {
                let mut doubled = s.clone();
                doubled.appends.push((record, left - 1));
                doubled.appends.sort();
                out.push(doubled);
            }
            out.push(s);
        }
        out.push(lost);
    }

    fn deliver_hand_over(&self, i: usize, out: &mut Vec<State>) {
        let mut lost = self.clone();
        let (hand_over, left) = lost.hand_overs.remove(i);
        let to = if hand_over.taker.id.as_str() == "a" {
            0
        } else {
            1
        };
        let mut s = lost.clone();
        let me = claimer(to, s.boxes[to].incarnation);
        if s.boxes[to].claimant.as_ref().is_none_or(|c| !holds(c)) {
            let taken = Claimant::take(&hand_over, &me, &mut s.boxes[to].taken);
            if taken.is_some() {
                s.boxes[to].claimant = taken;
            }
        }
        if left > 1 {
            let mut doubled = s.clone();
            doubled.hand_overs.push((hand_over, left - 1));
            out.push(doubled);
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
            .any(|n| self.told_not_run.contains(n))
        {
            return Err(format!("ran after `not-run`: {self:#?}"));
        }
        Ok(())
    }
}

fn holds(c: &Claimant) -> bool {
    matches!(c.state(), ClaimantState::Holds(_))
}

fn c_nonce(s: &State, b: usize) -> Uuid {
    s.boxes[b].claimant.as_ref().unwrap().nonce()
}

/// Explores breadth first; returns the states seen, or the first that breaks a promise.
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
            assert!(seen.len() < MOST_STATES, "the exploration did not end");
        }
        layer = next;
    }
    Ok(seen.len())
}

fn no_double_run(bounds: Bounds) {
    let states = explore(Rules::Ours, bounds).unwrap_or_else(|e| panic!("{e}"));
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
fn appends_doubled_and_late_with_a_crash_and_a_refusal() {
    no_double_run(CRASH);
}

#[test]
fn a_hand_over_doubled_late_and_lost_with_a_crash() {
    no_double_run(Bounds {
        hand_overs: 1,
        refusals: 0,
        deliveries: 1,
        ..CRASH
    });
}

#[test]
fn the_same_key_sent_again_after_not_run() {
    no_double_run(Bounds {
        claims: [2, 1],
        crashes: 0,
        refusals: 0,
        deliveries: 1,
        log: 4,
        ..CRASH
    });
}

/// The proof fails where a giver-up doesn't stay by its word.
#[test]
fn taking_a_word_back_is_found() {
    let found = explore(Rules::TakesWordBack, CRASH);
    assert!(found.is_err(), "the broken rule went unnoticed");
}

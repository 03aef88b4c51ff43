use {crate::policy::*, uuid::Uuid};

/// How far one box is with one non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimantState {
    /// The claim may or may not be in the log yet.
    Claiming,
    /// The box holds the right and has not used it.
    Holds(Right),
    /// The box used the right.
    Dispatched,
    /// Another claim holds the right.
    Lost(BoxIncarnation),
    /// The box said `not-run` and stays by it.
    GivenUp,
    /// The right went to another box.
    HandedOver,
}

/// What a claimant wants done.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimCommand {
    /// Append this record.
    Append(ClaimRecord),
    /// Run the request now, with this fencing token.
    Dispatch(u64),
    /// Nothing: what was asked isn't allowed in this state.
    Refuse,
}

/// Decides for one box and one non-repeatable request.
///
/// The rules: a right is used at most once, and only by the box that holds it;
/// a box that gave up before dispatch never dispatches, whatever the log shows
/// later; a right that was handed over can't be used by the giver.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claimant {
    key: ClaimKey,
    nonce: Uuid,
    state: ClaimantState,
}

impl Claimant {
    /// Starts a claim and returns the record to append.
    pub fn start(key: ClaimKey, nonce: Uuid, by: BoxIncarnation) -> (Self, ClaimRecord) {
        let record = ClaimRecord::Claim {
            key: key.clone(),
            nonce,
            by,
        };
        let claimant = Self {
            key,
            nonce,
            state: ClaimantState::Claiming,
        };
        (claimant, record)
    }

    /// Takes over a right that another box handed over.
    ///
    /// Returns none if the hand-over named another life of this box, or if this
    /// box took the same right before.
    pub fn take(hand_over: &HandOver, me: &BoxIncarnation, taken: &mut Vec<Uuid>) -> Option<Self> {
        let right = &hand_over.right;
        if hand_over.taker != *me || taken.contains(&right.nonce) {
            return None;
        }
        taken.push(right.nonce);
        Some(Self {
            key: right.key.clone(),
            nonce: right.nonce,
            state: ClaimantState::Holds(right.clone()),
        })
    }

    /// Returns the state.
    pub fn state(&self) -> &ClaimantState {
        &self.state
    }

    /// Returns the claim's nonce.
    pub fn nonce(&self) -> Uuid {
        self.nonce
    }

    /// Looks at the folded log, read at least to the claim's own append.
    ///
    /// A claimant that gave up and sees its claim hold the key asks for the
    /// release to be appended again.
    pub fn observe(&mut self, claims: &KeyClaims) -> Option<ClaimCommand> {
        match (&self.state, &claims.winner) {
            (ClaimantState::Claiming, Some(w)) if w.nonce == self.nonce => {
                self.state = ClaimantState::Holds(Right {
                    key: self.key.clone(),
                    nonce: w.nonce,
                    fence: w.fence,
                });
                None
            }
            (ClaimantState::Claiming, Some(w)) if claims.is_dead(self.nonce) => {
                self.state = ClaimantState::Lost(w.by.clone());
                None
            }
            (ClaimantState::GivenUp, Some(w)) if w.nonce == self.nonce => {
                Some(ClaimCommand::Append(self.release()))
            }
            _ => None,
        }
    }

    /// Uses the right, once.
    pub fn dispatch(&mut self) -> ClaimCommand {
        let ClaimantState::Holds(right) = &self.state else {
            return ClaimCommand::Refuse;
        };
        let fence = right.fence;
        self.state = ClaimantState::Dispatched;
        ClaimCommand::Dispatch(fence)
    }

    /// Takes back a dispatch that is known not to have started: the connection
    /// was never made, or the upstream refused it by a typed answer.
    pub fn not_started(&mut self, right: Right) {
        if self.state == ClaimantState::Dispatched && right.nonce == self.nonce {
            self.state = ClaimantState::Holds(right);
        }
    }

    /// Gives up before dispatch. After a release the caller may be told `not-run`.
    pub fn give_up(&mut self) -> ClaimCommand {
        match self.state {
            ClaimantState::Claiming | ClaimantState::Holds(_) => {
                self.state = ClaimantState::GivenUp;
                ClaimCommand::Append(self.release())
            }
            _ => ClaimCommand::Refuse,
        }
    }

    /// Gives the right to another box; from then on this box can't use it.
    pub fn hand_over(&mut self, taker: BoxIncarnation) -> Option<HandOver> {
        let ClaimantState::Holds(right) = &self.state else {
            return None;
        };
        let hand_over = HandOver {
            right: right.clone(),
            taker,
        };
        self.state = ClaimantState::HandedOver;
        Some(hand_over)
    }

    fn release(&self) -> ClaimRecord {
        ClaimRecord::Release {
            key: self.key.clone(),
            nonce: self.nonce,
        }
    }
}

/// A right on its way to another box.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct HandOver {
    /// The right.
    pub right: Right,
    /// Who may use it; redelivered to a later life of the box it is void.
    pub taker: BoxIncarnation,
}

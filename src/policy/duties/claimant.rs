use {crate::policy::*, uuid::Uuid};

/// The state of one box's claim to one non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimantState {
    /// The claim was sent; it may or may not be in the log yet.
    Claiming,
    /// The box holds the right and has not used it.
    Holds(ExecutionRight),
    /// The box has used the right.
    Dispatched,
    /// Another claim holds the right.
    Lost(BoxIncarnation),
    /// The box gave up and may have answered `not-run`; it never runs the request.
    GivenUp,
    /// The box handed the right over to another box.
    HandedOver,
}

/// An action that a claimant requires of its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimCommand {
    /// Append this record.
    Append(ClaimRecord),
    /// Run the request now with this fencing token.
    Dispatch(u64),
    /// Do nothing: the requested transition isn't allowed in this state.
    Refuse,
}

/// The state machine of one box's claim to one non-repeatable request.
///
/// A right is used at most once, and only by the box that holds it. A box that gave up
/// before dispatch never dispatches, whatever the log shows later. A box that handed a
/// right over can't use it.
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

    /// Accepts a right that another box handed over.
    ///
    /// Returns `None` if the hand-over names another box or another incarnation of this
    /// box, or if this box has accepted the same right before. `taken` holds the nonces
    /// of the rights accepted so far.
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

    /// Applies the folded log, read at least up to the claim's own append.
    ///
    /// Returns the release to append again if the claimant gave up but its claim holds
    /// the key.
    pub fn observe(&mut self, claims: &KeyClaims) -> Option<ClaimCommand> {
        match (&self.state, &claims.winner) {
            (ClaimantState::Claiming, Some(w)) if w.nonce == self.nonce => {
                self.state = ClaimantState::Holds(ExecutionRight {
                    key: self.key.clone(),
                    nonce: w.nonce,
                    fence: w.fence,
                });
                None
            }
            (ClaimantState::Claiming, Some(w)) if claims.is_void(self.nonce) => {
                self.state = ClaimantState::Lost(w.by.clone());
                None
            }
            (ClaimantState::GivenUp, Some(w)) if w.nonce == self.nonce => {
                Some(ClaimCommand::Append(self.release()))
            }
            _ => None,
        }
    }

    /// Uses the right, which is possible once.
    pub fn dispatch(&mut self) -> ClaimCommand {
        let ClaimantState::Holds(right) = &self.state else {
            return ClaimCommand::Refuse;
        };
        let fence = right.fence;
        self.state = ClaimantState::Dispatched;
        ClaimCommand::Dispatch(fence)
    }

    /// Reverts a dispatch that is known not to have started: the connection was not
    /// established, or the upstream refused the request with a typed answer.
    pub fn not_started(&mut self, right: ExecutionRight) {
        if self.state == ClaimantState::Dispatched && right.nonce == self.nonce {
            self.state = ClaimantState::Holds(right);
        }
    }

    /// Gives up before dispatch. Once this returns the release, the client may be
    /// answered `not-run`.
    pub fn give_up(&mut self) -> ClaimCommand {
        match self.state {
            ClaimantState::Claiming | ClaimantState::Holds(_) => {
                self.state = ClaimantState::GivenUp;
                ClaimCommand::Append(self.release())
            }
            _ => ClaimCommand::Refuse,
        }
    }

    /// Hands the right over to another box; from then on this box can't use it.
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

/// A right that is handed over to another box.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct HandOver {
    /// The right.
    pub right: ExecutionRight,
    /// The box that may use it, in this incarnation only: a hand-over that is redelivered
    /// to a later incarnation is void.
    pub taker: BoxIncarnation,
}

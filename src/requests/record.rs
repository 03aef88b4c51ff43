use {super::*, crate::names::*, std::sync::Arc};

/// The role of this box for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// This box runs the request and serves its answer.
    Owner,
    /// This box holds the copy.
    Copy {
        /// The box that owns the request.
        owner: BoxId,
    },
    /// The request was moved to another box.
    Moved {
        /// The box to which it was moved.
        to: BoxId,
    },
}

/// Where the copy of a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Holder {
    /// The owner is looking for a box to hold the copy. Meanwhile, nothing new is shown to the
    /// caller.
    Searching,
    /// On the given box.
    At(BoxId),
    /// No box could be reached; the answer is shown to the caller without a copy.
    Nowhere,
}

/// The state of a request on one box.
#[derive(Clone, Debug)]
pub struct Record {
    /// The specification of the request.
    pub spec: Arc<RequestSpec>,
    /// The role of this box for the request.
    pub role: Role,
    /// Increases with each change of owner; updates with a lower epoch are refused.
    pub epoch: u64,
    /// The tokens of the answer so far.
    pub tokens: Vec<Arc<str>>,
    /// The number of tokens that the copy holds; later tokens are not shown to the caller yet.
    pub durable: usize,
    /// How the request ended; `None` while it runs.
    pub ending: Option<Ending>,
    /// True if the copy holds the ending.
    pub ending_durable: bool,
    /// Where the copy is.
    pub holder: Holder,
    /// The upstream that runs the request now.
    pub upstream: Option<BoxId>,
    /// The number of tokens that were computed more than once.
    pub recomputed: u64,
    /// The number of readers of the answer on this box.
    pub readers: usize,
    /// When the answer was left without readers, in Unix milliseconds; valid while `readers`
    /// is 0.
    pub unread_since_ms: u64,
    /// When the request ended, in Unix milliseconds; 0 until then.
    pub ended_at_ms: u64,
}

impl Record {
    /// Creates the record of a request without any tokens.
    pub fn new(spec: Arc<RequestSpec>, role: Role, epoch: u64, now_ms: u64) -> Self {
        Self {
            spec,
            role,
            epoch,
            tokens: Vec::new(),
            durable: 0,
            ending: None,
            ending_durable: false,
            holder: Holder::Searching,
            upstream: None,
            recomputed: 0,
            readers: 0,
            unread_since_ms: now_ms,
            ended_at_ms: 0,
        }
    }

    /// Returns whether this box owns the request.
    pub fn is_owner(&self) -> bool {
        self.role == Role::Owner
    }

    /// Returns whether the request has ended.
    pub fn is_ended(&self) -> bool {
        self.ending.is_some()
    }

    /// Returns whether the request ended as `not-run`, so that the caller may send the same
    /// key again.
    pub fn is_not_run(&self) -> bool {
        matches!(&self.ending, Some(Ending::Failed(f)) if f.outcome == Outcome::NotRun)
    }

    /// Returns the ending once the copy holds it and all tokens, so that the caller may see
    /// it.
    pub fn shown_ending(&self) -> Option<&Ending> {
        let all_shown = self.durable == self.tokens.len() && self.ending_durable;
        self.ending.as_ref().filter(|_| all_shown)
    }

    /// Appends tokens that the current attempt produced.
    pub fn commit(&mut self, tokens: Vec<Arc<str>>) {
        self.tokens.extend(tokens);
        self.show_without_copy();
    }

    /// Ends the request, unless it has ended or this box does not own it. Returns whether it
    /// did.
    pub fn end(&mut self, ending: Ending, now_ms: u64) -> bool {
        if self.ending.is_some() || !self.is_owner() {
            return false;
        }
        self.ending = Some(ending);
        self.ended_at_ms = now_ms;
        self.show_without_copy();
        true
    }

    /// Records that no box could be reached to hold a copy.
    pub fn record_no_holder(&mut self) {
        self.holder = Holder::Nowhere;
        self.show_without_copy();
    }

    fn show_without_copy(&mut self) {
        if self.holder == Holder::Nowhere {
            self.durable = self.tokens.len();
            self.ending_durable = self.ending.is_some();
        }
    }

    /// Records how many tokens the copy holds now, and whether it holds the ending.
    pub fn record_copied(&mut self, tokens: usize, ending: bool) {
        self.durable = self.durable.max(tokens.min(self.tokens.len()));
        self.ending_durable |= ending && self.ending.is_some();
    }

    /// Appends the owner's tokens from an offset on to this copy, except those that it holds.
    ///
    /// Returns false if tokens are missing between those held and the offset.
    pub fn append(&mut self, offset: usize, tokens: &[Arc<str>], ending: Option<Ending>) -> bool {
        let Some(skip) = self.tokens.len().checked_sub(offset) else {
            return false;
        };
        self.tokens.extend(tokens.iter().skip(skip).cloned());
        if ending.is_some() {
            self.ending = ending;
        }
        true
    }

    /// Estimates the memory that the record takes, in bytes.
    pub fn bytes(&self) -> usize {
        let answer = match &self.ending {
            Some(Ending::Plain(answer)) => answer.body.len(),
            _ => 0,
        };
        let tokens: usize = self.tokens.iter().map(|t| t.len() + 24).sum();
        self.spec.bytes() + tokens + answer + 512
    }
}

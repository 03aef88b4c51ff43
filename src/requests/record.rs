use {super::*, crate::names::*, std::sync::Arc};

/// What this box is to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It runs the request and answers for it.
    Owner,
    /// It holds the copy.
    Copy {
        /// The owner.
        owner: BoxId,
    },
    /// The request went to another box.
    Moved {
        /// The box.
        to: BoxId,
    },
}

/// Where the copy of a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Holder {
    /// A box is being looked for; nothing new is shown meanwhile.
    Searching,
    /// On this box.
    At(BoxId),
    /// No box could be reached; the answer is shown without a copy.
    Nowhere,
}

/// All that a box knows of a request.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was asked.
    pub spec: Arc<RequestSpec>,
    /// What this box is to it.
    pub role: Role,
    /// Grows with each change of owner; a lower one is refused.
    pub epoch: u64,
    /// The answer's tokens so far.
    pub tokens: Vec<Arc<str>>,
    /// How many tokens the copy holds; no more are shown to the caller.
    pub durable: usize,
    /// How it ended.
    pub ending: Option<Ending>,
    /// Whether the copy holds the ending.
    pub ending_durable: bool,
    /// Where the copy is.
    pub holder: Holder,
    /// The upstream that runs it now.
    pub upstream: Option<BoxId>,
    /// Tokens that were computed again.
    pub recomputed: u64,
    /// How many readers the answer has on this box.
    pub readers: usize,
    /// Since when nobody reads it, in Unix milliseconds.
    pub unread_since_ms: u64,
    /// When it ended, in Unix milliseconds.
    pub ended_at_ms: u64,
}

impl Record {
    /// Starts a record.
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

    /// Returns whether nothing is left to do.
    pub fn is_ended(&self) -> bool {
        self.ending.is_some()
    }

    /// Returns whether it ended as `not-run`: the same key may be sent again.
    pub fn is_not_run(&self) -> bool {
        matches!(&self.ending, Some(Ending::Failed(f)) if f.outcome == Outcome::NotRun)
    }

    /// Returns the ending, once the caller may see it.
    pub fn shown_ending(&self) -> Option<&Ending> {
        let all_shown = self.durable == self.tokens.len() && self.ending_durable;
        self.ending.as_ref().filter(|_| all_shown)
    }

    /// Appends tokens of the current attempt.
    pub fn commit(&mut self, tokens: Vec<Arc<str>>) {
        self.tokens.extend(tokens);
        self.show_without_copy();
    }

    /// Ends the request, unless it has ended.
    pub fn end(&mut self, ending: Ending, now_ms: u64) -> bool {
        if self.ending.is_some() || !self.is_owner() {
            return false;
        }
        self.ending = Some(ending);
        self.ended_at_ms = now_ms;
        self.show_without_copy();
        true
    }

    /// Notes that no box could be reached to hold a copy.
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

    /// Notes what the copy holds now.
    pub fn copied(&mut self, tokens: usize, ending: bool) {
        self.durable = self.durable.max(tokens.min(self.tokens.len()));
        self.ending_durable |= ending && self.ending.is_some();
    }

    /// Takes the copy's part: appends what continues the tokens held.
    ///
    /// Returns false if there is a gap.
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

    /// Returns about how many bytes the record takes.
    pub fn bytes(&self) -> usize {
        let answer = match &self.ending {
            Some(Ending::Plain(answer)) => answer.body.len(),
            _ => 0,
        };
        let tokens: usize = self.tokens.iter().map(|t| t.len() + 24).sum();
        self.spec.bytes() + tokens + answer + 512
    }
}

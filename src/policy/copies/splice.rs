use std::{collections::BTreeMap, sync::Arc};

/// How many tokens of early frames are buffered before the rest is dropped.
pub const MAX_EARLY_TOKENS: usize = 4_096;

/// One piece of an answer, as an upstream sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerChunk {
    /// The attempt that it belongs to.
    pub attempt: u32,
    /// The offset of its first token in the answer.
    pub offset: usize,
    /// The tokens.
    pub tokens: Vec<Arc<str>>,
    /// The total length of the answer, on the last piece.
    pub total: Option<usize>,
}

/// Puts an answer together from pieces that may come late, doubled, reordered
/// or overlapping, or belong to an older attempt.
///
/// One rule: a token is committed if its piece belongs to the current attempt
/// and it continues the committed offset.
#[derive(Clone, Debug, Default)]
pub struct Splice {
    attempt: u32,
    committed: usize,
    total: Option<usize>,
    early: BTreeMap<usize, Vec<Arc<str>>>,
    early_tokens: usize,
}

impl Splice {
    /// Starts at a committed offset.
    pub fn at(committed: usize) -> Self {
        Self {
            committed,
            ..Self::default()
        }
    }

    /// Starts the next attempt and returns its number. Nothing that an earlier
    /// attempt buffered survives: two attempts may word an answer differently.
    pub fn next_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.total = None;
        self.early.clear();
        self.early_tokens = 0;
        self.attempt
    }

    /// Returns how many tokens are committed.
    pub fn committed(&self) -> usize {
        self.committed
    }

    /// Returns whether the whole answer is committed.
    pub fn is_complete(&self) -> bool {
        self.total == Some(self.committed)
    }

    /// Takes a piece and returns the tokens that it lets be committed.
    pub fn take(&mut self, piece: AnswerChunk) -> Vec<Arc<str>> {
        if piece.attempt != self.attempt {
            return Vec::new();
        }
        self.total = self.total.or(piece.total);
        let mut out = Vec::new();
        if piece.offset > self.committed {
            self.buffer(piece.offset, piece.tokens);
        } else {
            self.commit(piece.offset, piece.tokens, &mut out);
        }
        self.commit_early(&mut out);
        out
    }

    fn commit(&mut self, offset: usize, tokens: Vec<Arc<str>>, out: &mut Vec<Arc<str>>) {
        let seen = self.committed - offset;
        let room = self
            .total
            .map_or(usize::MAX, |total| total.saturating_sub(self.committed));
        for token in tokens.into_iter().skip(seen).take(room) {
            out.push(token);
            self.committed += 1;
        }
    }

    fn buffer(&mut self, offset: usize, tokens: Vec<Arc<str>>) {
        let known = self.early.get(&offset).map_or(0, Vec::len);
        if tokens.len() <= known {
            return;
        }
        let more = tokens.len() - known;
        if self.early_tokens + more > MAX_EARLY_TOKENS {
            return;
        }
        self.early_tokens += more;
        self.early.insert(offset, tokens);
    }

    fn commit_early(&mut self, out: &mut Vec<Arc<str>>) {
        while let Some(first) = self.early.first_entry() {
            if *first.key() > self.committed {
                return;
            }
            let (offset, tokens) = first.remove_entry();
            self.early_tokens -= tokens.len();
            if offset + tokens.len() > self.committed {
                self.commit(offset, tokens, out);
            }
        }
    }
}

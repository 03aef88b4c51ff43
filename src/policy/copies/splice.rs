use std::{collections::BTreeMap, sync::Arc};

/// Upper bound of buffered out-of-order tokens; chunks beyond it are dropped.
pub const MAX_EARLY_TOKENS: usize = 4_096;

/// A part of an answer as an upstream sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerChunk {
    /// The attempt that produced it.
    pub attempt: u32,
    /// The offset of its first token in the answer.
    pub offset: usize,
    /// Consecutive tokens from `offset` on.
    pub tokens: Vec<Arc<str>>,
    /// The length of the whole answer in tokens; set on the last chunk.
    pub total: Option<usize>,
}

/// Assembles an answer from chunks that may be late, duplicated, reordered or
/// overlapping, or come from an earlier attempt.
///
/// A token is committed if its chunk belongs to the current attempt and the token is
/// the next one after the committed tokens.
#[derive(Clone, Debug, Default)]
pub struct Splice {
    attempt: u32,
    /// Number of committed tokens, which is the offset of the next one.
    committed: usize,
    /// Length of the whole answer, once the current attempt has sent it.
    total: Option<usize>,
    /// Chunks beyond the committed offset, by offset.
    early: BTreeMap<usize, Vec<Arc<str>>>,
    /// Tokens in `early`.
    early_tokens: usize,
}

impl Splice {
    /// Continues an answer of which `committed` tokens are already committed.
    pub fn at(committed: usize) -> Self {
        Self {
            committed,
            ..Self::default()
        }
    }

    /// Starts the next attempt and returns its number. The buffered tokens of earlier
    /// attempts are dropped: two attempts may generate different answers.
    pub fn next_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.total = None;
        self.early.clear();
        self.early_tokens = 0;
        self.attempt
    }

    /// Returns the number of committed tokens.
    pub fn committed(&self) -> usize {
        self.committed
    }

    /// Returns whether the whole answer is committed.
    pub fn is_complete(&self) -> bool {
        self.total == Some(self.committed)
    }

    /// Adds a chunk and returns the tokens that are committed by it, buffered ones
    /// included.
    pub fn take(&mut self, chunk: AnswerChunk) -> Vec<Arc<str>> {
        if chunk.attempt != self.attempt {
            return Vec::new();
        }
        self.total = self.total.or(chunk.total);
        let mut out = Vec::new();
        if chunk.offset > self.committed {
            self.buffer(chunk.offset, chunk.tokens);
        } else {
            self.commit(chunk.offset, chunk.tokens, &mut out);
        }
        self.commit_early(&mut out);
        out
    }

    fn commit(&mut self, offset: usize, tokens: Vec<Arc<str>>, out: &mut Vec<Arc<str>>) {
        let already_committed = self.committed - offset;
        let remaining = self
            .total
            .map_or(usize::MAX, |total| total.saturating_sub(self.committed));
        for token in tokens.into_iter().skip(already_committed).take(remaining) {
            out.push(token);
            self.committed += 1;
        }
    }

    fn buffer(&mut self, offset: usize, tokens: Vec<Arc<str>>) {
        let buffered = self.early.get(&offset).map_or(0, Vec::len);
        if tokens.len() <= buffered {
            return;
        }
        let added = tokens.len() - buffered;
        if self.early_tokens + added > MAX_EARLY_TOKENS {
            return;
        }
        self.early_tokens += added;
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

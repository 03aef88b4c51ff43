use {super::*, std::sync::Arc, tokio::sync::mpsc::UnboundedSender, uuid::Uuid};

/// A request inside the engine.
#[derive(Debug)]
pub struct Sequence {
    /// The request.
    pub id: Uuid,
    /// The attempt that reads it now.
    pub attempt: u32,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The offset of its first own token.
    pub start: usize,
    /// The tokens that it made.
    pub produced: Vec<String>,
    /// Length of the whole answer.
    pub max_tokens: usize,
    /// Higher goes first.
    pub priority: u8,
    /// Tokens that are still to be taken in.
    pub prefill_remaining: f64,
    /// Hashes of its prompt's blocks.
    pub hashes: Vec<u64>,
    /// Where its frames go.
    pub tx: Option<UnboundedSender<CompletionFrame>>,
    /// Since when nobody reads it, in Unix milliseconds.
    pub unread_since_ms: Option<u64>,
}

impl Sequence {
    /// Returns the offset of its next token.
    pub fn next(&self) -> usize {
        self.start + self.produced.len()
    }

    /// Returns whether its answer is whole.
    pub fn is_done(&self) -> bool {
        self.next() >= self.max_tokens
    }

    /// Makes one token and sends it.
    pub fn step(&mut self, cfg: &EngineConfig, now_ms: u64) {
        let offset = self.next();
        let token = answer_token(cfg, &self.prompt, offset);
        self.produced.push(token.clone());
        let frame = self.frame(offset, vec![token]);
        self.send(frame, now_ms);
    }

    /// Sends a frame; a reader that left is noted.
    pub fn send(&mut self, frame: CompletionFrame, now_ms: u64) {
        let sent = self.tx.as_ref().is_some_and(|tx| tx.send(frame).is_ok());
        if !sent {
            self.tx = None;
            self.unread_since_ms.get_or_insert(now_ms);
        }
    }

    /// Lets a new reader go on after `generated`, if that is what was made here.
    pub fn resume(
        &mut self,
        request: &CompletionRequest,
        tx: UnboundedSender<CompletionFrame>,
    ) -> bool {
        let Some(skip) = request.generated.len().checked_sub(self.start) else {
            return false;
        };
        let same =
            self.produced.len() >= skip && request.generated[self.start..] == self.produced[..skip];
        if !same || *request.prompt != *self.prompt {
            return false;
        }
        self.attempt = request.attempt;
        self.tx = Some(tx);
        self.unread_since_ms = None;
        let all = request.generated.len() + prompt_tokens(&request.prompt);
        let mut frame = self.frame(request.generated.len(), self.produced[skip..].to_vec());
        frame.usage = Some(Usage {
            prompt_tokens: all,
            cached_tokens: all,
        });
        self.send(frame, 0);
        true
    }

    fn frame(&self, offset: usize, tokens: Vec<String>) -> CompletionFrame {
        CompletionFrame {
            request_id: self.id,
            attempt: self.attempt,
            offset,
            tokens,
            total: self.is_done().then_some(self.max_tokens),
            usage: None,
        }
    }
}

/// Returns how many tokens a prompt has.
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.split_whitespace().count()
}

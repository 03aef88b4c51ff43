use {super::*, std::sync::Arc, tokio::sync::mpsc::UnboundedSender, uuid::Uuid};

/// The state of a request in the engine.
#[derive(Debug)]
pub struct Sequence {
    /// ID of the request.
    pub id: Uuid,
    /// Attempt that reads the answer now.
    pub attempt: u32,
    pub prompt: Arc<str>,
    /// Offset of the first token produced here; earlier attempts generated those before it.
    pub start: usize,
    /// Tokens produced here.
    pub produced: Vec<String>,
    /// Length of the complete answer, in tokens.
    pub max_tokens: usize,
    /// Priority in the queue; the higher value is served first.
    pub priority: u8,
    /// Tokens still to be prefilled.
    pub prefill_remaining: f64,
    /// Hashes of the prompt's prefixes, one for each complete block.
    pub hashes: Vec<u64>,
    /// Channel to the reader; `None` without a reader.
    pub tx: Option<UnboundedSender<CompletionFrame>>,
    /// Since when the sequence has no reader, in Unix milliseconds.
    pub unread_since_ms: Option<u64>,
}

impl Sequence {
    /// Returns the offset of the next token.
    pub fn next(&self) -> usize {
        self.start + self.produced.len()
    }

    /// Returns true once the answer is complete.
    pub fn is_done(&self) -> bool {
        self.next() >= self.max_tokens
    }

    /// Produces one token and sends it.
    pub fn step(&mut self, cfg: &EngineConfig, now_ms: u64) {
        let offset = self.next();
        let token = answer_token(cfg, &self.prompt, offset);
        self.produced.push(token.clone());
        let frame = self.frame(offset, vec![token]);
        self.send(frame, now_ms);
    }

    /// Sends a frame. If the reader is gone, records since when.
    pub fn send(&mut self, frame: CompletionFrame, now_ms: u64) {
        let sent = self.tx.as_ref().is_some_and(|tx| tx.send(frame).is_ok());
        if !sent {
            self.tx = None;
            self.unread_since_ms.get_or_insert(now_ms);
        }
    }

    /// Attaches a new reader after the tokens in `generated`, and returns true, if prompt
    /// and tokens match those of this sequence.
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

/// Returns the number of tokens of a prompt: its words.
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.split_whitespace().count()
}

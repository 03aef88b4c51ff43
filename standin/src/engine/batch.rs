use {super::*, std::collections::BTreeMap, tokio::sync::mpsc::UnboundedSender, uuid::Uuid};

/// The requests of an engine, with its prefix cache and counters.
#[derive(Debug, Default)]
pub struct Batch {
    /// Sequences that occupy a slot and are prefilled or decoded.
    pub running: Vec<Sequence>,
    /// Sequences that wait for a slot, by descending priority.
    pub waiting: Vec<Sequence>,
    /// Complete sequences, retained for `resume_grace_ms` so that a reader can resume.
    pub finished: Vec<Sequence>,
    pub cache: PrefixCache,
    /// Tokens of imported KV cache, by request.
    pub imported: BTreeMap<Uuid, usize>,
    /// Requests started, not counting resumed ones.
    pub started: u64,
    /// When the last request was started, in Unix milliseconds.
    pub last_started_ms: u64,
    /// Total time of steps with running sequences, in milliseconds.
    pub busy_ms: f64,
    /// Tokens to prefill of all requests, without cached and imported ones.
    pub computed_tokens: u64,
}

impl Batch {
    /// Adds a request, or attaches the new reader to its sequence if that still exists and
    /// matches.
    pub fn add(
        &mut self,
        cfg: &EngineConfig,
        request: &CompletionRequest,
        tx: UnboundedSender<CompletionFrame>,
    ) {
        for seq in self.all_mut() {
            if seq.id == request.request_id && seq.resume(request, tx.clone()) {
                return;
            }
        }
        self.cancel(request.request_id);
        self.started += 1;
        self.last_started_ms = crate::platform::now_ms();
        let hashes = prefix_hashes(&request.prompt);
        let all = prompt_tokens(&request.prompt) + request.generated.len();
        let imported = self.imported.remove(&request.request_id).unwrap_or(0);
        let cached = self.cache.cached_tokens(&hashes).max(imported).min(all);
        self.computed_tokens += (all - cached) as u64;
        let mut seq = Sequence {
            id: request.request_id,
            attempt: request.attempt,
            prompt: request.prompt.as_str().into(),
            start: request.generated.len(),
            produced: Vec::new(),
            max_tokens: request.max_tokens.max(request.generated.len()),
            priority: request.priority,
            prefill_remaining: (all - cached) as f64,
            hashes,
            tx: Some(tx),
            unread_since_ms: None,
        };
        let usage = Usage {
            prompt_tokens: all,
            cached_tokens: cached,
        };
        let first = CompletionFrame {
            request_id: seq.id,
            attempt: seq.attempt,
            offset: seq.start,
            tokens: Vec::new(),
            total: seq.is_done().then_some(seq.max_tokens),
            usage: Some(usage),
        };
        seq.send(first, 0);
        if !seq.is_done() {
            self.enqueue(cfg, seq);
        }
    }

    /// Removes the sequence of a request.
    pub fn cancel(&mut self, id: Uuid) {
        self.running.retain(|s| s.id != id);
        self.waiting.retain(|s| s.id != id);
        self.finished.retain(|s| s.id != id);
    }

    pub fn find(&self, id: Uuid) -> Option<&Sequence> {
        let all = self.running.iter().chain(&self.waiting);
        all.chain(&self.finished).find(|s| s.id == id)
    }

    /// Performs one step and returns how long it takes, in milliseconds.
    pub fn step(&mut self, cfg: &EngineConfig, now_ms: u64) -> f64 {
        self.remove_unread(cfg, now_ms);
        while self.running.len() < cfg.slots as usize && !self.waiting.is_empty() {
            let seq = self.waiting.remove(0);
            self.running.push(seq);
        }
        let n = self.running.len().max(1) as f64;
        let step_ms = cfg.step_ms + cfg.step_ms_per_request * (n - 1.0);
        if !self.running.is_empty() {
            self.busy_ms += step_ms;
        }
        self.prefill(cfg, step_ms, now_ms);
        for seq in &mut self.running {
            if seq.prefill_remaining <= 0.0 && !seq.is_done() {
                seq.step(cfg, now_ms);
            }
        }
        let (done, running) = self.running.drain(..).partition(|s: &Sequence| s.is_done());
        self.running = running;
        self.finished.extend::<Vec<_>>(done);
        step_ms
    }

    /// Returns true if there are no sequences, so that no step is needed.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty() && self.finished.is_empty()
    }

    fn all_mut(&mut self) -> impl Iterator<Item = &mut Sequence> {
        let all = self.running.iter_mut().chain(&mut self.waiting);
        all.chain(&mut self.finished)
    }

    /// Starts a sequence if a slot is free; queues it by priority otherwise.
    fn enqueue(&mut self, cfg: &EngineConfig, seq: Sequence) {
        if self.running.len() < cfg.slots as usize && self.waiting.is_empty() {
            self.running.push(seq);
            return;
        }
        let at = self.waiting.partition_point(|s| s.priority >= seq.priority);
        self.waiting.insert(at, seq);
    }

    /// Spends the prefill budget of one step on the running sequences, in order.
    fn prefill(&mut self, cfg: &EngineConfig, step_ms: f64, now_ms: u64) {
        let mut room = cfg.prefill_tokens_per_s * step_ms / 1_000.0;
        for seq in &mut self.running {
            if seq.prefill_remaining <= 0.0 {
                continue;
            }
            let part = seq.prefill_remaining.min(room);
            seq.prefill_remaining -= part;
            room -= part;
            if seq.prefill_remaining <= 0.0 {
                let hashes = seq.hashes.clone();
                self.cache.store(&hashes, cfg.cache_blocks, now_ms);
            }
        }
    }

    /// Removes sequences that have had no reader for `resume_grace_ms`.
    fn remove_unread(&mut self, cfg: &EngineConfig, now_ms: u64) {
        let keep = |s: &mut Sequence| {
            if s.tx.as_ref().is_some_and(UnboundedSender::is_closed) {
                s.tx = None;
                s.unread_since_ms.get_or_insert(now_ms);
            }
            match s.unread_since_ms {
                Some(since) => now_ms.saturating_sub(since) < cfg.resume_grace_ms,
                None => true,
            }
        };
        self.running.retain_mut(keep);
        self.waiting.retain_mut(keep);
        self.finished.retain_mut(|s| {
            // The complete answer was sent; it is retained only for a reader that resumes.
            s.unread_since_ms.get_or_insert(now_ms);
            s.tx = None;
            keep(s)
        });
    }
}

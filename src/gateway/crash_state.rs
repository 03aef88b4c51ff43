use {
    super::{Gateway, RequestContext, cut_offs::CutOff},
    crate::{
        names::{RequestFingerprint, UpstreamId},
        policy::{KnownCrash, SuspectRecord},
    },
    http::StatusCode,
    rand::seq::IteratorRandom,
    std::time::Duration,
};

/// Requests under which upstreams end.
impl Gateway {
    /// Returns for how long a request is held back; none if it may be sent.
    pub fn held_for(&self, context: &RequestContext) -> Option<Duration> {
        let crashes = self.crashes.lock();
        // Without this a fingerprint was computed for each request.
        if crashes.is_empty() {
            return None;
        }
        let held_ms = crashes.held_for(context.fingerprint(), self.steady_ms());
        held_ms.map(Duration::from_millis)
    }

    /// Returns by what a request is placed under which upstreams ended; none for others.
    ///
    /// Requests of one session have one home. Without this they followed each other from
    /// upstream to upstream, and the one that ended them could not be told from the rest.
    /// Those under which one ended keep their home: with the first end already, all that ran
    /// on a lost upstream read their prompts anew.
    pub(super) fn isolation_key_for(&self, context: &RequestContext) -> Option<u64> {
        let crashes = self.crashes.lock();
        if crashes.is_empty() {
            return None;
        }
        let fingerprint = context.fingerprint();
        crashes
            .is_suspect(fingerprint)
            .then(|| fingerprint.number() as u64)
    }

    /// Notes that an upstream ended under requests.
    pub(super) fn record_upstream_crash(
        &self,
        upstream: &UpstreamId,
        requests: impl Iterator<Item = (RequestFingerprint, CutOff)>,
    ) {
        let now_ms = self.steady_ms();
        for (fingerprint, cut_off) in requests {
            let mut crashes = self.crashes.lock();
            let was_held = crashes.held_for(fingerprint, now_ms).is_some();
            crashes.record_end(fingerprint, upstream, cut_off.ran_ms, cut_off.at_ms);
            let is_held = crashes.held_for(fingerprint, now_ms).is_some();
            drop(crashes);
            log_if_held(fingerprint, was_held, is_held);
        }
    }

    /// Notes that a request was answered whole. Only a success shows that it ran: an
    /// upstream that is full or late answers with a failure, too, and lives.
    pub(super) fn record_complete_answer(&self, context: &RequestContext, status: StatusCode) {
        let mut crashes = self.crashes.lock();
        if status.is_success()
            && !crashes.is_empty()
            && crashes.record_complete(context.fingerprint())
        {
            log::info!(
                target: "crash",
                "a request is cleared: it was answered whole. fingerprint={}",
                context.fingerprint()
            );
        }
    }

    /// Takes in what another daemon told.
    pub fn apply_crash(&self, told: &KnownCrash, passes_on: Option<bool>) {
        let now_ms = self.steady_ms();
        let mut crashes = self.crashes.lock();
        let was_held = crashes.held_for(told.fingerprint, now_ms).is_some();
        crashes.apply(told, passes_on, now_ms);
        let is_held = crashes.held_for(told.fingerprint, now_ms).is_some();
        drop(crashes);
        log_if_held(told.fingerprint, was_held, is_held);
    }

    /// Takes in what was written down of a request.
    pub fn apply_written(&self, record: &SuspectRecord) {
        if record.ends.is_empty() {
            self.crashes.lock().apply_cleared(record.fingerprint);
        }
        for end in &record.ends {
            self.apply_crash(end, Some(true));
        }
    }

    /// Forgets what is old.
    pub fn tick_crashes(&self) {
        self.crashes.lock().tick(self.steady_ms());
    }

    /// Draws some of a list.
    pub fn random_sample<T>(&self, list: Vec<T>, some: usize) -> Vec<T> {
        list.into_iter()
            .choose_multiple(&mut *self.rng.lock(), some)
    }
}

fn log_if_held(fingerprint: RequestFingerprint, was_held: bool, is_held: bool) {
    match (was_held, is_held) {
        (false, true) => log::warn!(
            target: "crash",
            "a request is held back: upstreams end under it. fingerprint={fingerprint}"
        ),
        (true, false) => log::info!(
            target: "crash",
            "a request is no longer held back. fingerprint={fingerprint}"
        ),
        _ => {}
    }
}

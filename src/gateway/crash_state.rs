use {
    super::{
        DROPPED_SUSPECTS, Gateway, RequestContext,
        cut_offs::{CutOff, find_failure},
    },
    crate::{
        names::{PartFingerprint, RequestFingerprint, UpstreamId},
        policy::{KnownCrash, SuspectRecord},
        upstreams::{Upstream, ends_with_connection},
    },
    http::response::Parts,
    rand::seq::IteratorRandom,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Time within which this daemon knows of a crash that another one observed.
const CRASH_KNOWN_WITHIN: Duration = Duration::from_secs(1);

/// Requests that may crash upstreams.
impl Gateway {
    /// Returns for how long a request is still held back, or `None` if it may be sent.
    pub fn held_for(&self, context: &RequestContext) -> Option<Duration> {
        let crashes = self.crashes.lock();
        // Avoids computing a fingerprint for each request while no crash is known.
        if crashes.is_empty() {
            return None;
        }
        let held_ms = crashes.held_for(context.fingerprint(), self.steady_ms());
        held_ms.map(Duration::from_millis)
    }

    /// Returns whether a request is held back, for itself or for a part of its prompt.
    pub(super) fn is_held(&self, context: &RequestContext) -> bool {
        self.held_for(context).is_some() || self.held_by_part(context).is_some()
    }

    /// Returns the key by which a request that may have caused several crashes is placed
    /// instead of its prompt, or `None` for other requests.
    ///
    /// Requests of one session are placed on the same upstream by their prompt. After a crash
    /// they would all move together from upstream to upstream, and the request that causes the
    /// crashes could not be distinguished from the others. A request with a single crash is
    /// still placed by its prompt: isolated after the first crash already, all requests that
    /// ran on a lost upstream would have to compute their prompts again.
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

    /// Records that an upstream crashed while it ran the given requests.
    pub(super) fn record_upstream_crash(
        &self,
        upstream: &UpstreamId,
        requests: impl Iterator<Item = (RequestFingerprint, CutOff)>,
    ) {
        let now_ms = self.steady_ms();
        for (fingerprint, cut_off) in requests {
            if self.part_crashes.lock().explains(upstream, cut_off.at_ms) {
                continue;
            }
            let mut crashes = self.crashes.lock();
            let was_held = crashes.held_for(fingerprint, now_ms).is_some();
            crashes.record_end(fingerprint, upstream, cut_off.ran_ms, cut_off.at_ms);
            let is_held = crashes.held_for(fingerprint, now_ms).is_some();
            drop(crashes);
            log_if_held(fingerprint, was_held, is_held);
        }
    }

    /// Records that a request was answered completely. Only a success shows that the request
    /// ran: an upstream that is full or too slow responds with a failure and stays up, too.
    ///
    /// An answer that ends with its connection may have been cut off by a crash. It counts only if the
    /// upstream goes on.
    pub(super) fn record_complete_answer(
        self: &Arc<Self>,
        context: &RequestContext,
        upstream: &UpstreamId,
        head: &Parts,
    ) {
        let knows_no_crash = self.crashes.lock().is_empty() && self.part_crashes.lock().is_empty();
        if !head.status.is_success() || knows_no_crash {
            return;
        }
        let fingerprint = context.fingerprint();
        let parts = context.shared_parts(&self.names).to_vec();
        if !ends_with_connection(head) {
            self.record_survived(fingerprint, &parts, upstream);
            return;
        }
        let Some(upstream) = self.directory.read().get(upstream).cloned() else {
            return;
        };
        let gateway = self.clone();
        tokio::spawn(async move {
            if gateway.goes_on(&upstream, fingerprint, &parts).await {
                gateway.record_survived(fingerprint, &parts, &upstream.id);
            }
        });
    }

    /// Returns whether an upstream goes on after an answer to a request that may have crashed it: no
    /// crash becomes known, and if the request or one of its parts is suspect, the upstream accepts
    /// connections. Without that check, an answer that was cut off would clear what caused the crash, if
    /// no other request of this daemon shows the crash and another daemon announces it late.
    async fn goes_on(
        &self,
        upstream: &Upstream,
        fingerprint: RequestFingerprint,
        parts: &[PartFingerprint],
    ) -> bool {
        let (ended_ms, known_at) = (self.steady_ms(), Instant::now() + CRASH_KNOWN_WITHIN);
        let was_suspect = self.is_any_suspect(fingerprint, parts);
        if was_suspect && find_failure(self, upstream).await.is_some() {
            return false;
        }
        sleep_until(known_at).await;
        let is_new_suspect = !was_suspect && self.is_any_suspect(fingerprint, parts);
        if is_new_suspect && find_failure(self, upstream).await.is_some() {
            return false;
        }
        let has_crashed = self.crashes.lock().has_crash(&upstream.id, ended_ms)
            || self.part_crashes.lock().has_crash(&upstream.id, ended_ms);
        !has_crashed
    }

    /// Returns whether a request, or a part of its prompt, was present at a crash.
    fn is_any_suspect(&self, fingerprint: RequestFingerprint, parts: &[PartFingerprint]) -> bool {
        self.crashes.lock().is_known(fingerprint) || self.part_crashes.lock().is_any_known(parts)
    }

    /// Records that a request was answered completely and its upstream survived it.
    fn record_survived(
        &self,
        fingerprint: RequestFingerprint,
        parts: &[PartFingerprint],
        upstream: &UpstreamId,
    ) {
        let now_ms = self.steady_ms();
        let cleared = self.part_crashes.lock().record_complete(parts, now_ms);
        for part in cleared {
            log::info!(
                target: "crash",
                "part cleared of crashes: a prompt with it was answered completely. part={part} fingerprint={fingerprint} upstream={upstream}"
            );
        }
        if self.crashes.lock().record_complete(fingerprint) {
            log::info!(
                target: "crash",
                "request cleared: it was answered completely. fingerprint={fingerprint}"
            );
        }
    }

    /// Applies a crash that another daemon announced. `forward_to_hubs` decides to whom this
    /// daemon forwards it: to other hubs and to its members (`Some(true)`), only to its
    /// members (`Some(false)`), or to nobody (`None`).
    pub fn apply_crash(&self, announced: &KnownCrash, forward_to_hubs: Option<bool>) {
        let now_ms = self.steady_ms();
        let at_ms = now_ms.saturating_sub(announced.age_ms);
        if self
            .part_crashes
            .lock()
            .explains(&announced.upstream, at_ms)
        {
            return;
        }
        let mut crashes = self.crashes.lock();
        let was_held = crashes.held_for(announced.fingerprint, now_ms).is_some();
        crashes.apply(announced, forward_to_hubs, now_ms);
        let is_held = crashes.held_for(announced.fingerprint, now_ms).is_some();
        drop(crashes);
        log_if_held(announced.fingerprint, was_held, is_held);
    }

    /// Applies the stored record of a request. A record without crashes clears the request.
    pub fn apply_written(&self, record: &SuspectRecord) {
        if record.ends.is_empty() {
            self.crashes.lock().apply_cleared(record.fingerprint);
        }
        for crash in &record.ends {
            self.apply_crash(crash, Some(true));
        }
    }

    /// Removes crashes that are older than the retention time, and logs how many requests were dropped
    /// since the last call because there were too many.
    pub fn tick_crashes(&self) {
        let mut crashes = self.crashes.lock();
        crashes.tick(self.steady_ms());
        let dropped = crashes.take_dropped();
        drop(crashes);
        if dropped > 0 {
            metrics::counter!(DROPPED_SUSPECTS).increment(dropped);
            log::warn!(
                target: "crash",
                "too many requests were cut off by crashes, the least suspected ones are forgotten. dropped={dropped}"
            );
        }
    }

    /// Returns up to `max_count` randomly chosen elements of a list.
    pub fn random_sample<T>(&self, list: Vec<T>, max_count: usize) -> Vec<T> {
        list.into_iter()
            .choose_multiple(&mut *self.rng.lock(), max_count)
    }
}

fn log_if_held(fingerprint: RequestFingerprint, was_held: bool, is_held: bool) {
    match (was_held, is_held) {
        (false, true) => log::warn!(
            target: "crash",
            "request held back: upstreams crash while they run it. fingerprint={fingerprint}"
        ),
        (true, false) => log::info!(
            target: "crash",
            "request no longer held back. fingerprint={fingerprint}"
        ),
        _ => {}
    }
}

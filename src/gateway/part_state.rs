//! Parts of prompts that may crash upstreams.

use {
    super::{DROPPED_SUSPECTS, Gateway, RequestContext, cut_offs::CutOffPart, shared_part_ids},
    crate::{
        names::{PartFingerprint, UpstreamId},
        policy::{KnownPartCrash, KnownSurvival, PartRecord, PartVerdict},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Interval at which a running answer is recorded for the parts of its prompt.
const SURVIVAL_INTERVAL: Duration = Duration::from_millis(250);

/// A part of a request's prompt because of which the request is held back.
#[derive(Clone, Copy, Debug)]
pub struct HeldByPart {
    /// The part.
    pub part: PartFingerprint,
    /// For how long the part is still held back.
    pub left: Duration,
}

impl Gateway {
    /// Returns because of which part of its prompt a request is held back, if there is one.
    pub fn held_by_part(&self, context: &RequestContext) -> Option<HeldByPart> {
        let crashes = self.part_crashes.lock();
        // Avoids computing fingerprints for each request while no crash is known.
        if crashes.is_empty() {
            return None;
        }
        let parts = context.shared_parts(&self.names);
        let held = crashes.held_for(parts, context.account_hash(), self.steady_ms())?;
        Some(HeldByPart {
            part: held.part,
            left: Duration::from_millis(held.left_ms),
        })
    }

    /// Records the parts of the prompts that an upstream was running when it crashed.
    pub(super) fn record_parts_at_crash(&self, upstream: &UpstreamId, parts: &[CutOffPart]) {
        let Some(first) = parts.first() else {
            return;
        };
        let requests: BTreeSet<u64> = parts.iter().map(|cut_off| cut_off.request).collect();
        let mut crashes = self.part_crashes.lock();
        crashes.record_cut_off(requests.len() as u32, upstream, first.at_ms);
        for cut_off in parts {
            crashes.record_crash(
                cut_off.part,
                cut_off.depth,
                cut_off.account,
                upstream,
                cut_off.answering_ms,
                cut_off.at_ms,
            );
        }
        drop(crashes);
        self.judge_parts();
    }

    /// Records now and then for how long a running request has been answered.
    pub(super) fn record_running_parts(&self, context: &RequestContext) {
        let answering = context.answering_for();
        let is_due = context.take_survival(answering, SURVIVAL_INTERVAL);
        if !is_due {
            return;
        }
        let mut crashes = self.part_crashes.lock();
        if !crashes.is_empty() {
            let parts = context.shared_parts(&self.names);
            crashes.record_running(parts, answering.as_millis() as u64, self.steady_ms());
        }
    }

    /// Applies what another daemon announced of a part at a crash. `forward_to_hubs` decides to whom this
    /// daemon forwards it: to other hubs and to its members (`Some(true)`), only to its members
    /// (`Some(false)`), or to nobody (`None`).
    pub fn apply_part_crash(&self, announced: &KnownPartCrash, forward_to_hubs: Option<bool>) {
        let now_ms = self.steady_ms();
        let mut crashes = self.part_crashes.lock();
        crashes.apply(announced, forward_to_hubs, now_ms);
    }

    /// Applies an answer of which another daemon announced that it cleared a part. `forward_to_hubs` is
    /// as in [`Self::apply_part_crash`].
    pub fn apply_survival(&self, announced: &KnownSurvival, forward_to_hubs: Option<bool>) {
        let now_ms = self.steady_ms();
        let mut crashes = self.part_crashes.lock();
        crashes.apply_survival(announced, forward_to_hubs, now_ms);
    }

    /// Applies the stored record of a part. A record without crashes clears the part.
    pub fn apply_written_part(&self, record: &PartRecord) {
        if record.crashes.is_empty() {
            self.part_crashes.lock().apply_cleared(record.part);
        }
        for crash in &record.crashes {
            self.apply_part_crash(crash, Some(true));
        }
    }

    /// Removes crashes that are older than the retention time, and finds out which parts are held back.
    pub fn tick_part_crashes(&self) {
        let mut crashes = self.part_crashes.lock();
        crashes.tick(self.steady_ms());
        let dropped = crashes.take_dropped();
        drop(crashes);
        if dropped > 0 {
            metrics::counter!(DROPPED_SUSPECTS).increment(dropped);
            log::warn!(
                target: "crash",
                "too many parts were present at crashes, the oldest ones are forgotten. dropped={dropped}"
            );
        }
        self.judge_parts();
    }

    fn judge_parts(&self) {
        let verdicts = self.part_crashes.lock().judge(self.steady_ms());
        for verdict in verdicts {
            match verdict {
                PartVerdict::Held { part, crashes } => {
                    log::warn!(
                        target: "crash",
                        "part held back: upstreams crash when they answer a prompt with it. part={part} crashes={crashes}"
                    );
                    self.excuse_requests(part);
                }
                PartVerdict::Released { part } => {
                    log::info!(target: "crash", "part no longer held back. part={part}");
                }
            }
        }
    }

    /// Clears requests of the crashes that a part explains: they ran beside it.
    fn excuse_requests(&self, part: PartFingerprint) {
        let part_crashes = self.part_crashes.lock();
        let explained = part_crashes.crashes_of(part);
        let explained: Vec<(UpstreamId, u64)> =
            explained.map(|(id, at_ms)| (id.clone(), at_ms)).collect();
        drop(part_crashes);
        let mut crashes = self.crashes.lock();
        for (upstream, at_ms) in explained {
            crashes.excuse(&upstream, at_ms);
        }
    }

    /// Returns the id of a held part as the request's header names it, for the log.
    pub(super) fn part_id_text<'a>(
        &self,
        context: &'a RequestContext,
        part: PartFingerprint,
    ) -> &'a str {
        let mut ids = shared_part_ids(&context.headers, &self.names);
        let id = ids.find(|id| PartFingerprint::of(id) == part);
        id.unwrap_or("-")
    }
}

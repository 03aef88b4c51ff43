use {
    super::{FixedTime, RECEIVED_LIFETIME_MS, ReceivedSpeeds, RecentSamples},
    crate::{
        names::{ServiceName, UpstreamId},
        policy::*,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// From this factor on, up or down, an upstream counts as slower or faster than its service. Smaller
/// differences count as chance.
const DIFFERS_FROM: f64 = 1.25;
/// An upstream counts as different only if its estimate is off by this many times its uncertainty.
const CERTAINTY: f64 = 5.0;
/// The scatter that is assumed while that of a service is unknown.
const ASSUMED_SCATTER: f64 = 0.2;
/// An upstream that counts as slower or faster does so until its estimate is within this factor. It
/// is smaller than [`DIFFERS_FROM`], so that an upstream near the threshold doesn't go back and forth.
const DIFFERS_UNTIL: f64 = 1.15;
/// The largest ratio of measured to expected time, up or down, that counts. Beyond it, the cause is
/// not the engine's speed.
const MAX_RATIO: f64 = 4.0;
/// The highest weight of another daemon's estimate.
const MAX_WEIGHT: f64 = 9.0;
/// A factor is announced again once it has changed by this ratio, up or down.
const ANNOUNCED_CHANGE: f64 = 1.15;
/// How often a changed factor is announced, since a datagram may be lost.
const ANNOUNCEMENTS: u8 = 2;
/// The least weight at which a factor is announced: about that of one answer.
const MIN_ANNOUNCED_WEIGHT: f64 = 0.8;
/// The most upstreams whose speeds are kept, more than a fleet has. Each takes less than 3 KB.
const MAX_UPSTREAMS: usize = 4_096;

/// What is known of the speed of one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamSpeed {
    /// The service; `None` while only other hubs have announced the upstream.
    service: Option<ServiceName>,
    samples: RecentSamples,
    received: ReceivedSpeeds,
    /// The logarithm of the factor that was last announced, or is to be.
    announced_log: f64,
    /// How often that factor still has to be announced.
    announcements_left: u8,
}

impl UpstreamSpeed {
    /// Prepares an announcement if the factor has changed enough. A factor near 1 counts as 1, so it
    /// is announced only after another one was.
    fn prepare_announcement(&mut self, own: &SpeedEstimate) {
        let log = match own.log_factor.abs() >= DIFFERS_UNTIL.ln() {
            true => own.log_factor,
            false => 0.0,
        };
        if (log - self.announced_log).abs() >= ANNOUNCED_CHANGE.ln() {
            self.announced_log = log;
            self.announcements_left = ANNOUNCEMENTS;
        }
    }
}

/// What all upstreams of a service have in common.
#[derive(Clone, Debug, Default)]
struct ServiceScale {
    fixed: FixedTime,
    /// The logarithm of the time for a token that is expected of the service's upstreams.
    expected: f64,
    /// The average logarithm of the upstreams' times for a token, so that the upstreams of a service
    /// average a factor of 1; `None` while unknown. It is not `expected`, which follows the upstreams
    /// that get most of the work.
    centre: Option<f64>,
    /// The median deviation of an upstream's answers from its estimate, averaged over the upstreams;
    /// `None` while unknown.
    scatter: Option<f64>,
}

impl ServiceScale {
    /// Computes scatter and centre from the upstreams that have answered here.
    fn update<'a>(&mut self, upstreams: impl Iterator<Item = &'a UpstreamSpeed> + Clone) {
        let scatters = upstreams.clone().filter_map(|u| u.samples.scatter());
        let scatters: Vec<f64> = scatters.collect();
        let sum: f64 = scatters.iter().sum();
        self.scatter = (!scatters.is_empty()).then(|| sum / scatters.len() as f64);
        let estimates = upstreams.filter_map(|u| u.samples.estimate());
        let trusted = estimates.map(|e| SpeedEstimate {
            weight: e.trust(),
            ..e
        });
        let average = SpeedEstimate::merged(trusted);
        self.centre = (average.weight > 0.0).then_some(average.log_factor);
    }
}

/// How fast each upstream is compared with its service, learned from its answers here, at the
/// daemons that report to this one, and at other hubs.
///
/// Without it, all upstreams would get equal numbers of tokens: under long prompts, slow upstreams
/// would answer late while fast ones idle. An upstream that doesn't differ from its service has a
/// factor of exactly 1. Each incarnation of an upstream counts as another upstream. Times are
/// milliseconds of the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSpeeds {
    upstreams: HashMap<UpstreamId, UpstreamSpeed>,
    services: HashMap<ServiceName, ServiceScale>,
    /// The factors of the upstreams that differ from their service.
    factors: HashMap<UpstreamId, f64>,
    /// Where the rotation of [`UpstreamSpeeds::to_announce`] goes on.
    next_announced: usize,
}

impl UpstreamSpeeds {
    /// Returns how long an upstream takes, as a multiple of its service's usual time.
    pub fn factor(&self, id: &UpstreamId) -> f64 {
        self.factors.get(id).copied().unwrap_or(1.0)
    }

    /// Returns the time for a token at a service's usual upstream, in milliseconds.
    pub fn usual_ms_per_token(&self, service: &ServiceName) -> Option<f64> {
        self.services.get(service)?.centre.map(f64::exp)
    }

    /// Returns the upstreams that differ from their service, with their factors.
    pub fn differing(&self) -> impl Iterator<Item = (&UpstreamId, f64)> {
        self.factors.iter().map(|(id, factor)| (id, *factor))
    }

    /// Returns the weight of a sample, from 0 to 1. It is 0 if reading the prompt is expected to take
    /// less than the fixed time that all answers have in common.
    pub fn weight(&self, service: &ServiceName, sample: &SpeedSample, times: &EngineTimes) -> f64 {
        let reading_ms = sample.tokens() * times.ms_per_token;
        let scale = self.services.get(service);
        let fixed_ms = scale.map_or_else(
            || FixedTime::default().assumed_ms(times),
            |scale| scale.fixed.assumed_ms(times),
        );
        match sample.is_valid() && reading_ms > fixed_ms {
            true => sample.certainty() * reading_ms / (reading_ms + fixed_ms),
            false => 0.0,
        }
    }

    /// Records the first event of an answer whose request did not wait behind others. It shows the
    /// fixed time that all answers of the service have in common.
    pub fn record_unqueued(
        &mut self,
        service: &ServiceName,
        event: FirstEvent,
        times: &EngineTimes,
    ) {
        let scale = self.services.entry(service.clone()).or_default();
        let tokens = event.unread_tokens as f64;
        scale.fixed.record(tokens, event.after_ms, times);
    }

    /// Records a sample. `times` are those of the service. Returns a change if the upstream's factor
    /// becomes 1 or is no longer 1.
    pub fn record(
        &mut self,
        service: &ServiceName,
        sample: &SpeedSample,
        times: &EngineTimes,
        now_ms: u64,
    ) -> Option<SpeedChange> {
        let weight = self.weight(service, sample, times);
        if weight <= 0.0 || !self.has_room_for(&sample.upstream) {
            return None;
        }
        let scale = self.services.entry(service.clone()).or_default();
        let fixed_ms = scale.fixed.known_ms().unwrap_or(0.0);
        let expected_ms = sample.tokens() * times.ms_per_token;
        let ratio = (sample.after_ms - fixed_ms) / expected_ms;
        let ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO);
        scale.expected = times.ms_per_token.ln();
        let log_time = scale.expected + ratio.ln();
        let upstream = self.upstreams.entry(sample.upstream.clone()).or_default();
        upstream.service = Some(service.clone());
        upstream.samples.record(log_time, weight, now_ms);
        self.update(&sample.upstream, now_ms)
    }

    /// Applies what another hub knows about an upstream.
    pub fn apply(&mut self, sender: &Arc<str>, known: &KnownSpeed, now_ms: u64) {
        let is_valid = known.factor.is_finite() && known.factor > 0.0 && known.weight > 0.0;
        let is_current = known.age_ms < RECEIVED_LIFETIME_MS;
        if !is_valid || !is_current || !self.has_room_for(&known.upstream) {
            return;
        }
        let estimate = SpeedEstimate {
            log_factor: known.factor.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln(),
            weight: known.weight.min(MAX_WEIGHT),
            at_ms: now_ms.saturating_sub(known.age_ms),
        };
        let upstream = self.upstreams.entry(known.upstream.clone()).or_default();
        let scatter = known.scatter.filter(|s| s.is_finite() && *s >= 0.0);
        upstream.received.record(sender, estimate, scatter);
        self.update(&known.upstream, now_ms);
    }

    /// Drops lapsed answers and estimates, and normalises the factors of each service. Returns a
    /// change for each upstream that has answered here and whose factor becomes 1 or is no longer 1.
    pub fn tick(&mut self, now_ms: u64) -> Vec<SpeedChange> {
        for upstream in self.upstreams.values_mut() {
            upstream.samples.tick(now_ms);
            upstream.received.tick(now_ms);
        }
        for (name, scale) in &mut self.services {
            let upstreams = self.upstreams.values();
            let here = upstreams.filter(|u| u.service.as_ref() == Some(name));
            scale.update(here);
        }
        let ids: Vec<(UpstreamId, bool)> = self
            .upstreams
            .iter()
            .map(|(id, u)| (id.clone(), u.service.is_some()))
            .collect();
        let mut changes = Vec::new();
        for (id, is_used) in &ids {
            let change = self.update(id, now_ms);
            changes.extend(change.filter(|_| *is_used));
        }
        self.upstreams
            .retain(|_, u| u.samples.estimate().is_some() || !u.received.is_empty());
        changes
    }

    /// Removes upstreams that are gone: those that have answered requests here, and for which
    /// `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams
            .retain(|id, u| u.service.is_none() || is_known(id));
        let upstreams = &self.upstreams;
        self.factors.retain(|id, _| upstreams.contains_key(id));
    }

    /// Returns the estimates to announce to other hubs, at most `most`: changed ones first, then in
    /// rotation those of the upstreams that differ. They contain no other hub's estimates.
    pub fn to_announce(&mut self, most: usize, now_ms: u64) -> Vec<KnownSpeed> {
        let mut ids: Vec<UpstreamId> = self.factors.keys().cloned().collect();
        ids.sort_unstable();
        let begin = self.next_announced.checked_rem(ids.len()).unwrap_or(0);
        ids.rotate_left(begin);
        let changed = self.upstreams.iter();
        let changed = changed.filter(|(_, u)| u.announcements_left > 0);
        let changed: Vec<UpstreamId> = changed.map(|(id, _)| id.clone()).collect();
        let mut announced = Vec::new();
        let mut seen = HashSet::new();
        for (position, id) in changed.iter().chain(&ids).enumerate() {
            if announced.len() >= most {
                break;
            }
            if position >= changed.len() {
                self.next_announced = begin + position - changed.len() + 1;
            }
            let own = self.own_estimate(id);
            let scatter = self.scatter(id);
            let Some(upstream) = self.upstreams.get_mut(id).filter(|_| seen.insert(id)) else {
                continue;
            };
            upstream.announcements_left = upstream.announcements_left.saturating_sub(1);
            if let Some(own) = own.filter(|own| own.weight >= MIN_ANNOUNCED_WEIGHT) {
                upstream.announced_log = own.log_factor;
                announced.push(known_speed(id, own, scatter, now_ms));
            }
        }
        announced
    }

    /// Returns the estimates of all upstreams that differ, other hubs' estimates included, for a daemon
    /// that has just started.
    pub fn all_differing(&self, now_ms: u64) -> Vec<KnownSpeed> {
        let differing = self.factors.keys();
        let known = differing.filter_map(|id| {
            let estimate = self.estimate(id, now_ms)?;
            Some(known_speed(id, estimate, self.scatter(id), now_ms))
        });
        known.collect()
    }

    fn has_room_for(&self, id: &UpstreamId) -> bool {
        self.upstreams.len() < MAX_UPSTREAMS || self.upstreams.contains_key(id)
    }

    /// Returns the estimate from answers here and at the daemons that report to this one.
    fn own_estimate(&self, id: &UpstreamId) -> Option<SpeedEstimate> {
        let upstream = self.upstreams.get(id)?;
        let scale = self.services.get(upstream.service.as_ref()?)?;
        let centre = scale.centre.unwrap_or(scale.expected);
        let own = upstream.samples.estimate()?;
        Some(SpeedEstimate {
            log_factor: own.log_factor - centre,
            ..own
        })
    }

    /// Returns the estimate from answers here and from other hubs' estimates.
    fn estimate(&self, id: &UpstreamId, now_ms: u64) -> Option<SpeedEstimate> {
        let received = self.upstreams.get(id)?.received.estimates(now_ms);
        let own = self.own_estimate(id);
        Some(SpeedEstimate::merged(own.into_iter().chain(received)))
    }

    /// Returns the scatter of an upstream's service, as measured here or else as announced by the hubs
    /// that know the upstream.
    fn scatter(&self, id: &UpstreamId) -> Option<f64> {
        let upstream = self.upstreams.get(id)?;
        let service = upstream.service.as_ref();
        let scale = service.and_then(|service| self.services.get(service));
        let measured = scale.and_then(|scale| scale.scatter);
        measured.or_else(|| upstream.received.scatter())
    }

    /// Returns by how much the estimate of an upstream may be off, as a logarithm. If the answers of
    /// its service vary widely, a few of them don't show a difference.
    fn uncertainty(&self, id: &UpstreamId, estimate: &SpeedEstimate) -> f64 {
        let scatter = self.scatter(id).unwrap_or(ASSUMED_SCATTER);
        scatter / estimate.weight.sqrt().max(f64::MIN_POSITIVE)
    }

    /// Updates the factor of an upstream, and prepares its announcement. Returns a change if the
    /// factor becomes 1 or is no longer 1.
    fn update(&mut self, id: &UpstreamId, now_ms: u64) -> Option<SpeedChange> {
        let before = self.factor(id);
        let after = self.next_factor(id, before, now_ms);
        match after {
            Some(factor) => self.factors.insert(id.clone(), factor),
            None => self.factors.remove(id),
        };
        let own = self.own_estimate(id);
        let own = own.filter(|own| own.weight >= MIN_ANNOUNCED_WEIGHT);
        if let (Some(own), Some(upstream)) = (own, self.upstreams.get_mut(id)) {
            upstream.prepare_announcement(&own);
        }
        let after = after.unwrap_or(1.0);
        ((before == 1.0) != (after == 1.0)).then(|| SpeedChange {
            upstream: id.clone(),
            before,
            after,
        })
    }

    /// Returns the factor that follows from the current evidence, or `None` if the upstream doesn't
    /// differ from its service.
    fn next_factor(&self, id: &UpstreamId, before: f64, now_ms: u64) -> Option<f64> {
        let estimate = self.estimate(id, now_ms).unwrap_or_default();
        let log = estimate.trusted_log_factor();
        let needed = self.uncertainty(id, &estimate) * CERTAINTY;
        let found = estimate.log_factor.abs();
        let differs = match before == 1.0 {
            true => log.abs() >= DIFFERS_FROM.ln() && found >= needed,
            false => found >= DIFFERS_UNTIL.ln().max(needed / 2.0),
        };
        differs.then(|| log.exp())
    }
}

fn known_speed(
    id: &UpstreamId,
    estimate: SpeedEstimate,
    scatter: Option<f64>,
    now_ms: u64,
) -> KnownSpeed {
    KnownSpeed {
        upstream: id.clone(),
        factor: estimate.log_factor.exp(),
        weight: estimate.weight,
        age_ms: now_ms.saturating_sub(estimate.at_ms),
        scatter,
    }
}

use {
    super::{DIFFERING_UPSTREAMS, Gateway, SPEED_SPREAD},
    crate::{
        cluster::{AnnouncedSample, SamplesPart},
        names::{FailureDomain, ServiceName, UpstreamId},
        policy::*,
        upstreams::ReadyUpstreams,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// The largest number of samples in one report.
const MAX_SAMPLES: usize = 8;

/// The speed of each upstream as a multiple of its service's usual time.
impl Gateway {
    /// Returns how long an upstream takes, as a multiple of its service's usual time.
    pub fn time_factor(&self, id: &UpstreamId) -> f64 {
        self.speeds.lock().factor(id)
    }

    /// Returns the capacity of a service's ready upstreams by failure domain, in units of the
    /// service's usual upstream.
    pub fn capacity_of(&self, service: &ServiceName) -> BTreeMap<FailureDomain, f64> {
        let ready = self.directory.read().ready_list(service);
        let speeds = self.speeds.lock();
        let mut capacity = BTreeMap::new();
        for upstream in &ready.upstreams {
            *capacity.entry(upstream.domain.clone()).or_insert(0.0) +=
                1.0 / speeds.factor(&upstream.id);
        }
        capacity
    }

    /// Returns the smallest time factor of a service's ready upstreams that are not in cooldown for
    /// this daemon; 1 if there are none.
    pub fn least_time_factor(&self, service: &ServiceName) -> f64 {
        let ready = self.directory.read().ready_list(service);
        let factors = self.time_factors(&ready);
        if factors.is_empty() {
            return 1.0;
        }
        let in_cooldown = self.in_cooldown().into_iter();
        let in_cooldown: HashSet<usize> =
            in_cooldown.filter_map(|id| ready.index_of(&id)).collect();
        let left = (0..ready.upstreams.len()).filter(|index| !in_cooldown.contains(index));
        let left = left.map(|index| factors.get(&index).copied().unwrap_or(1.0));
        left.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Returns the time for a token at a service's usual upstream in milliseconds; none while no answer
    /// has shown it. [`capacity_of`](Self::capacity_of) counts in such upstreams. The speed in
    /// [`engine_times`](Self::engine_times) is instead that of the upstreams that get the most work.
    pub fn usual_ms_per_token(&self, service: &ServiceName) -> Option<f64> {
        self.speeds.lock().usual_ms_per_token(service)
    }

    /// Returns the factors of the ready upstreams that differ from their service, by index.
    pub(super) fn time_factors(&self, ready: &ReadyUpstreams) -> HashMap<usize, f64> {
        let speeds = self.speeds.lock();
        let factors = speeds.differing();
        factors
            .filter_map(|(id, factor)| Some((ready.index_of(id)?, factor)))
            .collect()
    }

    /// Records the answer to a request that was not sent to another upstream before, and reports it to
    /// the hub if it shows how fast its upstream is.
    pub(super) fn record_speed_sample(&self, service: &ServiceName, sample: SpeedSample) {
        if !self.settings.mechanisms.upstream_speeds {
            return;
        }
        let times = self.engine_times(service);
        let now_ms = self.steady_ms();
        let mut speeds = self.speeds.lock();
        if speeds.weight(service, &sample, &times) <= 0.0 {
            return;
        }
        let change = speeds.record(service, &sample, &times, now_ms);
        drop(speeds);
        log_changes(change);
        if !self.is_hub() {
            self.speed_samples.lock().record(sample);
        }
    }

    /// Updates the speed of an upstream with a sample of a daemon that reports to this one.
    pub fn learn_speed_sample(&self, sample: &SpeedSample) {
        if !self.settings.mechanisms.upstream_speeds {
            return;
        }
        let directory = self.directory.read();
        let service = directory.get(&sample.upstream).map(|u| u.service.clone());
        drop(directory);
        let Some(service) = service else {
            return;
        };
        let times = self.engine_times(&service);
        let now_ms = self.steady_ms();
        let mut speeds = self.speeds.lock();
        let change = speeds.record(&service, sample, &times, now_ms);
        drop(speeds);
        log_changes(change);
    }

    /// Learns the part of a service's answer times that does not depend on the prompt, from an answer
    /// to a request that did not wait.
    pub(super) fn learn_fixed_time(&self, service: &ServiceName, event: FirstEvent) {
        if !self.settings.mechanisms.upstream_speeds {
            return;
        }
        let times = self.engine_times(service);
        let mut speeds = self.speeds.lock();
        speeds.record_unqueued(service, event, &times);
    }

    /// Applies speeds that another hub announced.
    pub fn apply_speeds(&self, sender: &str, known: &[KnownSpeed]) {
        if !self.settings.mechanisms.upstream_speeds {
            return;
        }
        let now_ms = self.steady_ms();
        let sender: Arc<str> = sender.into();
        let mut speeds = self.speeds.lock();
        for known in known {
            speeds.apply(&sender, known, now_ms);
        }
    }

    /// Returns samples to send with the next report to the hub; none if there are none.
    pub fn samples_to_announce(&self) -> Option<SamplesPart> {
        let samples = self.speed_samples.lock().take(MAX_SAMPLES);
        let samples = samples.into_iter();
        let samples: Vec<_> = samples
            .map(|(number, sample)| (number, AnnouncedSample::of(&sample)))
            .collect();
        (!samples.is_empty()).then(|| SamplesPart {
            name: self.settings.node.name.to_string(),
            incarnation: self.incarnation,
            samples,
        })
    }

    /// Drops speeds that are too old, and updates the metrics of speeds.
    pub fn tick_speeds(&self) {
        let now_ms = self.steady_ms();
        let mut speeds = self.speeds.lock();
        let changes = speeds.tick(now_ms);
        let differing = speeds.differing().map(|(id, factor)| (id.clone(), factor));
        let differing: Vec<_> = differing.collect();
        drop(speeds);
        log_changes(changes);
        self.record_speed_metrics(&differing);
    }

    /// Sets, for each service, the number of differing upstreams and the ratio of the slowest to the
    /// fastest one.
    fn record_speed_metrics(&self, differing: &[(UpstreamId, f64)]) {
        let engines = self.engines.lock();
        let names = engines.keys().cloned();
        let mut services: BTreeMap<ServiceName, (usize, f64, f64)> =
            names.map(|name| (name, (0, 1.0, 1.0))).collect();
        drop(engines);
        let directory = self.directory.read();
        for (id, factor) in differing {
            if let Some(upstream) = directory.get(id) {
                let spread = services.entry(upstream.service.clone());
                let (count, low, high) = spread.or_insert((0, 1.0, 1.0));
                *count += 1;
                *low = low.min(*factor);
                *high = high.max(*factor);
            }
        }
        drop(directory);
        for (service, (count, low, high)) in services {
            let service = service.to_string();
            metrics::gauge!(DIFFERING_UPSTREAMS, "service" => service.clone()).set(count as f64);
            metrics::gauge!(SPEED_SPREAD, "service" => service).set(high / low);
        }
    }
}

/// Logs upstreams that count as faster or slower than before.
fn log_changes(changes: impl IntoIterator<Item = SpeedChange>) {
    for SpeedChange {
        upstream,
        before,
        after,
    } in changes
    {
        let pace = match after {
            1.0 => "usual",
            slow if slow > 1.0 => "slow",
            _ => "fast",
        };
        log::info!(
            target: "engines",
            "upstream recognised. upstream={upstream} pace={pace} factor={after:.2} before={before:.2}"
        );
    }
}

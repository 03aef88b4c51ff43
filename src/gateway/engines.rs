use {
    super::*,
    crate::{
        cluster::MemberEvent,
        names::ServiceName,
        policy::*,
        routing::{Route, RouteKind},
    },
    std::time::Duration,
};

/// Multiple of the average response time that must be left of the target latency when a
/// request stops waiting for its quota. The response is then more likely than not in time.
const RESPONSE_TIME_FACTOR: f64 = 2.0;

/// Speed and load of the engines of a service.
impl Gateway {
    /// Returns the prefill speeds that this daemon has measured, by service.
    pub fn own_prefill_speeds(&self) -> Vec<(ServiceName, PrefillSpeed)> {
        let engines = self.engines.lock();
        let speeds = engines.iter();
        speeds
            .filter_map(|(name, model)| Some((name.clone(), model.prefill_speed()?)))
            .collect()
    }

    /// Returns the prefill speed of a service's engines, merged from all daemons' measurements.
    pub fn prefill_speed(&self, service: &ServiceName) -> Option<PrefillSpeed> {
        if !self.settings.mechanisms.learned_speed {
            return Some(PrefillSpeed {
                ms_per_token: self.settings.first_guess.ms_per_token,
                comparisons: 0,
            });
        }
        let engines = self.engines.lock();
        let own = engines.get(service).and_then(EngineModel::prefill_speed);
        drop(engines);
        let others = self.peers.lock().prefill_speeds(service.as_str());
        PrefillSpeed::merged(own.into_iter().chain(others))
    }

    /// Returns the expected times at a service's upstreams: measured, or else configured guesses.
    pub fn engine_times(&self, service: &ServiceName) -> EngineTimes {
        let speed = self.prefill_speed(service);
        let guess = &self.settings.first_guess;
        let engines = self.engines.lock();
        let model = engines.get(service);
        let stay_ms = model.and_then(EngineModel::stay_ms);
        let first_event_ms = model.and_then(EngineModel::first_event_ms);
        EngineTimes {
            ms_per_token: speed.map_or(guess.ms_per_token, |s| s.ms_per_token),
            first_event_ms: first_event_ms.or(stay_ms).unwrap_or(guess.first_event_ms),
            stay_ms: stay_ms.unwrap_or(guess.stay_ms),
        }
    }

    /// Records the time to the first event of a response that waited for no other request, and
    /// reports it to other daemons.
    pub(super) fn record_first_event(&self, service: &ServiceName, event: FirstEvent) {
        self.learn_first_event(service, event);
        self.record_event(|| MemberEvent::FirstEvent {
            service: service.to_string(),
            unread_tokens: event.unread_tokens as u32,
            after_ms: event.after_ms as f32,
        });
    }

    /// Updates the model of a service with a first event observed here or at another daemon.
    pub fn learn_first_event(&self, service: &ServiceName, event: FirstEvent) {
        self.learn_fixed_time(service, event);
        let mut engines = self.engines.lock();
        let model = engines.entry(service.clone()).or_default();
        model.record_first_event(event);
    }

    /// Records how long a completed request took at its upstream, in milliseconds, and reports
    /// it to other daemons.
    pub(super) fn record_stay(&self, service: &ServiceName, stay_ms: f64) {
        self.learn_stay(service, stay_ms);
        self.record_event(|| MemberEvent::Completed {
            service: service.to_string(),
            ms: stay_ms as f32,
        });
    }

    /// Updates the model of a service with the duration of a request, observed here or at
    /// another daemon.
    pub fn learn_stay(&self, service: &ServiceName, stay_ms: f64) {
        let mut engines = self.engines.lock();
        let model = engines.entry(service.clone()).or_default();
        model.record_stay(stay_ms);
    }

    /// Returns how long a request may wait for its quota so that its response is still likely to be in
    /// time. The response time is that of the fastest usable upstream, as placement prefers upstreams
    /// that answer in time.
    pub fn max_wait(&self, service: &ServiceName, route: &Route) -> Duration {
        let times = self.engine_times(service);
        let answer_ms = match route.kind {
            RouteKind::Streaming => times.first_event_ms,
            RouteKind::Idempotent | RouteKind::NonIdempotent => times.stay_ms,
        };
        let answer_ms = answer_ms * self.least_time_factor(service);
        let left_ms = route.target_latency_ms as f64 - answer_ms * RESPONSE_TIME_FACTOR;
        Duration::from_secs_f64(left_ms.max(0.0) / 1_000.0)
    }

    /// Returns how many requests of all daemons run at a service's upstreams.
    pub fn running_at(&self, service: &ServiceName) -> u32 {
        let loads = self.all_loads();
        let directory = self.directory.read();
        let ready = directory.ready(service);
        ready
            .filter_map(|u| loads.get(&u.id).map(|(active, _)| *active))
            .sum()
    }
}

//! Which software version began a stream, as far as this daemon knows.

use {
    super::{DROPPED_ORIGINS, Gateway, RequestContext},
    crate::{
        cluster::{OriginAnswer, OriginLog, OriginsPart},
        names::{ServiceName, UpstreamVersion},
        policy::{AnnouncedOrigin, AttemptKey, StreamOrigin},
        upstreams::Upstream,
    },
};

/// How long after the end of its first answer a stream may still be taken up, in milliseconds.
const RETURN_MS: u64 = 30_000;

impl Gateway {
    /// Returns the version that began a stream, if this daemon knows it.
    pub fn known_origin(&self, key: AttemptKey) -> Option<UpstreamVersion> {
        let now_ms = self.steady_ms();
        let origins = self.origins.lock();
        origins
            .get(key, now_ms)
            .map(|origin| origin.version.clone())
    }

    /// Records what another daemon, or the shared log, says of streams.
    pub fn record_origins(&self, part: &OriginsPart) {
        let origin = part.origin();
        let now_ms = self.steady_ms();
        let expires_ms = now_ms + u64::from(part.left_ms);
        let mut origins = self.origins.lock();
        for key in part.keys() {
            origins.record(key, origin.clone(), expires_ms, now_ms);
        }
        drop(origins);
        // The version may have gone before this daemon started.
        let mut history = self.version_history.lock();
        history.observe(&origin.service, &[origin.version], now_ms);
    }

    /// Records the upstream that began a client's stream, before the client gets the first event.
    /// Returns what is to be announced at once: nothing while the service is known to have one version
    /// only.
    pub(super) fn record_own_origin(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
    ) -> Option<AnnouncedOrigin> {
        if !context.route.resumable {
            return None;
        }
        let key = context.origin_key()?;
        let now_ms = self.steady_ms();
        let origin = StreamOrigin {
            service: upstream.service.clone(),
            version: upstream.version.clone(),
        };
        let expires_ms = now_ms + context.route.timeout_ms + RETURN_MS;
        let is_announced = !self.has_one_version(&upstream.service);
        let mut origins = self.origins.lock();
        origins.record_own(key, origin, expires_ms, now_ms);
        match is_announced {
            true => origins.take_unannounced_of(key, now_ms),
            false => None,
        }
    }

    /// Takes the origins of own streams that are to be announced by now, since their services have
    /// several versions.
    pub(crate) fn take_due_origins(&self) -> Vec<AnnouncedOrigin> {
        if !self.origins.lock().has_unannounced() {
            return Vec::new();
        }
        let services = self.services().into_iter();
        let due = services.filter(|service| !self.has_one_version(service));
        let due: Vec<ServiceName> = due.collect();
        if due.is_empty() {
            return Vec::new();
        }
        let now_ms = self.steady_ms();
        let mut origins = self.origins.lock();
        origins.take_unannounced(|service| due.contains(service), now_ms)
    }

    fn services(&self) -> Vec<ServiceName> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let services = table.config().services.iter();
        services.map(|s| s.name.clone()).collect()
    }

    /// Applies an answer to a query of this daemon. `alone` is the version that the other daemon knows to
    /// have served alone.
    pub(crate) fn apply_origin_answer(&self, answer: &OriginAnswer, alone: Option<&str>) {
        if answer.incarnation == self.incarnation {
            self.origin_client.apply(answer.id, answer.received(alone));
        }
    }

    /// Sets the shared log from which the versions that began streams can be read. It is set once, when
    /// the daemon starts.
    pub fn set_origin_log(&self, log: OriginLog) -> &OriginLog {
        self.origin_log.get_or_init(|| log)
    }

    /// Records that this daemon is to write origins to the shared log, if it has one.
    pub(crate) fn add_origins_to_log(&self, keys: impl Iterator<Item = AttemptKey>) {
        if self.origin_log.get().is_some() {
            self.origins.lock().add_to_log(keys);
        }
    }

    /// Takes the origins that this daemon is to write to the shared log.
    pub fn take_origins_to_log(&self) -> Vec<AnnouncedOrigin> {
        let now_ms = self.steady_ms();
        self.origins.lock().take_to_log(now_ms)
    }

    /// Removes the origins of streams that can no longer be taken up.
    pub(super) fn expire_origins(&self) {
        let now_ms = self.steady_ms();
        let mut origins = self.origins.lock();
        origins.expire(now_ms);
        let dropped = origins.take_dropped();
        drop(origins);
        if dropped > 0 {
            metrics::counter!(DROPPED_ORIGINS).increment(dropped);
            log::warn!(
                target: "stream",
                "versions of streams forgotten for want of room. streams={dropped}"
            );
        }
    }
}

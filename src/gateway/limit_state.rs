use {
    super::{Gateway, LIMITED_ANSWERS, PERMITS, Placement, PlacementRequest},
    crate::{
        cluster::{AnnouncedLimit, Extension, PermitIssuer, PermitQuery},
        names::{ServiceName, UpstreamId},
        policy::{KnownLimit, NamedLimit, PermitShare, RequestRate, name_hash},
        upstreams::Upstream,
    },
    http::HeaderMap,
    std::time::Duration,
};

/// Maximum number of denied permits up to which a request may still be placed on upstreams that
/// name a limit. Each attempt may cost a query to another daemon.
const MAX_DENIALS: usize = 3;
/// Wait before the next query for a permit after one without an answer, in milliseconds. It
/// takes about twice as long until another daemon is found to issue the permits.
const UNANSWERED_WAIT_MS: u64 = 300;
/// Bounds of the retry time sent to a client while the limits of all upstreams of its service
/// are used up. With a shorter one, the client returns before any permit can be available;
/// with a longer one, a limit that lapses meanwhile costs it more than a refused attempt.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Rate limits that upstreams name in their responses.
impl Gateway {
    /// Records the limit that a response head names, or that it names none. `sent_ms` is the
    /// time when its request was sent.
    pub(super) fn record_named_limit(
        &self,
        upstream: &Upstream,
        headers: &HeaderMap,
        sent_ms: u64,
    ) {
        let values = headers.get_all(&self.names.upstream_limit);
        let named = NamedLimit::read(values.iter().map(|value| value.as_bytes()));
        match named {
            NamedLimit::Absent => {}
            NamedLimit::Rate(_) => metrics::counter!(LIMITED_ANSWERS).increment(1),
            NamedLimit::Unreadable => log::warn!(
                target: "limit",
                "upstream names an unreadable limit. upstream={}",
                upstream.id
            ),
        }
        let now_ms = self.steady_ms();
        let mut limits = self.limits.lock();
        let is_change = limits.record_answer(&upstream.id, named, sent_ms, now_ms);
        let rate = limits.rate(&upstream.id);
        drop(limits);
        if is_change {
            log_change(&upstream.id, rate, "an answer");
        }
    }

    /// Applies a limit that another daemon announced. `forward_to_hubs` decides to whom this
    /// daemon forwards it: to other hubs and to its members (`Some(true)`), only to its
    /// members (`Some(false)`), or to nobody (`None`).
    pub fn apply_limit(&self, announced: &KnownLimit, forward_to_hubs: Option<bool>) {
        let now_ms = self.steady_ms();
        if self.limits.lock().apply(announced, forward_to_hubs, now_ms) {
            log_change(&announced.upstream, announced.rate, "a daemon");
        }
    }

    /// Removes limits that lapsed long ago. Returns the number of upstreams that are still in
    /// the table.
    pub fn tick_limits(&self) -> usize {
        let mut limits = self.limits.lock();
        limits.tick(self.steady_ms());
        limits.len()
    }

    /// Returns the upstreams to which a request must not be sent because of their limits:
    /// those whose limit is used up or, after more than `MAX_DENIALS` denied permits, all that
    /// name a limit.
    pub(super) fn excluded_by_limits(&self, denials: usize) -> Vec<UpstreamId> {
        let now_ms = self.steady_ms();
        let limits = self.limits.lock();
        let is_excluded = |id: &UpstreamId| denials > MAX_DENIALS || limits.is_used_up(id, now_ms);
        let limited = limits.limited().map(|(id, _)| id);
        limited.filter(|id| is_excluded(id)).cloned().collect()
    }

    /// Chooses an upstream by what this daemon knows, and takes a permit if the upstream names
    /// a limit. Without permits, an upstream that protects itself by a limit has few requests,
    /// looks idle, and gets its full share of the load.
    pub async fn choose_permitted(
        &self,
        request: &PlacementRequest,
        id: &str,
    ) -> Option<Placement> {
        let mut denials = 0;
        loop {
            let mut placement = self.choose_after(request, id, denials)?;
            if self
                .take_permit(&placement.upstream.id, false)
                .await
                .is_ok()
            {
                placement.has_permit = true;
                return Some(placement);
            }
            denials += 1;
        }
    }

    /// Takes a permit to send a request to an upstream from the daemon that issues them. A
    /// permit is always granted for an upstream that names no limit. `is_forwarded` is true if
    /// this daemon forwards the query of another one.
    ///
    /// # Errors
    ///
    /// Returns the time after which to query again, in milliseconds.
    pub async fn take_permit(&self, id: &UpstreamId, is_forwarded: bool) -> Result<(), u64> {
        let now_ms = self.steady_ms();
        let known = {
            let limits = self.limits.lock();
            // The usual case, handled without copying the upstream's name.
            if limits.rate(id).is_none() {
                return Ok(());
            }
            limits.known(id, now_ms)
        };
        let Some(known) = known else {
            return Ok(());
        };
        let taken = match self.permit_issuer(id) {
            PermitIssuer::Own => self.issue_permit(id),
            PermitIssuer::Other(issuer) => {
                let limit = AnnouncedLimit::of(&known);
                let make_query = |id| {
                    Extension::PermitQuery(PermitQuery {
                        incarnation: self.incarnation,
                        id,
                        is_forwarded,
                        limit,
                    })
                };
                let answer = self.permit_client.query(self, issuer, make_query);
                match answer.await {
                    Some(answer) => {
                        let known = answer.limit.as_ref().and_then(AnnouncedLimit::to_known);
                        if let Some(known) = known {
                            self.apply_limit(&known, None);
                        }
                        let wait_ms = u64::from(answer.wait_ms);
                        answer.is_granted.then_some(()).ok_or(wait_ms)
                    }
                    None => Err(UNANSWERED_WAIT_MS),
                }
            }
            // No daemon issues permits, so each takes an even share of the limit.
            PermitIssuer::Nobody => self.take_share(
                id,
                PermitShare {
                    part: 1.0 / self.daemons().max(1) as f64,
                    ..PermitShare::ALL
                },
            ),
        };
        if let Err(wait_ms) = taken {
            let now_ms = self.steady_ms();
            self.limits.lock().record_used_up(id, wait_ms, now_ms);
        }
        let outcome = if taken.is_ok() { "granted" } else { "denied" };
        metrics::counter!(PERMITS, "outcome" => outcome).increment(1);
        taken
    }

    /// Takes a permit for an upstream whose permits this daemon issues.
    ///
    /// # Errors
    ///
    /// Returns the time after which to query again, in milliseconds.
    pub fn issue_permit(&self, id: &UpstreamId) -> Result<(), u64> {
        let share = PermitShare {
            per_s_without_permits: self.per_s_without_permits(id),
            ..PermitShare::ALL
        };
        self.take_share(id, share)
    }

    fn take_share(&self, id: &UpstreamId, share: PermitShare) -> Result<(), u64> {
        let now_ms = self.steady_ms();
        self.limits.lock().take(id, share, now_ms)
    }

    /// Estimates how many requests per second an upstream gets from daemons that do not
    /// support limits: from the number of their requests there and the time that a request
    /// stays at an upstream.
    fn per_s_without_permits(&self, id: &UpstreamId) -> f64 {
        let active = self.peers.lock().active_without_permits(id);
        if active == 0 {
            return 0.0;
        }
        let directory = self.directory.read();
        let service = directory.get(id).map(|u| u.service.clone());
        drop(directory);
        let stay_ms = service.map(|service| self.engine_times(&service).stay_ms);
        stay_ms.map_or(0.0, |ms| f64::from(active) * 1_000.0 / ms.max(1.0))
    }

    fn permit_issuer(&self, id: &UpstreamId) -> PermitIssuer {
        let directory = self.directory.read();
        let domain = directory.get(id).map(|u| u.domain.clone());
        drop(directory);
        let domain = domain.as_ref().unwrap_or(self.domain());
        let own_issues = self.is_hub() && !self.is_stopping();
        let peers = self.peers.lock();
        peers.permit_issuer(name_hash(id.as_str()), domain.as_str(), own_issues)
    }

    /// Returns the retry time for a client while the limits of all upstreams of its service
    /// are used up: the average interval between two permits. Returns `None` if there are no
    /// upstreams, or if any names no limit, since a slot may then be free at once.
    pub(super) fn limits_wait(&self, service: &ServiceName) -> Option<Duration> {
        let ready = self.directory.read().ready_list(service);
        let limits = self.limits.lock();
        let rates = ready.upstreams.iter().map(|u| limits.rate(&u.id));
        let rates = rates.collect::<Option<Vec<RequestRate>>>()?;
        if rates.is_empty() {
            return None;
        }
        let per_s: f64 = rates.into_iter().map(RequestRate::per_s).sum();
        let wait = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(MAX_RETRY_AFTER);
        Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}

fn log_change(id: &UpstreamId, rate: Option<RequestRate>, by: &str) {
    match rate {
        Some(rate) => log::info!(
            target: "limit",
            "upstream names a limit. upstream={id} per_s={rate} told_by=\"{by}\""
        ),
        None => log::info!(
            target: "limit",
            "limit lapsed. upstream={id} told_by=\"{by}\""
        ),
    }
}

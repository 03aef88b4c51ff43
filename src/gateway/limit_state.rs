use {
    super::{Gateway, LIMITED_ANSWERS, PERMITS, PlaceRequest, Placement},
    crate::{
        cluster::{AnnouncedLimit, PermitIssuer},
        names::{ServiceName, UpstreamId},
        policy::{KnownLimit, NamedLimit, PermitShare, RequestRate, name_hash},
        upstreams::Upstream,
    },
    http::HeaderMap,
    std::time::Duration,
};

/// How often a request is placed anew for which a permit was denied, before upstreams that
/// name a limit are left out: each time is a question to another daemon.
const MAX_DENIALS: usize = 3;
/// When to ask again for a permit that could not be asked for, in milliseconds: others are
/// found to issue them in about twice that.
const UNANSWERED_WAIT_MS: u64 = 300;
/// The least and the most that a client is told to wait where all upstreams of its service
/// have used their limits up: below, it is back before any permit can be; above, a limit
/// that has lapsed meanwhile would cost it more than a try in vain.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How much upstreams take that say so.
impl Gateway {
    /// Notes what an answer's head says of how much its upstream takes, whose request was
    /// sent at `sent_ms`.
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
                "an upstream names a limit that can't be read. upstream={}",
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

    /// Takes in what another daemon told of a limit.
    pub fn apply_limit(&self, told: &KnownLimit, passes_on: Option<bool>) {
        let now_ms = self.steady_ms();
        if self.limits.lock().apply(told, passes_on, now_ms) {
            log_change(&told.upstream, told.rate, "a daemon");
        }
    }

    /// Forgets limits that lapsed long ago; returns of how many upstreams any is known.
    pub fn tick_limits(&self) -> usize {
        let mut limits = self.limits.lock();
        limits.tick(self.steady_ms());
        limits.len()
    }

    /// Returns the upstreams that a request must not go to for the sake of their limits:
    /// those that have used them up, and all that name one after some denials.
    pub(super) fn excluded_by_limits(&self, denials: usize) -> Vec<UpstreamId> {
        let now_ms = self.steady_ms();
        let limits = self.limits.lock();
        let is_barred = |id: &UpstreamId| denials > MAX_DENIALS || limits.is_used_up(id, now_ms);
        let limited = limits.limited().map(|(id, _)| id);
        limited.filter(|id| is_barred(id)).cloned().collect()
    }

    /// Chooses an upstream by what this daemon knows, and takes a permit where it names a
    /// limit. Without permits, an upstream in need looks idle and gets its whole part of the
    /// load.
    pub async fn choose_permitted(&self, request: &PlaceRequest, id: &str) -> Option<Placement> {
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

    /// Takes a permit to send a request to an upstream from the daemon that issues them;
    /// one is always there for an upstream that names no limit. `is_passed_on` says whether
    /// another daemon asked this one.
    ///
    /// # Errors
    ///
    /// Returns in how many milliseconds to come again.
    pub async fn take_permit(&self, id: &UpstreamId, is_passed_on: bool) -> Result<(), u64> {
        let now_ms = self.steady_ms();
        let known = {
            let limits = self.limits.lock();
            // The usual case: no name is copied.
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
                let answer = self.permit_client.query(self, issuer, limit, is_passed_on);
                match answer.await {
                    Some(answer) => {
                        let known = answer.limit.as_ref().and_then(AnnouncedLimit::known);
                        if let Some(known) = known {
                            self.apply_limit(&known, None);
                        }
                        let wait_ms = u64::from(answer.wait_ms);
                        answer.is_granted.then_some(()).ok_or(wait_ms)
                    }
                    None => Err(UNANSWERED_WAIT_MS),
                }
            }
            // Nobody issues them: each daemon takes an even part.
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

    /// Takes a permit of those that this daemon issues.
    ///
    /// # Errors
    ///
    /// Returns in how many milliseconds to come again.
    pub fn issue_permit(&self, id: &UpstreamId) -> Result<(), u64> {
        let share = PermitShare {
            unaware_per_s: self.unaware_per_s(id),
            ..PermitShare::ALL
        };
        self.take_share(id, share)
    }

    fn take_share(&self, id: &UpstreamId, share: PermitShare) -> Result<(), u64> {
        let now_ms = self.steady_ms();
        self.limits.lock().take(id, share, now_ms)
    }

    /// Estimates how many requests a second daemons send to an upstream that know of no
    /// limits: by how many they have there, and for how long requests stay.
    fn unaware_per_s(&self, id: &UpstreamId) -> f64 {
        let active = self.peers.lock().unaware_at(id);
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

    /// Returns when a client may come back whose service has used up the limits of all its
    /// upstreams, as long as permits are apart; none if there are no upstreams, or any names
    /// no limit: then there may be a place at once.
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
            "an upstream names a limit. upstream={id} per_s={rate} told_by=\"{by}\""
        ),
        None => log::info!(
            target: "limit",
            "a limit has lapsed. upstream={id} told_by=\"{by}\""
        ),
    }
}

use {
    crate::{cluster::*, names::ClientAccount, policy::DaemonRank},
    std::collections::HashMap,
};

/// After how many of its own periods a daemon that was not heard counts as
/// silent.
const SILENT_PERIODS: f64 = 2.8;
/// After how many it may be cut off.
const LATE_PERIODS: f64 = 1.6;
/// After how many of its own periods a hub's loads no longer count.
const LOADS_PERIODS: f64 = 4.0;
/// How long one counts as alive that others hear, in milliseconds: hubs name
/// some of those that they hear every second or two.
const ANNOUNCED_MS: u64 = 4_000;

/// Another daemon, as one sees it. Times are milliseconds of the daemon's
/// steady clock.
#[derive(Debug)]
pub(super) struct Peer {
    /// Who it is.
    pub(super) entry: DaemonEntry,
    /// Its place among those of its failure domain.
    pub(super) rank: DaemonRank,
    /// Which life of it was heard.
    pub(super) incarnation: u64,
    /// When it was heard last.
    pub(super) last_seen_ms: Option<u64>,
    /// When another told last that it hears it.
    announced_ms: Option<u64>,
    /// How often it tells of itself, in milliseconds.
    interval_ms: u64,
    /// Its state, as told last.
    pub(super) status: DaemonStatus,
    /// What it told as a hub.
    pub(super) hub: Option<HubView>,
    /// The number of its last report.
    report_sequence: u64,
    /// Up to which kind of extension it knows all.
    pub(super) level: u8,
}

/// What a hub told.
#[derive(Debug)]
pub(super) struct HubView {
    /// The newest digest.
    pub(super) digest: Digest,
    /// The accounts, as told last, and when that was: some are told more seldom.
    pub(super) quotas: HashMap<ClientAccount, (AnnouncedAccount, u64)>,
    quotas_sequence: u64,
    /// What it has at upstreams.
    pub(super) loads: ReceivedLoads,
    /// When that was told whole last.
    pub(super) loads_ms: u64,
}

impl Peer {
    /// Starts with its name, known by what others say.
    pub(super) fn told(entry: DaemonEntry, now_ms: u64) -> Self {
        Self {
            rank: entry.rank(),
            entry,
            incarnation: 0,
            last_seen_ms: None,
            announced_ms: Some(now_ms),
            interval_ms: 0,
            status: DaemonStatus::default(),
            hub: None,
            report_sequence: 0,
            level: 0,
        }
    }

    /// Notes that another daemon hears it.
    pub(super) fn record_announced(&mut self, entry: DaemonEntry, now_ms: u64) {
        self.announced_ms = Some(now_ms);
        if self.last_seen_ms.is_none() {
            self.set_entry(entry);
        }
    }

    /// Takes in a digest; returns whether it is news.
    pub(super) fn apply_digest(&mut self, digest: Digest, now_ms: u64) -> bool {
        let known = self.hub.as_ref().map(|hub| &hub.digest);
        if known
            .is_some_and(|k| k.incarnation == digest.incarnation && digest.sequence <= k.sequence)
        {
            return false;
        }
        self.record_incarnation(digest.incarnation);
        self.set_entry(digest.daemon.clone());
        self.last_seen_ms = Some(now_ms);
        self.interval_ms = u64::from(digest.interval_ms);
        self.status = digest.status;
        match &mut self.hub {
            Some(hub) => hub.digest = digest,
            None => {
                self.hub = Some(HubView {
                    digest,
                    quotas: HashMap::new(),
                    quotas_sequence: 0,
                    loads: ReceivedLoads::default(),
                    loads_ms: now_ms,
                });
            }
        }
        true
    }

    /// Takes in a report; returns whether it is news.
    pub(super) fn apply_report(&mut self, report: &Report, now_ms: u64) -> bool {
        if self.incarnation == report.incarnation && report.sequence <= self.report_sequence {
            return false;
        }
        self.record_incarnation(report.incarnation);
        self.report_sequence = report.sequence;
        self.set_entry(report.daemon.clone());
        self.last_seen_ms = Some(now_ms);
        self.interval_ms = u64::from(report.interval_ms);
        self.status = report.status;
        true
    }

    fn set_entry(&mut self, entry: DaemonEntry) {
        self.rank = entry.rank();
        self.entry = entry;
    }

    fn record_incarnation(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.report_sequence = 0;
            self.level = 0;
            self.hub = None;
        }
    }

    /// Takes in what it tells of quotas; returns whether it is news. Parts of
    /// one telling have the same number.
    pub(super) fn apply_quotas(&mut self, part: &QuotasPart, now_ms: u64) -> bool {
        let incarnation = self.incarnation;
        let Some(hub) = self
            .hub
            .as_mut()
            .filter(|_| part.incarnation == incarnation)
        else {
            return false;
        };
        if part.sequence < hub.quotas_sequence {
            return false;
        }
        hub.quotas_sequence = part.sequence;
        for told in &part.quotas {
            let account = ClientAccount::from(told.name.as_str());
            hub.quotas.insert(account, (told.clone(), now_ms));
        }
        true
    }

    /// Returns what it told, if it is a hub.
    pub(super) fn as_hub(&self) -> Option<&HubView> {
        self.hub.as_ref().filter(|_| self.status.is_hub)
    }

    /// Returns whether it issues permits for upstreams that name a limit: a hub that
    /// stays, of a build that knows of them.
    pub(super) fn issues_permits(&self, now_ms: u64) -> bool {
        self.as_hub().is_some() && self.is_candidate(now_ms) && self.level >= LIMITS_LEVEL
    }

    /// Returns how many daemons let requests in through it.
    pub(super) fn dependents(&self) -> u32 {
        self.as_hub().map_or(0, |hub| hub.digest.dependents)
    }

    /// Returns whether it is alive: by what was heard of it, or by what others
    /// say where it doesn't talk to this daemon.
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        match self.last_seen_ms {
            Some(_) => !self.is_silent(now_ms),
            None => self
                .announced_ms
                .is_some_and(|told| now_ms < told + ANNOUNCED_MS),
        }
    }

    /// Returns whether others may be sent to it: it is alive and stays.
    pub(super) fn is_candidate(&self, now_ms: u64) -> bool {
        self.is_live(now_ms) && !self.status.is_leaving
    }

    /// Returns whether it has been silent for too long.
    pub(super) fn is_silent(&self, now_ms: u64) -> bool {
        self.is_older(SILENT_PERIODS, now_ms)
    }

    /// Returns whether it may be cut off.
    pub(super) fn is_late(&self, now_ms: u64) -> bool {
        self.is_older(LATE_PERIODS, now_ms)
    }

    /// Returns whether its loads still count.
    pub(super) fn has_fresh_loads(&self, now_ms: u64) -> bool {
        self.as_hub().is_some() && !self.is_older(LOADS_PERIODS, now_ms)
    }

    /// Returns whether it was heard last some of its periods ago. The period is
    /// its own, as it tells it: it grows with the number of hubs that it knows,
    /// which differ while daemons start.
    fn is_older(&self, periods: f64, now_ms: u64) -> bool {
        let Some(last_seen_ms) = self.last_seen_ms else {
            return true;
        };
        now_ms.saturating_sub(last_seen_ms) as f64 >= self.interval_ms as f64 * periods
    }

    /// Returns when it was last heard or told of.
    pub(super) fn last_ms(&self) -> u64 {
        self.last_seen_ms.max(self.announced_ms).unwrap_or(0)
    }
}

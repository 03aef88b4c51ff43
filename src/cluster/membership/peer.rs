use {
    crate::{cluster::*, names::ClientAccount, policy::DaemonRank},
    std::collections::HashMap,
};

/// A daemon counts as silent when no message of it arrived for this many of its announcement
/// intervals.
const SILENT_INTERVALS: f64 = 2.8;
/// A daemon counts as late, and is possibly cut off, after this many of its announcement
/// intervals.
const LATE_INTERVALS: f64 = 1.6;
/// A hub's loads are ignored after this many of its announcement intervals.
const LOADS_INTERVALS: f64 = 4.0;
/// How long a daemon counts as live after another daemon named it, in milliseconds. Hubs name some
/// of the daemons that they receive messages from every second or two.
const ANNOUNCED_LIVE_MS: u64 = 4_000;

/// Another daemon, as this daemon knows it. Times are milliseconds of this daemon's steady clock.
#[derive(Debug)]
pub(super) struct Peer {
    /// The peer's identity.
    pub(super) entry: DaemonEntry,
    /// Its rank among the daemons of its failure domain.
    pub(super) rank: DaemonRank,
    /// The incarnation that sent the newest message; 0 before the first one.
    pub(super) incarnation: u64,
    /// When its last message arrived; none if no message arrived yet.
    pub(super) last_seen_ms: Option<u64>,
    /// When another daemon last named it as live.
    announced_ms: Option<u64>,
    /// The interval between its digests or reports, as it announces it, in milliseconds.
    interval_ms: u64,
    /// Its state, as it announced it last, in a digest or in a report.
    pub(super) status: DaemonStatus,
    /// The sequence number of the message that announced `status`. A daemon numbers its digests and
    /// reports together, so that a late one of either kind does not bring an older state back.
    status_sequence: u64,
    /// What it announced as a hub; none before its first digest.
    pub(super) hub: Option<HubView>,
    /// The sequence number of its last report.
    report_sequence: u64,
    /// Its extension level: it supports all extensions that exist at this level.
    pub(super) level: u8,
}

/// The state that a hub announced.
#[derive(Debug)]
pub(super) struct HubView {
    /// The hub's newest digest.
    pub(super) digest: Digest,
    /// The quota state of client accounts, and when each arrived: some accounts are announced less
    /// often than others.
    pub(super) quotas: HashMap<ClientAccount, (AnnouncedAccount, u64)>,
    quotas_sequence: u64,
    /// The requests that it has at upstreams.
    pub(super) loads: ReceivedLoads,
    /// When the last complete set of its loads arrived.
    pub(super) loads_ms: u64,
}

impl Peer {
    /// Creates a peer that only other daemons have announced so far.
    pub(super) fn from_announcement(entry: DaemonEntry, now_ms: u64) -> Self {
        Self {
            rank: entry.rank(),
            entry,
            incarnation: 0,
            last_seen_ms: None,
            announced_ms: Some(now_ms),
            interval_ms: 0,
            status: DaemonStatus::default(),
            status_sequence: 0,
            hub: None,
            report_sequence: 0,
            level: 0,
        }
    }

    /// Records that another daemon named this peer as live. The entry is replaced only while the
    /// peer itself has sent nothing.
    pub(super) fn record_announced(&mut self, entry: DaemonEntry, now_ms: u64) {
        self.announced_ms = Some(now_ms);
        if self.last_seen_ms.is_none() {
            self.set_entry(entry);
        }
    }

    /// Applies a digest. Returns false if it is not newer than the last one.
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
        self.record_status(digest.sequence, digest.status, digest.interval_ms);
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

    /// Applies a report. Returns false if it is not newer than the last one.
    pub(super) fn apply_report(&mut self, report: &Report, now_ms: u64) -> bool {
        if self.incarnation == report.incarnation && report.sequence <= self.report_sequence {
            return false;
        }
        self.record_incarnation(report.incarnation);
        self.report_sequence = report.sequence;
        self.set_entry(report.daemon.clone());
        self.last_seen_ms = Some(now_ms);
        self.record_status(report.sequence, report.status, report.interval_ms);
        true
    }

    /// Records the announced state, unless a message that was sent later has already arrived.
    fn record_status(&mut self, sequence: u64, status: DaemonStatus, interval_ms: u32) {
        if sequence < self.status_sequence {
            return;
        }
        self.status_sequence = sequence;
        self.status = status;
        self.interval_ms = u64::from(interval_ms);
    }

    /// Raises the interval at which digests are expected to that of digests on request. Hubs announce a
    /// shorter interval, at which they send digests to hubs only. By it, a daemon that has ceased to be
    /// a hub would count a hub as silent before its next report, and become a hub again.
    pub(super) fn expect_only_requested(&mut self) {
        self.interval_ms = self.interval_ms.max(MEMBER_DIGEST_INTERVAL_MS);
    }

    fn set_entry(&mut self, entry: DaemonEntry) {
        self.rank = entry.rank();
        self.entry = entry;
    }

    fn record_incarnation(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.report_sequence = 0;
            self.status_sequence = 0;
            self.level = 0;
            self.hub = None;
        }
    }

    /// Applies the quota state that the hub announced. Returns false if the part is outdated or of
    /// another incarnation. All parts of one announcement have the same sequence number.
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
        for announced in &part.quotas {
            let account = ClientAccount::from(announced.name.as_str());
            hub.quotas.insert(account, (announced.clone(), now_ms));
        }
        true
    }

    /// Returns the state that the peer announced as a hub, or none if it is no hub now.
    pub(super) fn as_hub(&self) -> Option<&HubView> {
        self.hub.as_ref().filter(|_| self.status.is_hub)
    }

    /// Returns whether the peer may issue permits or slots of upstreams: it is a live hub that is not
    /// leaving, and its build supports extensions of this level.
    pub(super) fn is_issuer(&self, level: u8, now_ms: u64) -> bool {
        self.as_hub().is_some() && self.is_candidate(now_ms) && self.level >= level
    }

    /// Returns how many daemons send their admission queries to this hub; 0 if it is none.
    pub(super) fn dependents(&self) -> u32 {
        self.as_hub().map_or(0, |hub| hub.digest.dependents)
    }

    /// Returns whether the peer is live: by its own messages, or, if it never sent one to this
    /// daemon, by the announcements of others.
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        match self.last_seen_ms {
            Some(_) => !self.is_silent(now_ms),
            None => self
                .announced_ms
                .is_some_and(|at_ms| now_ms < at_ms + ANNOUNCED_LIVE_MS),
        }
    }

    /// Returns whether the peer can be a hub or be named to others: it is live and not leaving.
    pub(super) fn is_candidate(&self, now_ms: u64) -> bool {
        self.is_live(now_ms) && !self.status.is_leaving
    }

    /// Returns whether the peer counts as silent.
    pub(super) fn is_silent(&self, now_ms: u64) -> bool {
        self.is_overdue(SILENT_INTERVALS, now_ms)
    }

    /// Returns whether the peer is late, and so possibly cut off.
    pub(super) fn is_late(&self, now_ms: u64) -> bool {
        self.is_overdue(LATE_INTERVALS, now_ms)
    }

    /// Returns whether the hub's loads are recent enough to be counted.
    pub(super) fn has_fresh_loads(&self, now_ms: u64) -> bool {
        self.as_hub().is_some() && !self.is_overdue(LOADS_INTERVALS, now_ms)
    }

    /// Returns whether no message of the peer arrived for a number of its announcement intervals.
    /// The interval is the one that the peer announces: it grows with the number of hubs that the
    /// peer knows, which differs among daemons while they start.
    fn is_overdue(&self, intervals: f64, now_ms: u64) -> bool {
        let Some(last_seen_ms) = self.last_seen_ms else {
            return true;
        };
        now_ms.saturating_sub(last_seen_ms) as f64 >= self.interval_ms as f64 * intervals
    }

    /// Returns when the peer was last seen or named by another daemon.
    pub(super) fn last_known_ms(&self) -> u64 {
        self.last_seen_ms.max(self.announced_ms).unwrap_or(0)
    }
}

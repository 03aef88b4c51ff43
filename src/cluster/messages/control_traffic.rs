use {
    crate::cluster::Datagram,
    std::{
        fmt,
        sync::atomic::{AtomicU64, Ordering},
    },
};

/// The kinds of control messages that daemons send each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlKind {
    /// Digests, in which hubs announce their state.
    Digest,
    /// Quota state of client accounts.
    Quotas,
    /// The requests that daemons have at upstreams.
    Loads,
    /// Reports of daemons to their hubs.
    Report,
    /// Admission queries to hubs, and their answers.
    AdmissionQuery,
    /// Usage counts, and their acknowledgements.
    Usage,
    /// Answer counts by version during rollouts.
    Versions,
    /// Upstream crashes, and extensions that are sent with an empty crash message.
    Crashes,
    /// Updates of the configuration and the upstreams for followers.
    Updates,
}

impl ControlKind {
    /// All kinds.
    pub const ALL: [Self; 9] = [
        Self::Digest,
        Self::Quotas,
        Self::Loads,
        Self::Report,
        Self::AdmissionQuery,
        Self::Usage,
        Self::Versions,
        Self::Crashes,
        Self::Updates,
    ];

    /// Returns the name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Digest => "digest",
            Self::Quotas => "quotas",
            Self::Loads => "loads",
            Self::Report => "report",
            Self::AdmissionQuery => "ask",
            Self::Usage => "usage",
            Self::Versions => "versions",
            Self::Crashes => "crashes",
            Self::Updates => "news",
        }
    }
}

impl From<&Datagram> for ControlKind {
    fn from(datagram: &Datagram) -> Self {
        match datagram {
            Datagram::Digest(_) => Self::Digest,
            Datagram::Quotas(_) => Self::Quotas,
            Datagram::Loads(_) => Self::Loads,
            Datagram::Report(_) => Self::Report,
            Datagram::AdmissionQuery(_) | Datagram::Answer(_) => Self::AdmissionQuery,
            Datagram::Usage(_) | Datagram::UsageAck(_) => Self::Usage,
            Datagram::Versions(_) => Self::Versions,
            Datagram::Crashes(_) => Self::Crashes,
        }
    }
}

/// The number and size of the messages that this daemon has sent since it started, by kind.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    sent: [SentCounters; ControlKind::ALL.len()],
}

#[derive(Debug, Default)]
struct SentCounters {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl ControlTraffic {
    /// Counts a sent message.
    pub fn record(&self, kind: ControlKind, bytes: usize) {
        let sent = &self.sent[kind as usize];
        sent.messages.fetch_add(1, Ordering::Relaxed);
        sent.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of sent messages of a kind, and their total size in bytes.
    pub fn sent(&self, kind: ControlKind) -> (u64, u64) {
        let sent = &self.sent[kind as usize];
        let messages = sent.messages.load(Ordering::Relaxed);
        (messages, sent.bytes.load(Ordering::Relaxed))
    }
}

impl fmt::Display for ControlTraffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for kind in ControlKind::ALL {
            let (messages, bytes) = self.sent(kind);
            if messages > 0 {
                write!(f, " {}={messages}/{bytes}", kind.name())?;
            }
        }
        Ok(())
    }
}

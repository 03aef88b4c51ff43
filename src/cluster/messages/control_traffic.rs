use {
    crate::cluster::Datagram,
    std::{
        fmt,
        sync::atomic::{AtomicU64, Ordering},
    },
};

/// What daemons send each other beside requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlKind {
    /// What hubs tell of themselves.
    Digest,
    /// What was let in of quotas.
    Quotas,
    /// What is at upstreams.
    Loads,
    /// What daemons report to hubs.
    Report,
    /// Questions to hubs, and their answers.
    AdmissionQuery,
    /// What began to run, and that it was heard.
    Usage,
    /// Answers during roll-outs.
    Versions,
    /// Upstreams that ended, and what stands behind empty messages.
    Crashes,
    /// News of configuration and upstreams to those that follow.
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

    /// Returns its name in logs and metrics.
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

/// How much this daemon sent to others, by kind, since it started.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    sent: [Sent; ControlKind::ALL.len()],
}

#[derive(Debug, Default)]
struct Sent {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl ControlTraffic {
    /// Notes a message that is sent.
    pub fn record(&self, kind: ControlKind, bytes: usize) {
        let sent = &self.sent[kind as usize];
        sent.messages.fetch_add(1, Ordering::Relaxed);
        sent.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns how many messages of a kind were sent, and their bytes.
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

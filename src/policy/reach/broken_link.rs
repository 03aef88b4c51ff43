use {super::LinkFailure, std::net::SocketAddr};

/// Maximum number of daemons that are remembered as relays to one upstream.
const MAX_RELAYS: usize = 3;
/// Interval at which other daemons are queried for an upstream that none of them is known to reach,
/// in milliseconds.
const QUERY_INTERVAL_MS: u64 = 300;
/// The same interval while a relay is known: others may be needed once it is gone.
const REFRESH_INTERVAL_MS: u64 = 2_000;
/// Interval at which the daemon tries to connect to an upstream itself, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// An upstream to which a daemon can open no connection. Times are milliseconds of the daemon's steady
/// clock.
#[derive(Clone, Debug, Default)]
pub(super) struct BrokenLink {
    /// The daemons that reach the upstream.
    pub relays: Vec<SocketAddr>,
    /// When other daemons were last queried for the upstream.
    pub queried_ms: Option<u64>,
    /// A daemon has answered whether it reaches the upstream, or all were queried.
    pub is_answered: bool,
    /// How the last own attempt to connect failed.
    pub failure: LinkFailure,
    /// When the own link is tried next.
    probe_ms: u64,
}

impl BrokenLink {
    pub fn record_failed(&mut self, failure: LinkFailure, now_ms: u64) {
        self.failure = failure;
        self.probe_ms = now_ms + PROBE_INTERVAL_MS;
    }

    pub fn record_probed(&mut self, now_ms: u64) {
        self.probe_ms = now_ms + PROBE_INTERVAL_MS;
    }

    pub fn is_probe_due(&self, now_ms: u64) -> bool {
        now_ms >= self.probe_ms
    }

    pub fn is_query_due(&self, now_ms: u64) -> bool {
        let interval_ms = match self.relays.is_empty() {
            true => QUERY_INTERVAL_MS,
            false => REFRESH_INTERVAL_MS,
        };
        self.queried_ms
            .is_none_or(|at_ms| now_ms >= at_ms + interval_ms)
    }

    /// Records whether a daemon reaches the upstream. Returns whether it is the first one that does.
    pub fn record_reached(&mut self, daemon: SocketAddr, is_reached: bool) -> bool {
        let was_unreached = self.relays.is_empty();
        self.relays.retain(|relay| *relay != daemon);
        if is_reached {
            self.relays.insert(0, daemon);
            self.relays.truncate(MAX_RELAYS);
        }
        was_unreached && is_reached
    }
}

use {
    crate::cluster::{DATAGRAM_VERSION, OLDEST_DATAGRAM_VERSION},
    std::{collections::HashMap, net::SocketAddr},
};

/// After this time without a message in the recorded version, an earlier version is accepted as
/// that of a daemon which was replaced by one of an earlier build, in milliseconds. It is several
/// times the interval of digests and reports. A daemon of a later build sends everything in both
/// versions until it has received a message of this daemon, so an earlier version alone does not
/// show an earlier build.
const DOWNGRADE_AFTER_MS: u64 = 3_000;
/// How long the version of a silent daemon is kept, in milliseconds: longer than a restart takes.
const RETENTION_MS: u64 = 10_000;

/// The message versions that other daemons use, learned from what they send. A daemon is sent
/// messages in the version that it uses, and in both versions while its version is unknown. Times
/// are milliseconds of this daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct PeerVersions {
    /// By address, the version and when a message in it last arrived.
    versions: HashMap<SocketAddr, (u8, u64)>,
}

impl PeerVersions {
    /// Records the version of a message that a daemon sent.
    pub fn record(&mut self, from: SocketAddr, version: u8, now_ms: u64) {
        let recorded = self.versions.entry(from).or_insert((version, now_ms));
        if version >= recorded.0 || now_ms >= recorded.1 + DOWNGRADE_AFTER_MS {
            *recorded = (version, now_ms);
        }
    }

    /// Returns the versions in which messages to a daemon are sent.
    pub fn for_daemon(&self, to: SocketAddr, now_ms: u64) -> &'static [u8] {
        let recorded = self.versions.get(&to);
        let fresh = recorded.filter(|(_, last_seen_ms)| now_ms < last_seen_ms + RETENTION_MS);
        match fresh {
            Some((OLDEST_DATAGRAM_VERSION, _)) => &[OLDEST_DATAGRAM_VERSION],
            Some(_) => &[DATAGRAM_VERSION],
            None => &[DATAGRAM_VERSION, OLDEST_DATAGRAM_VERSION],
        }
    }

    /// Removes daemons that sent nothing for [`RETENTION_MS`].
    pub fn tick(&mut self, now_ms: u64) {
        self.versions
            .retain(|_, (_, last_seen_ms)| now_ms < *last_seen_ms + RETENTION_MS);
    }

    /// Returns the number of daemons that use each version that this build supports.
    pub fn counts(&self) -> impl Iterator<Item = (u8, usize)> {
        let known = OLDEST_DATAGRAM_VERSION..=DATAGRAM_VERSION;
        known.map(|version| {
            let users = self.versions.values().filter(|(v, _)| *v == version);
            (version, users.count())
        })
    }
}

use {
    crate::cluster::{DATAGRAM_VERSION, OLDEST_DATAGRAM_VERSION},
    std::{collections::HashMap, net::SocketAddr},
};

/// After how long without a word in a version a daemon may have been replaced by one of an
/// earlier build, in milliseconds: some of its digests' or reports' times. Until it hears
/// of this daemon, one of a later build says everything in both.
const REPLACED_MS: u64 = 3_000;
/// After how long without any word nothing is known of what a daemon speaks, in
/// milliseconds: longer than a restart takes.
const FORGOTTEN_MS: u64 = 10_000;

/// Which version of the messages other daemons speak, by what they send: each is told in
/// the one that it speaks, and in both while nothing is known of it. Times are milliseconds
/// of the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct PeerVersions {
    /// The version and when it was heard last.
    spoken: HashMap<SocketAddr, (u8, u64)>,
}

impl PeerVersions {
    /// Notes the version of what a daemon sent.
    pub fn record(&mut self, from: SocketAddr, version: u8, now_ms: u64) {
        let spoken = self.spoken.entry(from).or_insert((version, now_ms));
        if version >= spoken.0 || now_ms >= spoken.1 + REPLACED_MS {
            *spoken = (version, now_ms);
        }
    }

    /// Returns the versions in which a daemon is told.
    pub fn for_daemon(&self, to: SocketAddr, now_ms: u64) -> &'static [u8] {
        let spoken = self.spoken.get(&to);
        let fresh = spoken.filter(|(_, last_seen_ms)| now_ms < last_seen_ms + FORGOTTEN_MS);
        match fresh {
            Some((OLDEST_DATAGRAM_VERSION, _)) => &[OLDEST_DATAGRAM_VERSION],
            Some(_) => &[DATAGRAM_VERSION],
            None => &[DATAGRAM_VERSION, OLDEST_DATAGRAM_VERSION],
        }
    }

    /// Forgets daemons that have long been silent.
    pub fn tick(&mut self, now_ms: u64) {
        self.spoken
            .retain(|_, (_, last_seen_ms)| now_ms < *last_seen_ms + FORGOTTEN_MS);
    }

    /// Returns how many daemons speak each version that this build knows.
    pub fn counts(&self) -> impl Iterator<Item = (u8, usize)> {
        let known = OLDEST_DATAGRAM_VERSION..=DATAGRAM_VERSION;
        known.map(|version| {
            let spoken = self.spoken.values().filter(|(v, _)| *v == version);
            (version, spoken.count())
        })
    }
}

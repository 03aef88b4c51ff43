//! Builders of the messages that daemons of the routed path announce.

use {
    saddlepulley::cluster::{AnnouncedAccount, AnnouncedLoad, DaemonEntry, Digest, LoadsPart},
    std::net::SocketAddr,
};

/// Returns the entry of a daemon.
pub fn entry(name: &str, domain: &str, daemon: usize) -> DaemonEntry {
    DaemonEntry {
        name: name.into(),
        domain: domain.into(),
        capacity: 0.25,
        address: address(daemon),
    }
}

/// Returns the address at which a daemon listens for other daemons.
pub fn address(daemon: usize) -> SocketAddr {
    let [high, low] = (daemon as u16).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8_229))
}

/// Returns a digest of a hub in failure domain `a`.
pub fn digest_of(name: &str, sequence: u64) -> Digest {
    let mut digest = Digest::new(entry(name, "a", 7), 1, sequence);
    digest.interval_ms = 250;
    digest
}

/// Returns a client account's quota state as announced.
pub fn announced_account(account: usize) -> AnnouncedAccount {
    AnnouncedAccount {
        name: format!("tenant-{account}"),
        weight: 1e5,
        admitted: 1e9,
        level: 1e5,
        demand: 1e6,
    }
}

/// Returns a part of a daemon's loads, with the same load at each upstream.
pub fn loads_part(sequence: u64, part: u32, parts: u32, upstreams: &[&str]) -> LoadsPart {
    let loads = upstreams.iter().map(|id| AnnouncedLoad {
        upstream: (*id).into(),
        active: 30,
        waiting_tokens: 500,
    });
    LoadsPart {
        name: "n".into(),
        incarnation: 1,
        sequence,
        part,
        parts,
        counted_up_to: sequence,
        loads: loads.collect(),
    }
}

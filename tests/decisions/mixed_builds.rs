//! Daemons of released builds and of this build understand each other's messages.
//!
//! Guards against builds that reject each other's datagrams because of their version. With three
//! daemons of one build and three of the next, a client account with a quota of 40 requests per
//! second was admitted at 1.71 times its quota: the builds acted as two separate systems in front
//! of the same upstreams.
//!
//! `landed/6` and `landed/7` hold one message of each kind as the builds with these versions wrote
//! it.

#[path = "landed/messages.rs"]
mod messages;

use {
    crate::cluster_support::*,
    messages::*,
    proptest::{prelude::*, test_runner::RngSeed},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::cluster::*,
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt::Debug, fs, net::SocketAddr, path::Path},
};

const RELEASED: [u8; 2] = [6, 7];

fn recorded_message(version: u8, name: &str) -> Vec<u8> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/decisions/landed");
    let path = dir.join(format!("{version}/{name}.hex"));
    let text = fs::read_to_string(path).unwrap();
    hex::decode(text.trim()).unwrap()
}

#[test]
fn messages_of_released_builds_are_understood() {
    for version in RELEASED {
        for (name, datagram) in datagrams() {
            if version == 6 && name == "crashes" {
                continue;
            }
            let packet = Packet::decode(&recorded_message(version, name));
            let packet = packet.unwrap_or_else(|e| panic!("{name} of {version}: {e}"));
            assert_eq!(packet, Packet::from(datagram), "{name} of {version}");
        }
    }
}

/// The messages equal byte for byte what the released builds write themselves. Bytes that these builds
/// ignore may follow.
#[test]
fn released_builds_get_messages_that_they_understand() {
    for version in RELEASED {
        for (name, datagram) in datagrams() {
            let packet = Packet::from(datagram).with(Extension::Level(EXTENSION_LEVEL));
            let bytes = packet.encode_for(version).unwrap();
            if version == 6 && name == "crashes" {
                assert_eq!(bytes, None, "version 6 has no such message");
                continue;
            }
            let theirs = recorded_message(version, name);
            let bytes = bytes.unwrap();
            assert!(bytes.len() >= theirs.len(), "{name} of {version}");
            assert_eq!(bytes[..theirs.len()], theirs, "{name} of {version}");
        }
    }
}

/// Guards against taking a daemon that only others have named for one of an earlier build: it sent
/// its whole directory by offsets, and a second time, packed, after its first message arrived.
#[test]
fn a_daemon_of_unknown_build_is_queried_for_updates_first() {
    let (new, released) = (address(1), address(2));
    let mut table = PeerTable::new(entry("own", "a", 0));
    let mut digest = digest_of("hub", 1);
    digest.known = vec![entry("new", "a", 1)];
    table.apply_digest(digest, 0);
    assert!(table.live_addresses().contains(&new));
    let mut forms = FeedProtocols::default();
    let latest = |forms: FeedProtocols, daemon| forms.latest_for(daemon, table.level_at(daemon));
    assert_eq!(latest(forms, new), FeedProtocol::Eras, "only named");
    assert_eq!(latest(forms, released), FeedProtocol::Eras);
    forms.record_refused(released, FeedProtocol::Eras);
    assert_eq!(latest(forms, released), FeedProtocol::Updates);
    forms.record_refused(released, FeedProtocol::Updates);
    assert_eq!(latest(forms, released), FeedProtocol::Offsets);
    assert_eq!(latest(forms, new), FeedProtocol::Eras);
    let by_level = |daemon, level| forms.latest_for(daemon, level);
    assert_eq!(by_level(new, UPDATES_LEVEL - 1), FeedProtocol::Offsets);
    assert_eq!(by_level(new, ERAS_LEVEL - 1), FeedProtocol::Updates);
    assert_eq!(
        by_level(released, ERAS_LEVEL),
        FeedProtocol::Eras,
        "replaced"
    );
}

#[test]
fn a_packet_of_one_extension_is_not_sent_to_builds_without_extensions() {
    let packet = Packet::from(Extension::HasPermit);
    assert_eq!(packet.encode_for(6).unwrap(), None);
    assert_eq!(
        packet.encode_for(7).unwrap(),
        Some(packet.encode().unwrap())
    );
}

#[test]
fn a_query_for_one_version_is_understood_by_released_builds() {
    let version = Extension::OnlyVersion("v2".to_string());
    let packet = Packet::from(Datagram::AdmissionQuery(ask())).with(version);
    let bytes = packet.encode().unwrap();
    let terms = Packet::decode(&bytes).unwrap().query_terms();
    assert_eq!(terms.version, Some("v2".into()));
    for version in RELEASED {
        let theirs = recorded_message(version, "ask");
        let bytes = packet.encode_for(version).unwrap().unwrap();
        assert_eq!(bytes[..theirs.len()], theirs, "{version}");
        assert_eq!(Packet::decode(&theirs).unwrap().query_terms().version, None);
    }
}

#[test]
fn a_query_that_states_its_urgency_is_understood_by_released_builds() {
    let urgency = RequestUrgency {
        priority: 3,
        target_left_ms: 400,
        time_left_ms: 9_000,
        fingerprint: u64::MAX,
        route_priority: 1,
    };
    let query = Datagram::AdmissionQuery(ask());
    let packet = Packet::from(query).with(Extension::Urgency(urgency));
    let bytes = packet.encode().unwrap();
    assert_eq!(
        Packet::decode(&bytes).unwrap().query_terms().urgency,
        Some(urgency)
    );
    for version in RELEASED {
        let theirs = recorded_message(version, "ask");
        let bytes = packet.encode_for(version).unwrap().unwrap();
        assert_eq!(bytes[..theirs.len()], theirs, "{version}");
        assert_eq!(Packet::decode(&theirs).unwrap().query_terms().urgency, None);
    }
}

fn assert_same<T>(message: &T, name: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    for version in RELEASED {
        let theirs = recorded_message(version, name);
        assert_eq!(encode(message).unwrap(), theirs, "{name} of {version}");
        assert_eq!(
            &decode::<T>(&theirs).unwrap(),
            message,
            "{name} of {version}"
        );
    }
}

#[test]
fn feed_and_configuration_messages_are_the_same_in_all_builds() {
    assert_same(&feed_ask(), "feed-ask");
    assert_same(&feed_news(), "feed-news");
    assert_same(&config_ask(), "config-ask");
    for (name, answer) in config_answers() {
        assert_same(&answer, name);
    }
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

#[test]
fn each_daemon_gets_messages_in_the_version_that_it_uses() {
    let mut versions_in_use = PeerVersions::default();
    assert_eq!(
        versions_in_use.for_daemon(at(1), 0),
        &[7, 6],
        "its version is unknown"
    );
    versions_in_use.record(at(1), 6, 0);
    versions_in_use.record(at(2), 7, 0);
    assert_eq!(versions_in_use.for_daemon(at(1), 100), &[6]);
    assert_eq!(versions_in_use.for_daemon(at(2), 100), &[7]);
    // It does not know the version of this daemon either, and sends everything in both.
    versions_in_use.record(at(2), 6, 100);
    assert_eq!(versions_in_use.for_daemon(at(2), 100), &[7]);
    // It is replaced by an earlier build, and then by a later one.
    versions_in_use.record(at(2), 6, 4_000);
    assert_eq!(versions_in_use.for_daemon(at(2), 4_000), &[6]);
    versions_in_use.record(at(2), 7, 4_100);
    assert_eq!(versions_in_use.for_daemon(at(2), 4_100), &[7]);
    // After a long silence its version is unknown again: any build understands one of both.
    assert_eq!(versions_in_use.for_daemon(at(2), 60_000), &[7, 6]);
    assert!(versions_in_use.counts().eq([(6, 1), (7, 1)]));
    versions_in_use.tick(60_000);
    assert!(versions_in_use.counts().eq([(6, 0), (7, 0)]));
}

/// The build of a simulated daemon: it determines which message versions the daemon understands, and
/// whether it adapts to the versions of others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Build {
    Released(u8),
    New,
}

impl Build {
    fn understands(self, version: u8) -> bool {
        match self {
            Self::Released(own) => own == version,
            Self::New => RELEASED.contains(&version),
        }
    }
}

const DAEMONS: usize = 6;
const SEND_INTERVAL_MS: u64 = 250;
/// The time after the replacement of a daemon, or the end of a partition, within which daemons must
/// receive each other's messages again.
const MAX_DEAF_MS: u64 = 5_000;

/// Simulates daemons that send to each other every quarter of a second, and are replaced by daemons
/// of other builds at the same addresses, to a later build and back. Datagrams get lost, and a domain
/// of two daemons is cut off from time to time.
#[test]
fn daemons_of_this_build_keep_receiving_from_replaced_daemons_of_any_build() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let old = RELEASED[rng.random_range(0..2)];
        let mut builds = [Build::Released(old); DAEMONS];
        let mut versions_in_use = vec![PeerVersions::default(); DAEMONS];
        let mut changed_ms = [0; DAEMONS];
        let mut last_seen_ms = [[0; DAEMONS]; DAEMONS];
        let mut cut_until_ms = 0;
        for now_ms in (0..90_000).step_by(SEND_INTERVAL_MS as usize) {
            if rng.random_bool(0.02) {
                let at = rng.random_range(0..DAEMONS);
                builds[at] = match builds[at] {
                    Build::New => Build::Released(old),
                    Build::Released(_) => Build::New,
                };
                versions_in_use[at] = PeerVersions::default();
                changed_ms[at] = now_ms;
            }
            if now_ms >= cut_until_ms && rng.random_bool(0.01) {
                cut_until_ms = now_ms + rng.random_range(500..14_000);
            }
            for from in 0..DAEMONS {
                for to in (0..DAEMONS).filter(|to| *to != from) {
                    let versions = match builds[from] {
                        Build::Released(own) => vec![own],
                        Build::New => versions_in_use[from]
                            .for_daemon(at(to as u16), now_ms)
                            .to_vec(),
                    };
                    let is_cut = now_ms < cut_until_ms && (from < 2) != (to < 2);
                    for version in versions {
                        if is_cut || rng.random_bool(0.1) || !builds[to].understands(version) {
                            continue;
                        }
                        last_seen_ms[to][from] = now_ms;
                        versions_in_use[to].record(at(from as u16), version, now_ms);
                    }
                }
            }
            for from in 0..DAEMONS {
                for to in (0..DAEMONS).filter(|to| *to != from) {
                    if builds[from] != Build::New && builds[to] != Build::New {
                        continue;
                    }
                    let since = changed_ms[from].max(changed_ms[to]).max(cut_until_ms);
                    let deaf_ms = now_ms.saturating_sub(last_seen_ms[to][from].max(since));
                    assert!(
                        deaf_ms <= MAX_DEAF_MS,
                        "seed {seed} at {now_ms}: {to} ({:?}) receives nothing from {from} ({:?})",
                        builds[to],
                        builds[from]
                    );
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against rejecting messages of later builds, which add kinds of extensions and fields.
    #[test]
    fn unknown_kinds_and_fields_do_not_hide_known_ones(
        which in 0..13_usize,
        unknown in prop::collection::vec((100..=255_u8, prop::collection::vec(any::<u8>(), 0..20)), 0..4),
        later_field in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let (_, datagram) = datagrams().swap_remove(which);
        let mut bytes = datagram.encode().unwrap();
        for (kind, body) in &unknown {
            bytes.extend([*kind, body.len() as u8, 0]);
            bytes.extend(body);
        }
        bytes.extend([1, 1 + later_field.len() as u8, 0, 9]);
        bytes.extend(&later_field);
        let packet = Packet::decode(&bytes).unwrap();
        prop_assert_eq!(packet.datagram, datagram);
        prop_assert_eq!(packet.extensions, [Extension::Level(9)]);
    }
}

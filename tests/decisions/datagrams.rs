//! What daemons tell each other fits into datagrams and is checked.

use {crate::cluster_support::*, saddlepulley::cluster::*, std::collections::HashSet};

#[test]
fn a_datagram_is_the_same_after_its_way() {
    let mut digest = digest_of("edge-zone-a-17", 99);
    digest.known = (0..MAX_DIGEST_DAEMONS)
        .map(|n| entry("edge-zone-b-1234", "zone-b", n))
        .collect();
    digest.demand = vec![("llm-pool".into(), 1e6); 4];
    digest.reading = vec![("llm-pool".into(), 0.03, 192); 4];
    let sent = Datagram::Digest(digest);
    let bytes = sent.encode().unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(Datagram::decode(&bytes).unwrap(), sent);
}

#[test]
fn what_does_not_fit_is_split_and_nothing_is_left_out() {
    let parts = split_into_parts((0..300).map(told_account).collect());
    let told: usize = parts.iter().map(Vec::len).sum();
    assert_eq!(told, 300);
    for quotas in parts {
        let part = Datagram::Quotas(QuotasPart {
            name: "edge-zone-a-17".into(),
            incarnation: u64::MAX,
            sequence: 1,
            age_ms: 1,
            quotas,
        });
        assert!(part.encode().unwrap().len() <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn ends_of_upstreams_fit_whatever_their_names() {
    let ends = (0..24).map(|n| AnnouncedCrash {
        fingerprint: u128::MAX - n,
        upstream: format!("an-upstream-with-a-long-name-{n}~1764720000123"),
        age_ms: u32::MAX,
        ran_ms: u32::MAX,
        is_cleared: true,
    });
    let parts = split_into_parts(ends.collect());
    assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), 24);
    for ends in parts {
        let sent = Datagram::Crashes(CrashesPart {
            among_hubs: true,
            ends,
        });
        let bytes = sent.encode().unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        assert_eq!(Datagram::decode(&bytes).unwrap(), sent);
    }
}

#[test]
fn what_is_no_datagram_of_ours_is_refused() {
    assert!(Datagram::decode(&[]).is_err());
    let mut bytes = Datagram::Digest(digest_of("n", 1)).encode().unwrap();
    assert!(Datagram::decode(&bytes[..bytes.len() / 2]).is_err());
    bytes[0] = 9;
    let error = Datagram::decode(&bytes).unwrap_err().to_string();
    assert!(error.contains("version 9"), "{error}");
}

#[test]
fn loads_change_once_all_of_their_parts_are_there() {
    let mut told = ReceivedLoads::default();
    assert!(told.apply(loads_part(1, 0, 1, &["u1", "u2"])));
    assert!(!told.apply(loads_part(2, 1, 2, &["u4"])));
    assert_eq!(told.loads.len(), 2, "the last whole counts");
    assert!(told.apply(loads_part(2, 0, 2, &["u3"])));
    let ids: HashSet<&str> = told.loads.iter().map(|(id, ..)| id.as_str()).collect();
    assert_eq!(ids, HashSet::from(["u3", "u4"]));
    assert!(!told.apply(loads_part(1, 0, 1, &["u1"])), "an older one");
}

fn told_limit(n: usize) -> AnnouncedLimit {
    AnnouncedLimit {
        upstream: format!("an-upstream-with-a-long-name-{n}~1764720000123"),
        per_s: Some(0.25),
        version: u64::MAX,
        age_ms: u32::MAX,
    }
}

fn extensions() -> Vec<Extension> {
    vec![
        Extension::Level(EXTENSION_LEVEL),
        Extension::Limits(LimitsPart {
            among_hubs: true,
            limits: vec![told_limit(1)],
        }),
        Extension::PermitQuery(PermitQuery {
            incarnation: u64::MAX,
            id: 7,
            is_forwarded: true,
            limit: told_limit(2),
        }),
        Extension::PermitAnswer(PermitAnswer {
            incarnation: u64::MAX,
            id: 7,
            is_granted: false,
            wait_ms: 300,
            limit: None,
        }),
        Extension::HasPermit,
        Extension::Cooldowns(CooldownsPart {
            cooldowns: vec![AnnouncedCooldown {
                upstream: "i-3".into(),
                left_ms: 2_900,
            }],
        }),
        Extension::Leaving(LeavingPart {
            among_hubs: true,
            upstreams: vec!["i-1~5".into(), "i-2".into()],
        }),
    ]
}

/// Builds that know of no extensions read the message, and don't look behind it.
#[test]
fn extensions_leave_the_message_as_it_is() {
    let message = Datagram::Digest(digest_of("n", 1));
    let mut packet = Packet::from(message.clone());
    for extension in extensions() {
        packet = packet.with(extension);
    }
    let bytes = packet.encode().unwrap();
    let plain = message.encode().unwrap();
    assert_eq!(bytes[..plain.len()], plain, "the same bytes first");
    assert_eq!(Datagram::decode(&bytes).unwrap(), message);
    assert_eq!(Packet::decode(&bytes).unwrap(), packet);
    assert_eq!(Packet::decode(&plain).unwrap(), Packet::from(message));
}

#[test]
fn what_only_extensions_say_is_a_message_without_effect_to_others() {
    for extension in extensions() {
        let bytes = Packet::from(extension).encode().unwrap();
        let Datagram::Crashes(part) = Datagram::decode(&bytes).unwrap() else {
            panic!("a message that every build knows");
        };
        assert!(part.ends.is_empty());
    }
}

#[test]
fn unknown_extensions_and_later_fields_are_passed_over() {
    let mut bytes = Datagram::Digest(digest_of("n", 1)).encode().unwrap();
    // A kind of a later build, and a known one whose later fields stand at its end.
    bytes.extend([200, 3, 0, 1, 2, 3]);
    bytes.extend([1, 4, 0, 9, 1, 2, 3]);
    let packet = Packet::decode(&bytes).unwrap();
    assert_eq!(packet.extensions, [Extension::Level(9)]);
    assert_eq!(packet.level(), 9);
    // One that is cut off, and one that can't be read, harm nothing else.
    bytes.extend([2, 2, 0, 0xff, 0xff, 5, 0, 0, 2, 50, 0, 1]);
    let packet = Packet::decode(&bytes).unwrap();
    assert_eq!(
        packet.extensions,
        [Extension::Level(9), Extension::HasPermit]
    );
}

#[test]
fn an_extension_that_does_not_fit_is_left_out_and_the_message_goes() {
    let message = Datagram::Crashes(CrashesPart {
        among_hubs: true,
        ends: Vec::new(),
    });
    let limits = (0..40).map(told_limit).collect();
    let part = LimitsPart {
        among_hubs: true,
        limits,
    };
    let packet = Packet::from(message.clone())
        .with(Extension::Limits(part))
        .with(Extension::HasPermit);
    let read = Packet::decode(&packet.encode().unwrap()).unwrap();
    assert_eq!(read, Packet::from(message).with(Extension::HasPermit));
}

#[test]
fn limits_fit_whatever_the_names_of_their_upstreams() {
    let parts = split_into_parts((0..24).map(told_limit).collect());
    assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), 24);
    for limits in parts {
        let sent = Packet::from(Extension::Limits(LimitsPart {
            among_hubs: true,
            limits,
        }));
        let bytes = sent.encode().unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(Packet::decode(&bytes).unwrap(), sent);
    }
}

#[test]
fn a_told_rate_that_is_none_says_nothing() {
    for per_s in [f64::NAN, f64::INFINITY, -1.0] {
        let told = AnnouncedLimit {
            per_s: Some(per_s),
            ..told_limit(1)
        };
        assert_eq!(told.known(), None, "{per_s}");
    }
}

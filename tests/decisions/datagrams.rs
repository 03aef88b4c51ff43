//! Encoding and decoding of datagrams: sizes, splitting, extensions, and invalid bytes.

use {crate::cluster_support::*, saddlepulley::cluster::*, std::collections::HashSet};

#[test]
fn the_largest_digest_fits_and_decodes_to_what_was_sent() {
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
fn a_split_list_fits_into_datagrams_and_loses_no_item() {
    let parts = split_into_parts((0..300).map(announced_account).collect());
    let accounts: usize = parts.iter().map(Vec::len).sum();
    assert_eq!(accounts, 300);
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
fn crashes_of_upstreams_with_long_names_fit_into_datagrams() {
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
fn malformed_datagrams_and_unknown_versions_are_rejected() {
    assert!(Datagram::decode(&[]).is_err());
    let mut bytes = Datagram::Digest(digest_of("n", 1)).encode().unwrap();
    assert!(Datagram::decode(&bytes[..bytes.len() / 2]).is_err());
    bytes[0] = 9;
    let error = Datagram::decode(&bytes).unwrap_err().to_string();
    assert!(error.contains("version 9"), "{error}");
}

#[test]
fn incomplete_or_outdated_loads_do_not_replace_complete_ones() {
    let mut received = ReceivedLoads::default();
    assert!(received.apply(loads_part(1, 0, 1, &["u1", "u2"])));
    assert!(!received.apply(loads_part(2, 1, 2, &["u4"])));
    assert_eq!(received.loads.len(), 2, "the last complete loads count");
    assert!(received.apply(loads_part(2, 0, 2, &["u3"])));
    let ids: HashSet<&str> = received.loads.iter().map(|(id, ..)| id.as_str()).collect();
    assert_eq!(ids, HashSet::from(["u3", "u4"]));
    assert!(!received.apply(loads_part(1, 0, 1, &["u1"])), "outdated");
}

fn announced_limit(n: usize) -> AnnouncedLimit {
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
            limits: vec![announced_limit(1)],
        }),
        Extension::PermitQuery(PermitQuery {
            incarnation: u64::MAX,
            id: 7,
            is_forwarded: true,
            limit: announced_limit(2),
        }),
        Extension::PermitAnswer(PermitAnswer {
            incarnation: u64::MAX,
            id: 7,
            is_granted: false,
            wait_ms: 300,
            limit: None,
        }),
        Extension::HasPermit,
        Extension::OnlyVersion("v2".into()),
        Extension::Origins(OriginsPart {
            service: "s".into(),
            version: "v1".into(),
            left_ms: 45_000,
            is_to_log: true,
            attempts: vec![1, u64::MAX],
        }),
        Extension::OriginQuery(OriginQuery {
            incarnation: u64::MAX,
            id: 7,
            service: "s".into(),
            attempt: u64::MAX,
        }),
        Extension::OriginAnswer(OriginAnswer {
            incarnation: u64::MAX,
            id: 7,
            version: Some("v1".into()),
            seen: 2,
        }),
        Extension::Restored(u64::MAX),
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
        Extension::Samples(SamplesPart {
            name: "n".into(),
            incarnation: u64::MAX,
            samples: vec![(
                9,
                AnnouncedSample {
                    upstream: "i-1~5".into(),
                    waiting_tokens: u32::MAX,
                    unread_tokens: 20_000,
                    after_ms: 812.5,
                },
            )],
        }),
        Extension::Speeds(SpeedsPart {
            name: "n".into(),
            speeds: vec![AnnouncedSpeed {
                upstream: "i-1~5".into(),
                factor: 1.625,
                weight: 4.5,
                age_ms: u32::MAX,
            }],
        }),
        Extension::Rooms(RoomsPart {
            name: "n".into(),
            domain: "a".into(),
            incarnation: u64::MAX,
            sequence: 12,
            interval_ms: 100,
            rooms: vec![AnnouncedRoom {
                service: "s".into(),
                work_ms: 12_000.5,
                best_ms: 8.0,
            }],
        }),
    ]
}

/// Builds without support for extensions read the message and ignore the bytes behind it.
#[test]
fn extensions_do_not_change_the_bytes_of_the_message() {
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
fn a_packet_of_one_extension_has_an_empty_message_for_builds_without_extensions() {
    for extension in extensions() {
        let bytes = Packet::from(extension).encode().unwrap();
        let Datagram::Crashes(part) = Datagram::decode(&bytes).unwrap() else {
            panic!("not a kind of message that every build knows");
        };
        assert!(part.ends.is_empty());
    }
}

#[test]
fn unknown_extensions_and_later_fields_are_skipped() {
    let mut bytes = Datagram::Digest(digest_of("n", 1)).encode().unwrap();
    // A kind of a later build, and a known kind with fields of a later build at its end.
    bytes.extend([200, 3, 0, 1, 2, 3]);
    bytes.extend([1, 4, 0, 9, 1, 2, 3]);
    let packet = Packet::decode(&bytes).unwrap();
    assert_eq!(packet.extensions, [Extension::Level(9)]);
    assert_eq!(packet.level(), 9);
    // A truncated extension, and one that can't be decoded, don't affect the others.
    bytes.extend([2, 2, 0, 0xff, 0xff, 5, 0, 0, 2, 50, 0, 1]);
    let packet = Packet::decode(&bytes).unwrap();
    assert_eq!(
        packet.extensions,
        [Extension::Level(9), Extension::HasPermit]
    );
}

#[test]
fn an_extension_that_does_not_fit_is_left_out_and_the_rest_is_sent() {
    let message = Datagram::Crashes(CrashesPart {
        among_hubs: true,
        ends: Vec::new(),
    });
    let limits = (0..40).map(announced_limit).collect();
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
fn limits_of_upstreams_with_long_names_fit_into_datagrams() {
    let parts = split_into_parts((0..24).map(announced_limit).collect());
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
fn an_announced_rate_that_is_invalid_is_ignored() {
    for per_s in [f64::NAN, f64::INFINITY, -1.0] {
        let announced = AnnouncedLimit {
            per_s: Some(per_s),
            ..announced_limit(1)
        };
        assert_eq!(announced.to_known(), None, "{per_s}");
    }
}

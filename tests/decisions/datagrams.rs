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
    let parts = in_parts((0..300).map(told_account).collect());
    let told: usize = parts.iter().map(Vec::len).sum();
    assert_eq!(told, 300);
    for quotas in parts {
        let part = Datagram::Quotas(QuotasPart {
            name: "edge-zone-a-17".into(),
            life: u64::MAX,
            sequence: 1,
            age_ms: 1,
            quotas,
        });
        assert!(part.encode().unwrap().len() <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn ends_of_upstreams_fit_whatever_their_names() {
    let ends = (0..24).map(|n| ToldEnd {
        fingerprint: u128::MAX - n,
        upstream: format!("an-upstream-with-a-long-name-{n}~1764720000123"),
        age_ms: u32::MAX,
        ran_ms: u32::MAX,
        is_cleared: true,
    });
    let parts = in_parts(ends.collect());
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
    let mut told = ToldLoads::default();
    assert!(told.hear(loads_part(1, 0, 1, &["u1", "u2"])));
    assert!(!told.hear(loads_part(2, 1, 2, &["u4"])));
    assert_eq!(told.loads.len(), 2, "the last whole counts");
    assert!(told.hear(loads_part(2, 0, 2, &["u3"])));
    let ids: HashSet<&str> = told.loads.iter().map(|(id, ..)| id.as_str()).collect();
    assert_eq!(ids, HashSet::from(["u3", "u4"]));
    assert!(!told.hear(loads_part(1, 0, 1, &["u1"])), "an older one");
}

//! What daemons remember of the versions that began streams, and what they decide by it.

use saddlepulley::{cluster::*, names::*, policy::*};

const MINUTE_MS: u64 = 60_000;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".into(),
        version: version.into(),
    }
}

fn version_of(table: &OriginTable, key: u64, now_ms: u64) -> Option<&str> {
    let origin = table.get(AttemptKey(key), now_ms)?;
    Some(origin.version.as_str())
}

#[test]
fn the_first_record_of_a_stream_stands() {
    let mut table = OriginTable::default();
    assert!(table.record(AttemptKey(1), origin("v1"), 100, 0));
    assert!(!table.record(AttemptKey(1), origin("v2"), 200, 0));
    assert_eq!(version_of(&table, 1, 150), Some("v1"));
    assert_eq!(version_of(&table, 1, 200), None);
}

#[test]
fn streams_are_forgotten_once_they_can_no_longer_be_taken_up() {
    let mut table = OriginTable::default();
    for n in 0..100 {
        table.record_own(AttemptKey(n), origin("v1"), 100 + n, 0);
    }
    table.expire(149);
    assert_eq!(table.len(), 50);
    assert_eq!(table.take_unannounced(|_| true, 149).len(), 50);
    table.expire(1_000);
    assert!(table.is_empty());
    assert_eq!(table.take_dropped(), 0);
}

#[test]
fn a_flood_of_streams_drops_the_oldest_and_counts_them() {
    let mut table = OriginTable::default();
    for n in 0..70_000 {
        table.record(AttemptKey(n), origin("v1"), 1_000, 0);
    }
    let kept = table.len() as u64;
    assert!(kept < 70_000);
    assert_eq!(table.take_dropped(), 70_000 - kept);
    assert_eq!(version_of(&table, 0, 0), None);
    assert_eq!(version_of(&table, 69_999, 0), Some("v1"));
}

#[test]
fn streams_of_one_version_are_announced_once_there_is_another() {
    let mut table = OriginTable::default();
    table.record_own(AttemptKey(1), origin("v1"), 1_000, 0);
    table.record(AttemptKey(2), origin("v1"), 1_000, 0);
    assert!(table.take_unannounced(|_| false, 10).is_empty());
    let due = table.take_unannounced(|service| service.as_str() == "s", 10);
    assert_eq!(due.len(), 1, "others announce their own streams");
    assert_eq!((due[0].key, due[0].left_ms), (AttemptKey(1), 990));
    assert!(!table.has_unannounced());
}

#[test]
fn versions_that_have_gone_count_as_long_as_their_streams_may_be_taken_up() {
    let mut history = VersionHistory::default();
    let service = ServiceName::from("s");
    let mut observe = |versions: &[&str], now_ms| {
        let versions: Vec<UpstreamVersion> = versions.iter().map(|v| (*v).into()).collect();
        history.observe(&service, &versions, now_ms)
    };
    assert_eq!(observe(&["v1"], 0), SeenVersions::Unsure);
    assert_eq!(observe(&["v1"], MINUTE_MS), SeenVersions::One);
    assert_eq!(observe(&["v1", "v2"], MINUTE_MS + 1), SeenVersions::Several);
    assert_eq!(observe(&["v2"], 2 * MINUTE_MS), SeenVersions::Several);
    assert_eq!(observe(&["v2"], 2 * MINUTE_MS + 2), SeenVersions::One);
}

fn decide(known: &[(Option<&str>, SeenVersions)]) -> Resumption {
    let mut evidence = ResumptionEvidence::default();
    for (version, seen) in known {
        evidence.add(version.map(UpstreamVersion::from), *seen);
    }
    evidence.decide()
}

#[test]
fn a_stream_of_unknown_origin_goes_on_only_if_one_version_has_served() {
    use SeenVersions::{One, Several, Unsure};
    assert_eq!(decide(&[(None, One)]), Resumption::Anywhere);
    assert_eq!(
        decide(&[(None, Unsure), (None, Unsure)]),
        Resumption::Anywhere
    );
    assert_eq!(decide(&[(None, Several)]), Resumption::Nowhere);
    assert_eq!(
        decide(&[(None, Unsure), (None, Several)]),
        Resumption::Nowhere
    );
    assert_eq!(decide(&[(None, One), (None, Several)]), Resumption::Nowhere);
    let known = decide(&[(None, Several), (Some("v1"), Several)]);
    assert_eq!(known, Resumption::At("v1".into()));
}

#[test]
fn others_are_asked_until_the_origin_is_known_or_surely_needless() {
    let mut evidence = ResumptionEvidence::default();
    evidence.add(None, SeenVersions::Unsure);
    assert!(evidence.is_open());
    evidence.add(None, SeenVersions::One);
    assert!(!evidence.is_open());
    evidence.add(None, SeenVersions::Several);
    assert!(evidence.is_open());
    evidence.add(Some("v1".into()), SeenVersions::Several);
    assert!(!evidence.is_open());
}

#[test]
fn announcements_of_many_streams_fit_into_datagrams() {
    let announced = |n: u64| AnnouncedOrigin {
        key: AttemptKey(u64::MAX - n),
        origin: origin(if n.is_multiple_of(3) { "v1" } else { "v2" }),
        left_ms: 45_000 - n,
    };
    let origins: Vec<AnnouncedOrigin> = (0..1_000).map(announced).collect();
    let parts = OriginsPart::group(&origins, true);
    assert_eq!(parts.iter().flat_map(OriginsPart::keys).count(), 1_000);
    for part in parts {
        let packet = Packet::from(Extension::Origins(part));
        assert_eq!(Packet::decode(&packet.encode().unwrap()).unwrap(), packet);
    }
}

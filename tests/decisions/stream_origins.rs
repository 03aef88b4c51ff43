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
        history.observe(&service, &versions, now_ms).seen
    };
    assert_eq!(observe(&["v1"], 0), SeenVersions::Unsure);
    assert_eq!(observe(&["v1"], MINUTE_MS), SeenVersions::One);
    assert_eq!(observe(&["v1", "v2"], MINUTE_MS + 1), SeenVersions::Several);
    assert_eq!(observe(&["v2"], 2 * MINUTE_MS), SeenVersions::Several);
    assert_eq!(observe(&["v2"], 2 * MINUTE_MS + 2), SeenVersions::One);
}

/// The Unix time of the tests, in milliseconds.
const UNIX_MS: u64 = 1_000_000_000;
/// How long a service has to be recorded until its record counts as whole, in milliseconds.
const SETTLED_MS: u64 = 5_000;
/// How long after a daemon's start streams from before it may be taken up, in milliseconds.
const UNRECORDED_MS: u64 = 15_000;

fn recorded(age_ms: u64, versions: &[&str]) -> RecordedVersions {
    let mut recorded = RecordedVersions::default();
    let record = VersionsRecord {
        versions: versions.iter().map(|v| (*v).into()).collect(),
        since_ms: UNIX_MS - age_ms,
        is_confirmed: true,
    };
    recorded.set(&"s".into(), record);
    recorded
}

fn observe(history: &mut VersionHistory, versions: &[&str], now_ms: u64) -> (SeenVersions, String) {
    let versions: Vec<UpstreamVersion> = versions.iter().map(|v| (*v).into()).collect();
    let known = history.observe(&"s".into(), &versions, now_ms);
    let alone = known.alone.map_or(String::new(), |v| v.to_string());
    (known.seen, alone)
}

#[test]
fn versions_from_before_the_start_are_known_from_the_record() {
    use SeenVersions::{One, Several};
    let alone = |seen, version: &str| (seen, version.to_string());
    let mut history = VersionHistory::default();
    history.add_record(&recorded(SETTLED_MS, &["v1"]), UNIX_MS, 10);
    assert_eq!(observe(&mut history, &["v1"], 20), alone(One, "v1"));
    assert_eq!(observe(&mut history, &["v2"], 30), alone(Several, "v1"));
    let later_ms = MINUTE_MS + 31;
    assert_eq!(observe(&mut history, &["v2"], later_ms), alone(One, "v2"));

    // The upstreams may be known before the record is.
    let mut history = VersionHistory::default();
    assert_eq!(observe(&mut history, &["v2", "v3"], 10), alone(Several, ""));
    history.add_record(&recorded(SETTLED_MS, &["v1"]), UNIX_MS, 20);
    assert_eq!(
        observe(&mut history, &["v2", "v3"], 30),
        alone(Several, "v1")
    );

    // Several versions served before the start.
    let mut history = VersionHistory::default();
    history.add_record(&recorded(SETTLED_MS, &["v1", "v2"]), UNIX_MS, 10);
    assert_eq!(observe(&mut history, &["v2"], 20), alone(Several, ""));
}

/// Guards against streams at two versions: a store that had lost the record counted as one that never had any.
#[test]
fn a_missing_or_new_record_does_not_show_what_served_before_the_start() {
    use SeenVersions::{One, Unsure};
    for page in [
        RecordedVersions::default(),
        recorded(SETTLED_MS - 1, &["v2"]),
    ] {
        let mut history = VersionHistory::default();
        history.add_record(&page, UNIX_MS, 10);
        assert_eq!(observe(&mut history, &["v2"], 20).0, Unsure);
        assert_eq!(observe(&mut history, &["v2"], UNRECORDED_MS - 1).0, Unsure);
        assert_eq!(observe(&mut history, &["v2"], UNRECORDED_MS).0, One);
    }
}

/// Guards against streams at two versions: the store had lost that another one served, and a copy named one alone.
#[test]
fn an_unconfirmed_record_does_not_show_which_version_served_alone() {
    use SeenVersions::{One, Several};
    let mut page = recorded(SETTLED_MS, &["v1"]);
    let (service, record) = page.services().next().unwrap();
    let (service, mut record) = (service.clone(), record.clone());
    record.is_confirmed = false;
    page.set(&service, record);
    let alone = |seen, version: &str| (seen, version.to_string());
    for seen_before in [&[][..], &["v1", "v2"]] {
        let mut history = VersionHistory::default();
        observe(&mut history, seen_before, 5);
        history.add_record(&page, UNIX_MS, 10);
        if seen_before.is_empty() {
            assert_eq!(observe(&mut history, &["v1"], 20), alone(One, "v1"));
        }
        assert_eq!(observe(&mut history, &["v1", "v2"], 30), alone(Several, ""));
        assert!(history.seen(40).may_lack(&service));
        assert!(!history.seen(UNRECORDED_MS).may_lack(&service));
    }
}

#[test]
fn without_a_store_the_versions_that_are_seen_count_as_all() {
    let mut history = VersionHistory::default();
    history.begin_without_store();
    assert_eq!(observe(&mut history, &["v1"], 0).0, SeenVersions::One);
}

#[test]
fn a_version_that_served_alone_is_known_until_clients_have_come_back() {
    let service = ServiceName::from("s");
    let mut history = VersionHistory::default();
    let mut alone_at = |versions: &[&str], now_ms| {
        let versions: Vec<UpstreamVersion> = versions.iter().map(|v| (*v).into()).collect();
        let known = history.observe(&service, &versions, now_ms);
        known.alone.map(|v| v.to_string())
    };
    assert_eq!(
        alone_at(&["v1"], 0),
        None,
        "it is not known what was before"
    );
    assert_eq!(alone_at(&["v1"], MINUTE_MS).as_deref(), Some("v1"));
    assert_eq!(
        alone_at(&["v1", "v2"], MINUTE_MS + 1).as_deref(),
        Some("v1")
    );
    let appeared_ms = MINUTE_MS + 1;
    let three = &["v1", "v2", "v3"];
    assert_eq!(alone_at(three, appeared_ms + 10_000).as_deref(), Some("v1"));
    assert_eq!(alone_at(three, appeared_ms + 10_001), None);
}

/// What one daemon knows: the origin, how many versions it has seen, and which of them served alone.
type Known<'a> = (Option<&'a str>, SeenVersions, Option<&'a str>);

fn evidence(known: &[Known]) -> ResumptionEvidence {
    let mut evidence = ResumptionEvidence::default();
    for (origin, seen, alone) in known {
        let versions = KnownVersions {
            seen: *seen,
            alone: alone.map(UpstreamVersion::from),
        };
        evidence.add_heard(origin.map(UpstreamVersion::from), versions);
    }
    evidence
}

/// Guards against streams at two versions: a daemon that had been frozen went by the versions that it saw before.
#[test]
fn a_daemon_does_not_go_by_its_own_versions_alone() {
    let own = KnownVersions {
        seen: SeenVersions::One,
        alone: Some("v1".into()),
    };
    let mut evidence = ResumptionEvidence::default();
    evidence.add(None, own);
    assert!(evidence.is_open());
    let mut unheard = evidence.clone();
    unheard.record_unread_log();
    assert_eq!(unheard.decide(), Resumption::Nowhere);
    assert_eq!(evidence.clone().decide(), Resumption::Nowhere);
    evidence.record_nobody_to_ask();
    assert!(!evidence.is_open());
    assert_eq!(evidence.decide(), Resumption::Inferred("v1".into()));
}

#[test]
fn a_stream_of_unknown_origin_goes_on_only_at_a_version_that_served_alone() {
    use SeenVersions::{One, Several, Unsure};
    let decide = |known: &[Known]| evidence(known).decide();
    let inferred = Resumption::Inferred("v1".into());
    assert_eq!(decide(&[(None, One, Some("v1"))]), inferred);
    assert_eq!(decide(&[(None, One, None)]), Resumption::Anywhere);
    assert_eq!(decide(&[(None, Several, Some("v1"))]), inferred);
    assert_eq!(decide(&[(None, Several, None)]), Resumption::Nowhere);
    let later_start = [(None, Several, None), (None, Several, Some("v1"))];
    assert_eq!(decide(&later_start), inferred);
    let outdated = [(None, One, Some("v1")), (None, Several, None)];
    assert_eq!(decide(&outdated), inferred);
    let contradiction = [(None, One, Some("v1")), (None, One, Some("v2"))];
    assert_eq!(decide(&contradiction), Resumption::Nowhere);
    assert_eq!(
        decide(&[(None, Unsure, None), (None, Several, None)]),
        Resumption::Nowhere
    );
    let known = decide(&[(None, Several, Some("v1")), (Some("v2"), Several, None)]);
    assert_eq!(known, Resumption::At("v2".into()));
}

/// Guards against streams at two versions after a loss of all daemons: nobody knew which versions had
/// served before, and the streams went on anywhere.
#[test]
fn a_stream_goes_nowhere_while_nobody_knows_which_versions_have_served() {
    let unsure = (None, SeenVersions::Unsure, None);
    assert_eq!(evidence(&[unsure, unsure]).decide(), Resumption::Nowhere);
}

#[test]
fn a_stream_goes_nowhere_while_the_log_that_may_hold_its_origin_is_not_read() {
    let several = (None, SeenVersions::Several, Some("v1"));
    let mut evidence = evidence(&[several]);
    evidence.record_unread_log();
    assert_eq!(evidence.decide(), Resumption::Nowhere);
}

/// Guards against streams at two versions: the log, which lacks the youngest streams, was all that a daemon heard.
#[test]
fn a_daemon_that_hears_no_other_does_not_guess_between_versions() {
    let mut several = evidence(&[(None, SeenVersions::Several, Some("v1"))]);
    several.record_unheard();
    assert_eq!(several.decide(), Resumption::Nowhere);
    let mut known = evidence(&[(Some("v2"), SeenVersions::Several, Some("v1"))]);
    known.record_unheard();
    assert_eq!(known.decide(), Resumption::At("v2".into()));
    let mut one = evidence(&[(None, SeenVersions::One, Some("v1"))]);
    one.record_unheard();
    assert_eq!(one.decide(), Resumption::Inferred("v1".into()));
}

#[test]
fn others_are_asked_until_the_origin_is_known_or_surely_needless() {
    use SeenVersions::{One, Several, Unsure};
    let is_open = |known: &[Known]| evidence(known).is_open();
    let unsure = (None, Unsure, None);
    assert!(is_open(&[unsure]));
    assert!(!is_open(&[unsure, (None, One, Some("v1"))]));
    assert!(is_open(&[
        (None, One, Some("v1")),
        (None, Several, Some("v1"))
    ]));
    assert!(is_open(&[(None, One, Some("v1")), (None, One, Some("v2"))]));
    assert!(!is_open(&[
        (None, Several, None),
        (Some("v1"), Several, None)
    ]));
}

#[test]
fn changes_of_recorded_versions_name_the_services_that_differ() {
    let record = |versions: &[&str], since_ms| VersionsRecord {
        versions: versions.iter().map(|v| (*v).into()).collect(),
        since_ms,
        is_confirmed: true,
    };
    let mut recorded = RecordedVersions::default();
    for service in ["a", "b", "c"] {
        recorded.set(&service.into(), record(&["v1"], 5));
    }
    let mut wanted = ServiceVersions::default();
    for (service, version) in [("a", "v1"), ("b", "v1"), ("b", "v2"), ("d", "v1")] {
        wanted.add(&service.into(), &version.into());
    }
    let changes = recorded.changes_to(&wanted, 9);
    let expected = [
        ("b".into(), record(&["v1", "v2"], 5)),
        ("c".into(), record(&[], 5)),
        ("d".into(), record(&["v1"], 9)),
    ];
    assert_eq!(changes, expected);
    assert!(!recorded.has_all(&wanted));
    for (service, record) in changes {
        recorded.set(&service, record);
    }
    assert!(recorded.has_all(&wanted));
    assert!(recorded.changes_to(&wanted, 10).is_empty());

    // A record from before the return of the store is confirmed by those that know all versions.
    let unconfirmed = VersionsRecord {
        is_confirmed: false,
        ..record(&["v1"], 5)
    };
    recorded.set(&"a".into(), unconfirmed);
    let expected = [("a".into(), record(&["v1"], 5))];
    assert_eq!(recorded.changes_to(&wanted, 10), expected);
    wanted.add_incomplete(&"a".into());
    assert!(recorded.changes_to(&wanted, 10).is_empty());
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

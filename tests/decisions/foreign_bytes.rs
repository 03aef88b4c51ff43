//! No bytes from the store or from another daemon abort the process. An entry with any
//! modification is either completely usable or refused.
//!
//! To run more cases, or another seed: `FUZZ_CASES=1000000 FUZZ_SEED=7 cargo test
//! --release --test decisions foreign_bytes`.

use {
    bytes::Bytes,
    proptest::{prelude::*, test_runner::RngSeed},
    saddlepulley::{
        cluster::{CrashesPart, Datagram, FeedQuery, FeedReply, FeedUpdate, Packet, decode},
        names::UpstreamId,
        platform::{
            KeyedRecord, config_from_record, read_answer, split_keyed, suspect_record,
            upstream_from_entry,
        },
        routing::{unpack, unpack_config},
        upstreams::PresentUpstream,
    },
};

const ENTRY: &str = r#"{"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":96,"state":"ready","sequence":4,"cold_remaining_ms":0,"born":1764720000123,"spot":true,"phase":"decode","model_list":[{"name":"m","version":1,"lora_adapters":[]}]}"#;

/// Runs the same cases each time, unless the environment sets another number or seed.
fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    ProptestConfig {
        cases: number("FUZZ_CASES").unwrap_or(2_000) as u32,
        rng_seed: RngSeed::Fixed(number("FUZZ_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..600)
}

/// A JSON value of any type, to replace a field.
fn any_value() -> impl Strategy<Value = serde_json::Value> {
    prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        any::<i64>().prop_map(Into::into),
        any::<f64>().prop_map(Into::into),
        ".{0,12}".prop_map(Into::into),
        Just(serde_json::json!([])),
        Just(serde_json::json!({ "a": 1 })),
    ]
}

/// Guards against an abort of the process: messages that declare a list longer than the
/// available memory made the decoder allocate it.
#[test]
fn a_message_that_declares_a_huge_list_is_refused() {
    // The numbers of bytes before the lists of upstreams and of removed ids.
    for zeros in [8, 9] {
        let mut bytes = vec![0; zeros];
        bytes.push(253);
        bytes.extend([0xff; 7]);
        bytes.push(0x0f);
        assert!(decode::<FeedReply>(&bytes).is_err(), "after {zeros} zeros");
    }
}

/// Guards against treating an invalid record as a valid one without crashes, which would
/// clear a quarantined request.
#[test]
fn a_quarantine_record_is_read_completely_or_refused() {
    let record = |key: &str, value: Option<&str>| KeyedRecord {
        key: key.to_string(),
        value: value.map(|text| Bytes::copy_from_slice(text.as_bytes())),
        offset: 1,
    };
    let key = "000000000000000000000000000000ff";
    let ends = r#"{"ends":[{"upstream":"u","at_ms":400,"ran_ms":9},{"upstream":"v","at_ms":9000,"ran_ms":9}]}"#;
    let read = suspect_record(&record(key, Some(ends)), 1_000).unwrap();
    let ages: Vec<u64> = read.ends.iter().map(|end| end.age_ms).collect();
    assert_eq!(
        ages,
        [600, 0],
        "a time ahead of the own clock counts as now"
    );
    assert!(
        suspect_record(&record(key, None), 1_000)
            .unwrap()
            .ends
            .is_empty()
    );
    for (key, value) in [
        ("no number", ends),
        (key, "{}"),
        (key, "[1]"),
        (key, "\u{7}"),
    ] {
        assert!(suspect_record(&record(key, Some(value)), 1_000).is_none());
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(bytes in any_bytes(), key in ".{0,20}") {
        let _ = upstream_from_entry(&key, &bytes, 7);
        let _ = config_from_record(&bytes);
        let shared = Bytes::from(bytes.clone());
        let _ = read_answer(&shared);
        let _ = split_keyed(&shared);
        let _ = Datagram::decode(&bytes);
        let _ = decode::<FeedQuery>(&bytes);
        let _ = decode::<FeedReply>(&bytes);
        let _ = unpack_config(&bytes);
        if let Ok(update) = decode::<FeedUpdate>(&bytes) {
            let _ = update.directory();
        }
        let _ = unpack::<(Vec<PresentUpstream>, Vec<UpstreamId>)>(&bytes);
    }

    #[test]
    fn a_datagram_of_the_own_version_with_arbitrary_bytes_is_decoded_or_refused(bytes in any_bytes()) {
        let message = Datagram::Crashes(CrashesPart { among_hubs: true, ends: Vec::new() });
        let version = message.encode().unwrap()[0];
        let mut datagram = vec![version];
        datagram.extend(bytes);
        let _ = Datagram::decode(&datagram);
    }

    #[test]
    fn arbitrary_bytes_after_a_message_do_not_change_it(bytes in any_bytes()) {
        let message = Datagram::Crashes(CrashesPart { among_hubs: true, ends: Vec::new() });
        let mut datagram = message.encode().unwrap();
        datagram.extend(bytes);
        prop_assert_eq!(Packet::decode(&datagram).unwrap().datagram, message);
    }

    #[test]
    fn an_entry_with_a_changed_byte_is_usable_or_refused(at in 0..ENTRY.len(), byte: u8) {
        let mut bytes = ENTRY.as_bytes().to_vec();
        bytes[at] = byte;
        if let Ok(upstream) = upstream_from_entry("i-1", &bytes, 7) {
            prop_assert!(upstream.slots > 0 && upstream.address.port() > 0);
        }
    }

    #[test]
    fn an_entry_with_a_field_of_another_type_is_refused(value in any_value(), field in 0..9_usize) {
        let names = [
            "service", "address", "zone", "version", "slots", "state", "sequence",
            "cold_remaining_ms", "born",
        ];
        let mut entry: serde_json::Value = serde_json::from_str(ENTRY).unwrap();
        let same_type = match entry[names[field]] {
            serde_json::Value::String(_) => value.is_string(),
            _ => value.is_number(),
        };
        entry[names[field]] = value;
        let read = upstream_from_entry("i-1", entry.to_string().as_bytes(), 7);
        prop_assert!(same_type || read.is_err(), "{}: {entry}", names[field]);
    }

    #[test]
    fn an_entry_whose_key_fits_no_header_is_refused(key in ".{0,20}") {
        let read = upstream_from_entry(&key, ENTRY.as_bytes(), 7);
        let is_sendable = !key.is_empty()
            && key.bytes().all(|b| b.is_ascii_graphic() && b != b'~');
        prop_assert_eq!(read.is_ok(), is_sendable);
    }
}

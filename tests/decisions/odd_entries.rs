//! Odd entries of other writers among the sound ones of the platform's topics: the daemon goes on, uses the
//! sound ones, and later ones count.

use {
    crate::{odd_documents::odd_documents, support},
    bytes::Bytes,
    saddlepulley::{
        gateway::Gateway,
        names::*,
        platform::{
            KeyedBatch, KeyedRecord, config_from_record, decode_entries, part_record,
            rollout_order, suspect_record, upstream_from_entry,
        },
        policy::*,
        upstreams::{Upstream, UpstreamDirectory},
    },
};

const ENTRY: &str = r#"{"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":96,"state":"ready","sequence":4,"cold_remaining_ms":0,"born":1764720000123,"spot":true,"leaves_ms":400,"phase":"decode","model_list":[{"name":"m","version":1,"lora_adapters":[]}]}"#;
const CONFIG: &str = r#"{"version":7,"route_table":[{"name":"r1","host":"h","path_prefix":"/p/","route_type":"streaming","timeout_ms":4000,"target_latency_ms":1000,"priority":0,"max_attempts":1,"public":false,"stream_resume":true,"itl_target_ms":500,"weighted_clusters":[{"service":"s","weight":90},{"service":"t","weight":10}]}],"services":[{"name":"s","max_connections":610,"inference_engine":{"slots":128,"kv_capacity":264479},"autoscaling":{"min_replicas":1,"max_replicas":6,"boot_time_s":4.0,"spot_price":0.22,"zone_prices":{"a":0.85}}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"],"priority":1,"unit":"token_stream","uncached_tokens":200,"rate_per_s":92705,"burst":92705}]}"#;
const ORDER: &str = r#"{"service":"s","target_version":"v2","deadline_s":30.0}"#;
const CRASHES: &str = r#"{"ends":[{"upstream":"u","at_ms":400,"ran_ms":9}]}"#;
const PART_CRASHES: &str = r#"{"is_held":true,"crashes":[{"upstream":"u","at_ms":400,"answering_ms":9,"depth":1,"accounts":[7]}]}"#;
const FINGERPRINT: &str = "000000000000000000000000000000ff";
/// The length of the longest key of the store, in bytes.
const MAX_KEY_BYTES: usize = 255;

fn record(key: &str, value: &[u8], offset: u64) -> KeyedRecord {
    KeyedRecord {
        key: key.to_string(),
        value: Some(Bytes::copy_from_slice(value)),
        offset,
    }
}

/// Reads entries into a directory, the first one at offset 0.
fn read_all(directory: &mut UpstreamDirectory, records: Vec<KeyedRecord>) {
    let offset = directory.position() + records.len() as u64;
    let batch = KeyedBatch {
        is_complete: false,
        records,
        unreadable: 0,
        end: SourcePosition {
            era: SourceEra::FIRST,
            offset,
        },
    };
    decode_entries(batch).apply(directory, None);
}

fn entry_with(field: &str, value: serde_json::Value) -> Vec<u8> {
    let mut entry: serde_json::Value = serde_json::from_str(ENTRY).unwrap();
    entry.as_object_mut().unwrap().remove("leaves_ms");
    entry[field] = value;
    entry.to_string().into_bytes()
}

#[test]
fn odd_entries_of_upstreams_hide_no_sound_one() {
    let mut directory = UpstreamDirectory::default();
    let odd = odd_documents(ENTRY);
    let mut records = Vec::new();
    for (index, bytes) in odd.iter().enumerate() {
        records.push(record(&format!("odd-{index}"), bytes, records.len() as u64));
        let sound = entry_with("sequence", 5.into());
        records.push(record(&format!("i-{index}"), &sound, records.len() as u64));
    }
    let count = records.len() as u64;
    read_all(&mut directory, records);
    assert_eq!(directory.position(), count);
    for index in 0..odd.len() {
        let known = directory.all();
        let mut sound = known.filter(|u| u.id.upstream() == format!("i-{index}"));
        assert!(sound.any(|u| !u.draining), "beside odd entry {index}");
    }
}

/// Guards against versions that are no longer recorded: a name that is too long for a key of the store made each
/// write fail, also of what the daemon had to record for other services.
#[test]
fn an_entry_whose_names_are_too_long_to_be_recorded_is_refused() {
    for field in ["service", "version", "zone"] {
        let name = |bytes: usize| entry_with(field, "x".repeat(bytes).into());
        let longest = upstream_from_entry("i-1", &name(MAX_KEY_BYTES), 7);
        assert!(longest.is_ok(), "{field}: {longest:?}");
        assert!(
            upstream_from_entry("i-1", &name(MAX_KEY_BYTES + 1), 7).is_err(),
            "{field}"
        );
    }
}

/// Guards against an upstream that stays unused: an entry with a start time beyond all clocks made each later
/// incarnation count as an outdated one.
#[test]
fn an_entry_with_an_impossible_start_time_hides_no_later_incarnation() {
    for born in [u64::MAX, i64::MAX as u64, 1_764_720_000_123_000] {
        let mut directory = UpstreamDirectory::default();
        let odd = record("i-1", &entry_with("born", born.into()), 0);
        let sound = record("i-1", &entry_with("sequence", 5.into()), 1);
        read_all(&mut directory, vec![odd, sound]);
        let known: Vec<&Upstream> = directory.all().map(|u| &**u).collect();
        let started_ms: Vec<u64> = known.iter().map(|u| u.id.started_ms()).collect();
        assert_eq!(started_ms, [1_764_720_000_123], "after {born}");
    }
}

/// Guards against a wrong sum of slots, which decides on the share of a new version.
#[test]
fn upstreams_with_the_most_slots_that_can_be_named_are_summed_up() {
    let gateway = support::gateway("");
    gateway.change_directory(|directory, _| {
        let entry = entry_with("slots", u32::MAX.into());
        let records = (0..3).map(|n| record(&format!("i-{n}"), &entry, n));
        read_all(directory, records.collect());
    });
    assert_eq!(gateway.version_slots("s", "v1"), (u32::MAX, 0));
}

#[test]
fn odd_orders_of_rollouts_are_refused_or_applied_and_later_ones_count() {
    for (offset, bytes) in odd_documents(ORDER).iter().enumerate() {
        let gateway = support::gateway("");
        for order in [
            rollout_order(&record("rollout/s", bytes, offset as u64)),
            rollout_order(&record("rollout/s", ORDER.as_bytes(), 1_000_000)),
        ] {
            if let Some(Ok(order)) = order {
                gateway.apply_order_of_era(order, SourceEra::FIRST);
            }
        }
        let known = gateway.rollouts.lock().get("s").map(|r| r.order);
        assert_eq!(known, Some(1_000_001));
    }
}

#[test]
fn odd_records_of_crashes_are_refused_or_applied() {
    let gateway = support::gateway("");
    for bytes in odd_documents(CRASHES) {
        if let Some(read) = suspect_record(&record(FINGERPRINT, &bytes, 1), 1_000) {
            gateway.apply_written(&read);
        }
    }
    for bytes in odd_documents(PART_CRASHES) {
        let key = format!("part-{FINGERPRINT}");
        if let Some(read) = part_record(&record(&key, &bytes, 1), 1_000) {
            gateway.apply_written_part(&read);
        }
    }
    gateway.sweep();
}

#[test]
fn odd_numbers_in_headers_of_upstreams_are_ignored_or_bounded() {
    let id = UpstreamId::from("u");
    let mut limits = LimitTable::default();
    let mut cooldowns = CooldownTable::default();
    for text in [
        "",
        "-1",
        "nan",
        "inf",
        "1e999",
        "1e308",
        "0",
        "0.0000000000000000000000000001",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999999999999999999",
        ".",
        "1.2.3",
        "\u{0}",
        "9223372036854775808",
    ] {
        let _ = NamedBound::read([text.as_bytes()]);
        limits.record_answer(&id, NamedLimit::read([text.as_bytes()]), 5, 5);
        if let Err(wait_ms) = limits.take(&id, PermitShare::ALL, 10) {
            limits.record_used_up(&id, wait_ms, 10);
        }
        if let RetryAfter::For(cooldown) = RetryAfter::read([text.as_bytes()]) {
            cooldowns.record(&id, cooldown, 5);
            let _ = cooldowns.left(&id, 6);
        }
    }
}

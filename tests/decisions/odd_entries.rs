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
fn odd_configurations_are_refused_or_serve() {
    for bytes in odd_documents(CONFIG) {
        let Ok(mut config) = config_from_record(&bytes) else {
            continue;
        };
        config.version = 8;
        let gateway: Gateway = support::gateway("");
        assert!(gateway.apply_config(config));
        let table = gateway.table().unwrap();
        for point in [0, 1, u64::MAX] {
            if let Some(route) = table.find_route("h", "/p/x") {
                let _ = route.pick_service(point);
                let _ = gateway.max_wait(&"s".into(), route);
            }
        }
        gateway.sweep();
    }
}

/// Guards against sums that overflow: such a time ended the task of the request, such a size that of the
/// connection.
#[test]
fn numbers_of_a_configuration_are_bounded() {
    const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
    const GIGABYTE: usize = 1 << 30;
    let mut config = config_from_record(CONFIG.as_bytes()).unwrap();
    let route = &mut config.routes[0];
    route.timeout_ms = u64::MAX;
    route.target_latency_ms = u64::MAX;
    route.event_gap_ms = Some(u64::MAX);
    config.limits.max_header_bytes = usize::MAX;
    config.limits.idle_timeout_ms = u64::MAX;
    config.accounts[0].rate_per_s = f64::MAX;
    config.accounts[0].burst = f64::MAX;
    let scaling = config.services[0].autoscaling.as_mut().unwrap();
    (scaling.min_per_domain, scaling.max_per_domain) = (u32::MAX, u32::MAX);
    scaling.boot_s = f64::MAX;
    let gateway = support::gateway("");
    gateway.apply_config(config);
    let table = gateway.table().unwrap();
    let route = table.find_route("h", "/p/x").unwrap();
    assert!(route.timeout_ms <= DAY_MS && route.target_latency_ms <= DAY_MS);
    assert!(route.event_gap_ms.unwrap() <= DAY_MS);
    let limits = gateway.client_limits();
    assert!(limits.max_header_bytes <= GIGABYTE && limits.idle_timeout_ms <= DAY_MS);
    let account = table.find_account("k1").unwrap();
    assert!(account.rate_per_s <= 1e15 && account.burst <= 1e15);
    let service = table.find_service(&"s".into()).unwrap();
    let scaling = service.autoscaling.as_ref().unwrap();
    assert!(scaling.max_per_domain <= 1_000_000 && scaling.min_per_domain <= 1_000_000);
    assert!(scaling.boot_s <= DAY_MS as f64);
}

/// Guards against a search that overflows, and then never ends, where no number of upstreams meets a need.
#[test]
fn a_need_that_is_never_met_is_planned_within_the_highest_limits() {
    let supply = DomainSupply {
        fleet: DomainFleet {
            domain: FailureDomain::from("a"),
            price: 1.0,
            on_demand: 1,
            reclaimable: 0,
            pending: 0,
        },
        capacity: 1.0,
        has_on_demand: false,
        has_reclaimable: true,
    };
    let bounds = FleetBounds {
        min_per_domain: 0,
        max_per_domain: u32::MAX,
        reclaimable_price: Some(0.2),
    };
    let need = FleetNeed {
        every_day: 1e18,
        after_loss: 1e18,
        on_demand_base: 0.0,
    };
    let needs = FleetNeeds {
        steady: need,
        now: need,
    };
    let plan = plan_for_need(&[supply], &[true], bounds, needs, &FleetPolicy::default());
    assert_eq!(plan.bound, DecidingBound::NoneLeft);
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

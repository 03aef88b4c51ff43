//! Decoding of the records and entries of the platform.

use {
    bytes::Bytes,
    saddlepulley::{platform::*, routing::RouteKind},
};

#[test]
fn a_read_response_holds_two_offsets_and_framed_records() {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&842_u64.to_be_bytes());
    bytes.extend_from_slice(&3_u64.to_be_bytes());
    bytes.extend_from_slice(&frame_record(b"ab"));
    bytes.extend_from_slice(&frame_record(b""));
    let answer = read_answer(&Bytes::from(bytes.clone())).unwrap();
    assert_eq!((answer.end, answer.first), (842, 3));
    assert_eq!(answer.records, [Bytes::from("ab"), Bytes::new()]);
    for cut in [0, 7, 15, 17, 21] {
        let short = Bytes::copy_from_slice(&bytes[..cut]);
        assert!(read_answer(&short).is_err(), "cut at {cut}");
    }
}

#[test]
fn a_keyed_record_splits_into_key_and_value() {
    let record = Bytes::from_static(b"\x06configVALUE");
    let (key, value) = split_keyed(&record).unwrap();
    assert_eq!(
        (key.as_str(), value),
        ("config", Some(Bytes::from("VALUE")))
    );
    let dropped = Bytes::from_static(b"\x01k");
    assert_eq!(split_keyed(&dropped).unwrap(), ("k".into(), None));
    assert!(split_keyed(&Bytes::from_static(b"\x09short")).is_err());
}

const CONFIG: &str = r#"{"version":7,"route_table":[
{"name":"r1","host":"h.example","path_prefix":"/p/","route_type":"streaming","timeout_ms":4000,
 "target_latency_ms":1000,"priority":0,"service":"s1","max_attempts":1,"public":false,
 "session_affinity":true,"stream_resume":true,"itl_target_ms":500},
{"name":"r2","host":"h.example","path_prefix":"/q/","route_type":"non_idempotent","timeout_ms":600,
 "weighted_clusters":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
"services":[{"name":"s1","health_check_path":"/healthz","max_connections":610,"protocol":"h1",
 "inference_engine":{"slots":128,"kv_capacity":264479,"handle_ttl_s":5.0},
 "autoscaling":{"min_replicas":1,"max_replicas":6,"boot_time_s":4.0,"spot_price":0.22,
 "zone_prices":{"a":0.85}}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"token_stream",
 "uncached_tokens":200,"rate_per_s":92705,"burst":92705}]}"#;

#[test]
fn a_configuration_record_is_translated_completely() {
    let config = config_from_record(CONFIG.as_bytes()).unwrap();
    assert_eq!(config.version, 7);
    assert_eq!(config.routes[0].kind, RouteKind::Streaming);
    assert!(config.routes[0].resumable);
    assert_eq!(config.routes[1].kind, RouteKind::NonIdempotent);
    assert_eq!(config.routes[1].services.len(), 2);
    assert_eq!(config.routes[1].max_attempts, 1);
    assert_eq!(config.accounts[0].keys, ["k1", "k2"]);
    assert_eq!(config.accounts[0].cost(Some(1_540)), 1_540.0);
    assert_eq!(config.accounts[0].cost(None), 200.0);
    assert_eq!(config.limits.idle_timeout_ms, 15_000);
    let scaling = config.services[0].autoscaling.as_ref().unwrap();
    assert_eq!(
        (scaling.max_per_domain, scaling.reclaimable_price),
        (6, Some(0.22))
    );
}

#[test]
fn an_entry_in_state_draining_makes_a_draining_upstream() {
    let entry = |more: &str| {
        format!(
            r#"{{"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":128,"sequence":4,"cold_remaining_ms":0{more}}}"#
        )
    };
    let ready = upstream_from_entry("i-1", entry(r#","state":"ready""#).as_bytes(), 7).unwrap();
    assert!(!ready.draining);
    let leaving = entry(r#","state":"draining","spot":true,"leaves_ms":2400"#);
    let leaving = upstream_from_entry("i-1", leaving.as_bytes(), 8).unwrap();
    assert!(leaving.draining && leaving.reclaimable);
    assert!(upstream_from_entry("i-1", b"{}", 9).is_err());
}

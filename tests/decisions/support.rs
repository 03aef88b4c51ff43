//! Helpers that the tests of decisions share.

use {
    saddlepulley::{
        conf::GatewaySettings,
        contracts::ClassPreference,
        gateway::{Gateway, HeaderNames},
        names::*,
        policy::*,
        upstreams::Upstream,
    },
    std::collections::BTreeSet,
};

/// Returns an idle upstream.
pub fn upstream(name: &str) -> UpstreamView {
    UpstreamView {
        id: BoxId::from(name),
        address: "127.0.0.1:9".parse().unwrap(),
        class: BoxClass::Reclaimable,
        price_micros: 300,
        slots: 16,
        running: 0,
        waiting: 0,
        unreported: 0,
        in_flight: 0,
        limit: 64,
        prefill_tokens_per_s: 8_000.0,
        step_ms: 10.0,
        step_ms_per_request: 0.5,
        round_trip_ms: 1.0,
        hazard_per_s: 1e-5,
        cached_tokens: 0,
    }
}

/// Returns the needs of a request with 1,000 prompt tokens and 100 expected answer tokens.
pub fn request_needs() -> RequestNeeds {
    RequestNeeds {
        prompt_tokens: 1_000,
        generated_tokens: 0,
        expected_tokens: 100,
        first_token_ms: 400.0,
        between_tokens_ms: 46.0,
        class: ClassPreference::Any,
        exclude: BTreeSet::new(),
    }
}

/// Settings of a daemon alone in failure domain "a". Nothing listens at its addresses.
pub const GATEWAY_SETTINGS: &str = r#"
[node]
name = "n"
zone = "a"
[listen]
clients = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
[source]
kind = "file"
path = "/none"
"#;

/// Returns a daemon that is not started, with further settings.
pub fn gateway(extra_settings: &str) -> Gateway {
    let settings = format!("{GATEWAY_SETTINGS}{extra_settings}");
    let settings = GatewaySettings::parse("settings", &settings).unwrap();
    Gateway::new(settings, HeaderNames::default(), 7)
}

/// Returns the id of the upstream that [`source_upstream`] makes.
pub fn source_id(index: u32) -> UpstreamId {
    UpstreamId::from(format!("b{index}").as_str())
}

/// Returns a ready upstream of service "s", as a record at an offset of the source describes it.
pub fn source_upstream(index: u32, offset: u64) -> Upstream {
    Upstream {
        id: source_id(index),
        service: ServiceName::from("s"),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::from("a"),
        slots: 8,
        draining: false,
        version: Default::default(),
        reclaimable: false,
        offset,
    }
}

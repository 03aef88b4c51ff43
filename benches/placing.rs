//! Measures the cost for a hub of choosing an upstream, by the number of upstreams.
//!
//! `cargo bench --bench placing`
//!
//! Looking up and hashing each upstream for each request, and copying load tables, took
//! 61 us a choice at 165 upstreams, 573 us at 1,500 and 1,182 us at 3,000. With a list that
//! is computed once per change of the directory, it takes 9, 50 and 96 us (one run each on
//! the same machine).

use {
    saddlepulley::{
        conf::GatewaySettings,
        gateway::{Gateway, HeaderNames, PlacementRequest, Prompt, PromptPart},
        names::{FailureDomain, ServiceName, UpstreamId},
        upstreams::Upstream,
    },
    std::{hint::black_box, time::Instant},
};

const CHOICES: u64 = 2_000;
/// Active requests of this daemon at each upstream.
const ACTIVE: u32 = 3;

fn main() {
    for upstreams in [165, 1_500, 3_000] {
        let gateway = gateway(upstreams);
        let started = Instant::now();
        for n in 0..CHOICES {
            black_box(gateway.choose(&request(n), "r"));
        }
        let each_us = started.elapsed().as_secs_f64() * 1e6 / CHOICES as f64;
        println!("{upstreams} upstreams: {each_us:.0} us a choice ({CHOICES} choices)");
    }
}

fn gateway(upstreams: usize) -> Gateway {
    let settings = "[node]\nname = \"n1\"\nzone = \"a\"\n[listen]\nclients = \"127.0.0.1:1\"\n\
                    readiness = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n[source]\n\
                    kind = \"file\"\npath = \"-\"\n";
    let settings = GatewaySettings::parse("settings", settings).unwrap();
    let gateway = Gateway::new(settings, HeaderNames::default(), 7);
    for n in 0..upstreams {
        let id = UpstreamId::from(format!("i-{n:010x}").as_str());
        gateway.directory.write().upsert(Upstream {
            id: id.clone(),
            service: ServiceName::from("s"),
            address: "10.0.0.1:80".parse().unwrap(),
            domain: FailureDomain::from(["a", "b", "c"][n % 3]),
            slots: 48,
            draining: false,
            version: Default::default(),
            reclaimable: true,
            offset: 1,
        });
        gateway.loads.lock().entry(&id).active = ACTIVE;
    }
    gateway
}

fn request(n: u64) -> PlacementRequest {
    let part = |chain: u64| PromptPart {
        chain,
        tokens: 2_000,
    };
    PlacementRequest {
        is_counted: false,
        service: ServiceName::from("s"),
        target_ms: 1_000.0,
        prompt: Prompt {
            parts: vec![part(n % 4), part(n % 900), part(n)],
            tokens_in: Some(6_000),
            tokens_out: 60,
        },
        tried: Vec::new(),
        avoided: Vec::new(),
        in_cooldown: Vec::new(),
        domain: FailureDomain::from("a"),
        isolation_key: None,
        urgency: None,
        version: None,
    }
}

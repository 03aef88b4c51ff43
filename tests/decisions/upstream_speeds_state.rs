//! Speeds of upstreams in a daemon's state: with the mechanism on and off, reports of daemons, and
//! capacity.

use {
    crate::support,
    saddlepulley::{
        cluster::*,
        gateway::{Gateway, PlacementRequest, Prompt, PromptPart},
        names::{FailureDomain, ServiceName, UpstreamId},
        policy::*,
        routing::{Route, RouteKind},
        upstreams::Upstream,
    },
};

const OFF: &str = "[mechanisms]\nupstream_speeds = false\n";
const UPSTREAMS: usize = 9;

fn id(index: usize) -> UpstreamId {
    UpstreamId::from(format!("i-{index}").as_str())
}

fn service() -> ServiceName {
    ServiceName::from("s")
}

/// A daemon that knows some upstreams in two failure domains.
fn gateway(extra_settings: &str) -> Gateway {
    let gateway = support::gateway(extra_settings);
    for index in 0..UPSTREAMS {
        gateway.directory.write().upsert(Upstream {
            id: id(index),
            service: service(),
            address: "10.0.0.1:80".parse().unwrap(),
            domain: FailureDomain::from(["a", "b"][usize::from(index >= 6)]),
            slots: 8,
            draining: false,
            version: Default::default(),
            reclaimable: true,
            offset: 1,
        });
    }
    gateway
}

fn known(index: usize, factor: f64) -> KnownSpeed {
    KnownSpeed {
        upstream: id(index),
        factor,
        weight: 9.0,
        age_ms: 0,
        scatter: None,
    }
}

/// Gives a daemon samples and announced speeds by which every third upstream is slow.
fn teach(gateway: &Gateway) {
    for round in 0..20 {
        for index in 0..UPSTREAMS {
            let factor = if index % 3 == 0 { 3.0 } else { 1.0 };
            gateway.learn_speed_sample(&SpeedSample {
                upstream: id(index),
                waiting_tokens: 0,
                unread_tokens: 20_000 + round,
                after_ms: 400.0 * factor,
            });
        }
    }
    gateway.apply_speeds("hub", &[known(0, 3.0), known(3, 3.0), known(6, 3.0)]);
    gateway.tick_speeds();
}

fn choices(gateway: &Gateway) -> Vec<UpstreamId> {
    let request = |n: u64| PlacementRequest {
        service: service(),
        target_ms: 1_000.0,
        prompt: Prompt {
            parts: [n % 4, n % 9, n]
                .map(|chain| PromptPart {
                    chain,
                    tokens: 2_000,
                })
                .to_vec(),
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
        is_counted: true,
    };
    let mut chosen = Vec::new();
    for n in 0..200 {
        let placement = gateway.choose(&request(n), "r").unwrap();
        let mut loads = gateway.loads.lock();
        loads.entry(&placement.upstream.id).waiting_tokens += placement.unread_tokens;
        drop(loads);
        chosen.push(placement.upstream.id.clone());
    }
    chosen
}

#[test]
fn with_the_switch_off_nothing_is_learned_and_choices_are_as_before() {
    let (off, taught, untaught) = (gateway(OFF), gateway(OFF), gateway(""));
    teach(&taught);
    assert_eq!(taught.time_factor(&id(0)), 1.0);
    assert_eq!(taught.samples_to_announce(), None);
    let before = choices(&off);
    assert_eq!(choices(&taught), before);
    assert_eq!(choices(&untaught), before, "on, without anything learned");
    let on = gateway("");
    teach(&on);
    assert!(on.time_factor(&id(0)) > 1.5);
    assert_ne!(choices(&on), before);
}

#[test]
fn a_slow_upstream_gets_less_of_a_load() {
    let gateway = gateway("");
    teach(&gateway);
    let chosen = choices(&gateway);
    let count = |index: usize| chosen.iter().filter(|c| **c == id(index)).count();
    assert!(count(0) * 3 < count(1) * 2, "{} {}", count(0), count(1));
}

#[test]
fn capacity_counts_upstreams_by_their_speed() {
    let gateway = gateway("");
    let domain = |gateway: &Gateway, name: &str| gateway.capacity_of(&service())[name];
    assert_eq!(domain(&gateway, "a"), 6.0);
    assert_eq!(domain(&gateway, "b"), 3.0);
    gateway.apply_speeds("hub", &[known(0, 2.0), known(7, 0.5)]);
    let (slow, fast) = (gateway.time_factor(&id(0)), gateway.time_factor(&id(7)));
    assert!(slow > 1.5 && fast < 0.7, "{slow} {fast}");
    assert_eq!(domain(&gateway, "a"), 5.0 + 1.0 / slow);
    assert_eq!(domain(&gateway, "b"), 2.0 + 1.0 / fast);
    assert!(gateway.capacity_of(&ServiceName::from("other")).is_empty());
}

/// Guards against attributing first events that earlier builds report, without an upstream, to one.
#[test]
fn a_report_of_an_earlier_build_teaches_the_service_and_no_upstream() {
    let gateway = gateway("");
    for n in 0..100_u64 {
        let unread_tokens = if n % 2 == 0 { 500 } else { 20_000 };
        let event = FirstEvent {
            unread_tokens,
            after_ms: 40.0 + unread_tokens as f64 * 0.1,
        };
        gateway.learn_first_event(&service(), event);
    }
    let ms_per_token = gateway.engine_times(&service()).ms_per_token;
    assert!((ms_per_token - 0.1).abs() < 0.01, "{ms_per_token}");
    gateway.tick_speeds();
    assert_eq!(gateway.speeds.lock().differing().count(), 0);
    let mut members = MemberTable::default();
    let none = SamplesPart {
        name: "m".into(),
        incarnation: 1,
        samples: Vec::new(),
    };
    assert_eq!(members.apply_samples(&none, 0), []);
}

fn streaming_route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Streaming,
        timeout_ms: 4_000,
        target_latency_ms: 1_000,
        priority: 0,
        services: Vec::new(),
        max_attempts: 2,
        public: false,
        resumable: false,
        event_gap_ms: None,
    }
}

/// Guards against a maximum wait that is derived from an average upstream: a request would be refused
/// although a fast one could still serve it, or wait although only slow ones are left.
#[test]
fn a_request_waits_by_the_fastest_upstream_that_is_left() {
    let gateway = gateway("");
    let stream = streaming_route();
    let alike = gateway.max_wait(&service(), &stream);
    gateway.apply_speeds("hub", &[known(0, 2.0), known(7, 0.5)]);
    let fast = gateway.time_factor(&id(7));
    assert_eq!(gateway.least_time_factor(&service()), fast);
    assert!(gateway.max_wait(&service(), &stream) > alike);
    // The fast one ends; the usual ones are left, then only the slow one.
    let remove = |gateway: &Gateway, keeps: &dyn Fn(&UpstreamId) -> bool| {
        let all: Vec<Upstream> = {
            let directory = gateway.directory.read();
            let left = directory.all().filter(|u| keeps(&u.id));
            left.map(|u| (**u).clone()).collect()
        };
        gateway.directory.write().replace(all, 9, None);
    };
    remove(&gateway, &|known| *known != id(7));
    assert_eq!(gateway.least_time_factor(&service()), 1.0);
    assert_eq!(gateway.max_wait(&service(), &stream), alike);
    remove(&gateway, &|known| *known == id(0));
    assert!(gateway.max_wait(&service(), &stream) < alike);
    assert_eq!(gateway.least_time_factor(&ServiceName::from("other")), 1.0);
}

/// The speed that a service is measured by follows the upstreams that get the work; capacity counts in
/// units of the usual one.
#[test]
fn the_usual_time_for_a_token_is_the_average_of_the_upstreams() {
    let gateway = gateway("");
    assert_eq!(gateway.usual_ms_per_token(&service()), None);
    teach(&gateway);
    let usual = gateway.usual_ms_per_token(&service()).unwrap();
    let slow = gateway.time_factor(&id(0)) * usual;
    assert!((0.02..0.06).contains(&usual), "{usual}");
    assert!(slow > usual * 1.25, "{slow} {usual}");
}

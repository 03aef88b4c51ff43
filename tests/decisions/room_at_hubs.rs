//! A hub with and without the queue for room, on the same queries.

use {
    futures_util::poll,
    saddlepulley::{
        cluster::*,
        conf::GatewaySettings,
        gateway::{Gateway, HeaderNames},
        names::*,
        policy::KnownSpeed,
        routing::*,
        upstreams::Upstream,
    },
    std::{pin::pin, time::Duration},
};

fn gateway(settings: &str) -> Gateway {
    let base = "[node]\nname = \"n1\"\nzone = \"a\"\n[listen]\nclients = \"127.0.0.1:1\"\n\
                readiness = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n[source]\n\
                kind = \"file\"\npath = \"-\"\n";
    let settings = GatewaySettings::parse("settings", &format!("{base}{settings}")).unwrap();
    let gateway = Gateway::new(settings, HeaderNames::default(), 7);
    gateway.apply_config(config());
    for n in 0..4 {
        gateway.directory.write().upsert(Upstream {
            id: UpstreamId::from(format!("u{n}").as_str()),
            service: ServiceName::from("s"),
            address: "127.0.0.1:80".parse().unwrap(),
            domain: FailureDomain::from("a"),
            slots: 8,
            draining: false,
            version: Default::default(),
            reclaimable: false,
            offset: 1,
        });
    }
    gateway
}

fn config() -> RoutingConfig {
    RoutingConfig {
        version: 1,
        routes: vec![Route {
            name: "r".into(),
            host: "h".into(),
            path_prefix: "/".into(),
            kind: RouteKind::Streaming,
            timeout_ms: 4_000,
            target_latency_ms: 1_000,
            priority: 0,
            services: vec![WeightedService {
                service: ServiceName::from("s"),
                weight: 1,
            }],
            max_attempts: 2,
            public: false,
            resumable: false,
            event_gap_ms: None,
        }],
        services: Vec::new(),
        ..RoutingConfig::default()
    }
}

fn set_waiting_tokens(gateway: &Gateway, tokens: u64) {
    for n in 0..4 {
        let id = UpstreamId::from(format!("u{n}").as_str());
        gateway.loads.lock().entry(&id).waiting_tokens = tokens;
    }
}

fn query(id: u64) -> AdmissionQuery {
    AdmissionQuery {
        name: "n2".into(),
        incarnation: 1,
        id,
        request: "r".into(),
        quota: None,
        placement: PlacementQuery {
            service: "s".into(),
            target_ms: 1_000,
            tokens_in: Some(100 + id % 7 * 50),
            tokens_out: 5,
            parts: Vec::new(),
            tried: Vec::new(),
            avoided: Vec::new(),
            isolation_key: None,
        },
    }
}

fn terms(urgency: Option<RequestUrgency>) -> QueryTerms {
    QueryTerms {
        urgency,
        version: None,
    }
}

fn urgency(target_left_ms: u32, time_left_ms: u32) -> Option<RequestUrgency> {
    Some(RequestUrgency {
        priority: 0,
        target_left_ms,
        time_left_ms,
        fingerprint: 1,
        route_priority: 0,
    })
}

/// Returns the decision of a hub, or none while it holds the request.
async fn decide(
    gateway: &Gateway,
    query: &AdmissionQuery,
    urgency: Option<RequestUrgency>,
) -> Option<HubDecision> {
    let (service, domain) = (ServiceName::from("s"), FailureDomain::from("a"));
    let decision = pin!(gateway.place_queried(query, terms(urgency), service, domain));
    match poll!(decision) {
        std::task::Poll::Ready(decision) => Some(decision),
        std::task::Poll::Pending => None,
    }
}

const ON: &str = "[mechanisms]\nroom_queue = true\n";
const OFF: &str = "";
/// More tokens than an engine reads within a quarter of the target latency.
const MANY: u64 = 1_000_000;

#[tokio::test]
async fn without_scarcity_the_queue_changes_no_decision() {
    let (on, off) = (gateway(ON), gateway(OFF));
    let urgency = urgency(1_000, 4_000);
    for id in 1..500 {
        for gateway in [&on, &off] {
            set_waiting_tokens(gateway, id % 5);
        }
        let with = decide(&on, &query(id), urgency).await;
        let without = decide(&off, &query(id), urgency).await;
        assert!(matches!(with, Some(HubDecision::Placed { .. })));
        assert_eq!(with, without, "query {id}");
    }
}

#[tokio::test]
async fn under_scarcity_a_hub_holds_unless_the_queue_is_off_or_no_urgency_is_stated() {
    let (on, off) = (gateway(ON), gateway(OFF));
    for gateway in [&on, &off] {
        set_waiting_tokens(gateway, MANY);
    }
    let urgent = urgency(1_000, 4_000_000);
    assert_eq!(decide(&on, &query(1), urgent).await, None);
    let placed = |decision| matches!(decision, Some(HubDecision::Placed { .. }));
    assert!(placed(decide(&off, &query(1), urgent).await));
    assert!(
        placed(decide(&on, &query(2), None).await),
        "an earlier build"
    );
    let mut retry = query(3);
    retry.placement.tried = vec!["u0".into()];
    assert!(placed(decide(&on, &retry, urgent).await), "a retry");
    assert!(on.demand_of(&"s".into()) > 0.0, "held requests are demand");
}

#[tokio::test]
async fn a_hub_without_upstreams_does_not_hold() {
    let hub = gateway(ON);
    hub.directory.write().replace(Vec::new(), 9, None);
    let decision = decide(&hub, &query(1), urgency(1_000, 4_000)).await;
    assert_eq!(decision, Some(HubDecision::NoUpstream));
}

/// A request whose daemon or client is gone frees its place; otherwise all later ones would wait
/// behind it.
#[tokio::test]
async fn a_request_that_is_dropped_frees_its_place() {
    let hub = gateway(ON);
    set_waiting_tokens(&hub, MANY);
    assert_eq!(
        decide(&hub, &query(1), urgency(1_000, 4_000_000)).await,
        None
    );
    set_waiting_tokens(&hub, 0);
    // The hub computes the room anew once it is no longer recent.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let decision = decide(&hub, &query(2), urgency(1_000, 4_000)).await;
    assert!(matches!(decision, Some(HubDecision::Placed { .. })));
}

#[tokio::test]
async fn a_moment_without_upstreams_refuses_no_request_that_waits() {
    let hub = gateway(ON);
    set_waiting_tokens(&hub, MANY);
    let queries = [1, 2, 3].map(query);
    let (service, domain) = (ServiceName::from("s"), FailureDomain::from("a"));
    let hold = |query| {
        let urgency = urgency(1_000, 4_000_000);
        Box::pin(hub.place_queried(query, terms(urgency), service.clone(), domain.clone()))
    };
    let mut held: Vec<_> = queries.iter().map(hold).collect();
    for decision in &mut held {
        assert!(poll!(decision).is_pending());
    }
    hub.directory.write().replace(Vec::new(), 9, None);
    // The hub computes its forecast anew after 50 ms.
    tokio::time::sleep(Duration::from_millis(60)).await;
    hub.release_waiting();
    for decision in &mut held {
        assert!(poll!(decision).is_pending());
    }
}

/// Guards against requests that are held forever, and checked every few milliseconds.
#[tokio::test]
async fn a_request_is_released_if_a_configuration_removes_the_last_route_to_its_service() {
    let hub = gateway(ON);
    set_waiting_tokens(&hub, MANY);
    let query = query(1);
    let (service, domain) = (ServiceName::from("s"), FailureDomain::from("a"));
    let mut held =
        pin!(hub.place_queried(&query, terms(urgency(1_000, 4_000_000)), service, domain));
    assert!(poll!(held.as_mut()).is_pending());
    hub.apply_config(RoutingConfig {
        version: 2,
        routes: Vec::new(),
        ..config()
    });
    hub.release_waiting();
    let decision = tokio::time::timeout(Duration::from_secs(1), held).await;
    let decision = decision.expect("it is released");
    assert!(matches!(decision, HubDecision::Placed { .. }));
    assert!(!hub.release_waiting(), "none waits");
}

/// A request that is refused as not run has used nothing.
#[tokio::test]
async fn a_request_that_is_refused_for_room_gives_its_units_back() {
    let hub = gateway(ON);
    let account = AccountTerms {
        name: ClientAccount::from("t"),
        keys: vec!["k".into()],
        priority: None,
        // Almost nothing is gained while the test runs, so that its time does not matter.
        rate_per_s: 0.01,
        burst: 1_000.0,
        plain_cost: 1.0,
        counts_tokens: true,
    };
    hub.apply_config(RoutingConfig {
        version: 2,
        accounts: vec![account.clone()],
        services: vec![Service {
            name: "s".into(),
            max_connections: 100,
            engine: None,
            autoscaling: None,
        }],
        ..config()
    });
    set_waiting_tokens(&hub, MANY);
    let with_quota = |id| {
        let mut query = query(id);
        query.placement.tokens_in = Some(MANY);
        query.quota = Some(QuotaQuery {
            account: "t".into(),
            cost: 10.0,
            max_wait_ms: 0,
        });
        query
    };
    let (first, second) = (with_quota(1), with_quota(2));
    let mut held = pin!(hub.decide_query(&first, terms(urgency(1_000, 4_000_000))));
    assert!(poll!(held.as_mut()).is_pending());
    let level = || hub.quotas.lock().level(&account);
    let before = level();
    let decision = hub.decide_query(&second, terms(urgency(1_000, 100))).await;
    assert!(
        matches!(decision, HubDecision::NoRoom { .. }),
        "{decision:?}"
    );
    assert!(level() >= before, "{} of {before}", level());
}

#[tokio::test]
async fn a_hub_counts_the_work_before_slow_upstreams_by_their_speed() {
    let speed = "[first_guess]\nms_per_token = 0.1\nfirst_event_ms = 20.0\nstay_ms = 100.0\n";
    let hub = gateway(&format!("{speed}{ON}learned_speed = false\n"));
    // 100 ms at the usual speed, within the bound of 250 ms.
    set_waiting_tokens(&hub, 1_000);
    let urgency = urgency(1_000, 4_000_000);
    let usual = decide(&hub, &query(1), urgency).await;
    assert!(matches!(usual, Some(HubDecision::Placed { .. })));
    let slow = |n| KnownSpeed {
        upstream: UpstreamId::from(format!("u{n}").as_str()),
        factor: 4.0,
        weight: 9.0,
        age_ms: 0,
        scatter: None,
    };
    hub.apply_speeds("n3", &[0, 1, 2, 3].map(slow));
    assert!(hub.time_factor(&"u0".into()) > 2.5, "more than the bound");
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(decide(&hub, &query(2), urgency).await, None);
}

//! Decisions on routed requests: directory, routes, retries, placement, and streams.

use {
    http::HeaderMap,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    saddlepulley::{gateway::*, names::*, policy::*, routing::*, upstreams::*},
};

fn upstream(id: &str, offset: u64, draining: bool) -> Upstream {
    Upstream {
        id: UpstreamId::from(id),
        service: ServiceName::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: FailureDomain::from("z"),
        slots: 4,
        draining,
        version: Default::default(),
        reclaimable: false,
        offset,
    }
}

#[test]
fn draining_is_final_and_outdated_entries_do_not_restore_upstreams() {
    let mut directory = UpstreamDirectory::default();
    let id = UpstreamId::from("b");
    directory.upsert(upstream("b", 1, false));
    directory.upsert(upstream("b", 3, true));
    directory.upsert(upstream("b", 2, false));
    directory.upsert(upstream("b", 4, false));
    assert!(!directory.is_ready(&id));
    directory.remove("b", 5);
    directory.read_to(6);
    directory.upsert(upstream("b", 4, false));
    assert!(directory.get(&id).is_none(), "an outdated entry");
    directory.upsert(upstream("b", 6, false));
    assert!(
        !directory.is_ready(&id),
        "a later entry, but the upstream was leaving"
    );
    directory.upsert(upstream("c", 7, false));
    let id = UpstreamId::from("c");
    directory.remove("c", 7);
    assert!(directory.is_ready(&id), "an outdated removal");
    directory.remove("c", 8);
    directory.read_to(9);
    directory.upsert(upstream("c", 7, false));
    assert!(directory.get(&id).is_none(), "an outdated entry");
    directory.upsert(upstream("c", 9, false));
    assert!(directory.is_ready(&id), "only the entry was removed");
}

#[test]
fn draining_in_an_outdated_entry_still_counts() {
    let mut directory = UpstreamDirectory::default();
    directory.upsert(upstream("b", 9, false));
    directory.upsert(upstream("b", 8, true));
    assert!(!directory.is_ready(&UpstreamId::from("b")));
}

#[test]
fn a_full_listing_removes_upstreams_that_it_lacks() {
    let mut directory = UpstreamDirectory::default();
    directory.upsert(upstream("a", 1, false));
    directory.upsert(upstream("b", 2, false));
    directory.replace(vec![upstream("b", 3, false)], 4, None);
    let ready: Vec<_> = directory
        .ready(&ServiceName::from("s"))
        .map(|b| b.id.clone())
        .collect();
    assert_eq!(ready, [UpstreamId::from("b")]);
}

#[test]
fn a_daemons_own_file_can_remove_upstreams_and_restore_them() {
    let mut directory = UpstreamDirectory::default();
    let id = UpstreamId::from("a");
    directory.replace_own(vec![upstream("a", 0, false), upstream("b", 0, false)]);
    directory.replace_own(vec![upstream("b", 0, false)]);
    assert!(directory.get(&id).is_none());
    directory.replace_own(vec![upstream("a", 0, false)]);
    assert!(directory.is_ready(&id));
    // Upstreams from another daemon's file are ignored by a daemon with a source of its own.
    let mut other = UpstreamDirectory::default();
    other.replace_own(vec![upstream("c", 0, false)]);
    directory.apply(other.changes_since(None));
    assert!(directory.is_ready(&id));
    assert!(directory.get(&UpstreamId::from("c")).is_none());
    // A daemon without a source applies them.
    let mut sourceless = UpstreamDirectory::default();
    sourceless.apply(other.changes_since(None));
    assert!(sourceless.is_ready(&UpstreamId::from("c")));
    other.replace_own(Vec::new());
    sourceless.apply(other.changes_since(None));
    assert!(!sourceless.is_ready(&UpstreamId::from("c")));
}

fn route(host: &str, prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind,
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
        event_gap_ms: Some(500),
    }
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_chosen() {
    let config = RoutingConfig {
        version: 1,
        routes: vec![
            route("h", "/a/", RouteKind::Idempotent),
            route("h", "/a/b/", RouteKind::NonIdempotent),
            route("other", "/a/b/c/", RouteKind::Streaming),
        ],
        ..RoutingConfig::default()
    };
    let table = RouteTable::new(config);
    let found = |path| table.find_route("h", path).map(|r| r.path_prefix.as_str());
    assert_eq!(found("/a/b/c/1"), Some("/a/b/"));
    assert_eq!(found("/a/x"), Some("/a/"));
    assert_eq!(found("/b/"), None);
    let with_port = table.find_route("H:8080", "/a/x");
    assert!(
        with_port.is_some(),
        "host names are case-insensitive, and ports are ignored"
    );
}

#[test]
fn services_are_picked_by_weight() {
    let mut split = route("h", "/", RouteKind::Idempotent);
    split.services = [("a", 90), ("b", 10)]
        .map(|(name, weight)| WeightedService {
            service: ServiceName::from(name),
            weight,
        })
        .into();
    let to_b = (0..1_000).filter(|n| split.pick_service(*n).unwrap().as_str() == "b");
    assert_eq!(to_b.count(), 100);
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_repeatable() {
    let situation = RetrySituation {
        may_have_run: true,
        repeatable: false,
        sends: 1,
        max_sends: 2,
        tried: 1,
        time_left_ms: 500,
    };
    assert!(!situation.allows_another());
    let repeatable = RetrySituation {
        repeatable: true,
        ..situation
    };
    assert!(repeatable.allows_another());
    let refused = RetrySituation {
        may_have_run: false,
        ..situation
    };
    assert!(refused.allows_another());
    let sent_enough = RetrySituation {
        sends: 2,
        ..refused
    };
    assert!(!sent_enough.allows_another());
}

#[test]
fn retries_of_all_daemons_stay_within_the_budget() {
    // Eight daemons during an outage: each retries every request as often as its allowance permits.
    let (ratio, slack, daemons) = (0.2, 52.0, 8);
    let mut retries = 0;
    let requests = 400;
    for _ in 0..daemons {
        let mut allowance = RetryAllowance::new(ratio, slack / f64::from(daemons));
        for _ in 0..requests / daemons {
            allowance.earn();
            retries += u32::from(allowance.spend(0.0));
        }
    }
    assert!(
        f64::from(retries) <= f64::from(requests) * ratio + slack,
        "{retries}"
    );
    assert!(retries >= 60, "the budget is used: {retries}");
}

fn candidate() -> Candidate {
    Candidate {
        tried: false,
        avoided: false,
        waiting_tokens: 0,
        unread_tokens: 0,
        active: 0,
        slots: 8,
        failure_rate: 0.0,
        same_domain: true,
        time_factor: 1.0,
        memory: MemoryUse::default(),
    }
}

fn choose(candidates: &[Candidate]) -> Option<usize> {
    let times = EngineTimes {
        ms_per_token: 1.0 / 30.0,
        first_event_ms: 100.0,
        stay_ms: 1_000.0,
    };
    choose_upstream(candidates, &times, 500.0, &mut ChaCha8Rng::seed_from_u64(1))
}

#[test]
fn an_upstream_that_caches_the_prompt_is_chosen_unless_it_is_busy() {
    let home = Candidate {
        unread_tokens: 300,
        ..candidate()
    };
    let other = Candidate {
        unread_tokens: 9_000,
        ..candidate()
    };
    assert_eq!(choose(&[other, home]), Some(1));
    let busy_home = Candidate {
        waiting_tokens: 30_000,
        ..home
    };
    assert_eq!(choose(&[other, busy_home]), Some(0));
}

#[test]
fn an_avoided_upstream_is_chosen_only_if_there_is_no_other() {
    let avoided = Candidate {
        avoided: true,
        ..candidate()
    };
    let slow = Candidate {
        waiting_tokens: 90_000,
        ..candidate()
    };
    assert_eq!(choose(&[avoided, slow]), Some(1));
    assert_eq!(choose(&[avoided]), Some(0));
    assert_eq!(choose(&[]), None);
}

#[test]
fn an_upstream_that_fails_requests_gets_fewer() {
    let mut load = UpstreamLoad::default();
    for _ in 0..10 {
        load.record_outcome(true, 100);
    }
    assert!(load.failure_rate(100) > 0.8);
    assert!(
        load.failure_rate(20_000) < 0.05,
        "past failures lose their weight"
    );
    let failing = Candidate {
        failure_rate: load.failure_rate(100),
        ..candidate()
    };
    assert_eq!(choose(&[failing, candidate()]), Some(1));
}

#[test]
fn an_unreachable_upstream_is_avoided_and_then_gets_one_request_at_a_time() {
    let mut load = UpstreamLoad::default();
    load.record_unreachable(1_000);
    assert!(load.is_avoided(1_100));
    assert!(!load.is_avoided(1_500));
    load.active = 1;
    assert!(load.is_avoided(1_500));
    load.record_progress(1_600);
    assert!(!load.is_avoided(1_600));
}

#[test]
fn a_stream_counts_as_stalled_if_its_upstream_is_silent_to_all_requests() {
    let limits = StallLimits::of(&route("h", "/", RouteKind::Streaming), true);
    assert!(limits.is_stalled(800, 800));
    assert!(
        !limits.is_stalled(800, 100),
        "the upstream answers other requests"
    );
    assert!(
        limits.is_stalled(2_500, 0),
        "it has not answered this request for too long"
    );
}

#[test]
fn only_the_leading_cached_parts_of_a_prompt_count() {
    let names = HeaderNames::default();
    let mut headers = HeaderMap::new();
    headers.insert(&names.token_count, "1460,80".parse().unwrap());
    headers.insert(
        &names.prompt_parts,
        "5c1e:800,91bd:410,e440:250".parse().unwrap(),
    );
    let prompt = Prompt::from_headers(&headers, &names);
    assert_eq!(prompt.tokens(), Some(1_540));
    assert_eq!(prompt.unread_tokens(0), 1_460);
    assert_eq!(prompt.unread_tokens(1), 660);
    let [first, second] = [0, 1].map(|n| prompt.parts[n].chain);
    assert_eq!(prompt.shared_chain(), Some(second));
    let mut caches = PrefixCacheTracker::default();
    let cached = |caches: &PrefixCacheTracker, upstream: &str, now_ms| {
        let parts = prompt.parts.iter().map(|p| p.chain);
        let cached = caches.likely_cached_parts(parts, now_ms);
        cached.get(&UpstreamId::from(upstream)).copied()
    };
    caches.record(&UpstreamId::from("u1"), [first].into_iter(), 0);
    caches.record(&UpstreamId::from("u2"), [second].into_iter(), 0);
    caches.record(&UpstreamId::from("u3"), [first, second].into_iter(), 0);
    assert_eq!(cached(&caches, "u1", 10), Some(1));
    assert_eq!(
        cached(&caches, "u2", 10),
        None,
        "the part before it is missing"
    );
    assert_eq!(cached(&caches, "u3", 10), Some(2));
    assert_eq!(cached(&caches, "u3", 20_000), None, "recorded too long ago");
    caches.retain(|id| id.as_str() == "u1", 10);
    assert_eq!(cached(&caches, "u3", 10), None, "the upstream was removed");
    assert_eq!(cached(&caches, "u1", 10), Some(1));
}

#[test]
fn the_share_of_the_retry_budget_shrinks_as_daemons_become_known() {
    let mut allowance = RetryAllowance::new(0.2, 6.0);
    allowance.set_share(2.0);
    let spent = (0..10).filter(|_| allowance.spend(0.0)).count();
    assert_eq!(spent, 2);
}

#[test]
fn a_domain_with_several_unreachable_upstreams_is_avoided() {
    let mut reach = DomainReach::default();
    let domain = FailureDomain::from("far");
    let id = |n: u32| UpstreamId::from(n.to_string().as_str());
    for _ in 0..5 {
        reach.record_unreachable(&domain, &id(0), 100);
    }
    assert!(
        !reach.is_avoided(&domain, 100),
        "a single upstream may have failed"
    );
    reach.record_unreachable(&domain, &id(1), 200);
    reach.record_unreachable(&domain, &id(2), 300);
    assert!(reach.is_avoided(&domain, 400));
    assert!(!reach.is_avoided(&domain, 900), "retried after a pause");
    reach.record_unreachable(&domain, &id(3), 900);
    assert!(reach.is_avoided(&domain, 1_700), "the pause is longer now");
    reach.record_reached(&domain);
    assert!(!reach.is_avoided(&domain, 1_700));
}

//! The distribution of requests over failure domains by a daemon's state: with the mechanism on and off,
//! homes, announced room and unreachable domains.

use {
    crate::support,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    saddlepulley::{
        cluster::*,
        gateway::{Gateway, PlacementRequest, Prompt, PromptPart},
        names::{FailureDomain, ServiceName, UpstreamId},
        policy::*,
        routing::*,
        upstreams::Upstream,
    },
    std::{thread, time::Duration},
};

const MECHANISMS: &str = "[mechanisms]\nlearned_speed = false\n";
const ON: &str = "domain_balance = true\n";
const OFF: &str = "";
const SEED: u64 = 7;
const UPSTREAMS: usize = 9;
const SLOTS: u32 = 8;
const TARGET_MS: f64 = 1_000.0;
/// More tokens than an upstream reads within the target latency.
const MANY: u64 = 1_000_000;
/// Longer than a hub waits before it sends requests to other failure domains.
const SETTLED: Duration = Duration::from_millis(600);

fn id(index: usize) -> UpstreamId {
    UpstreamId::from(format!("i-{index}").as_str())
}

fn domain_of(index: usize) -> &'static str {
    ["a", "b", "c"][index / 3]
}

fn service() -> ServiceName {
    ServiceName::from("s")
}

fn upstream(index: usize) -> Upstream {
    Upstream {
        id: id(index),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::from(domain_of(index)),
        slots: SLOTS,
        draining: false,
        version: Default::default(),
        reclaimable: true,
        offset: 1,
    }
}

/// A hub of domain `a` that knows three upstreams in each of three domains.
fn gateway(extra_settings: &str) -> Gateway {
    let gateway = support::gateway(&format!("{MECHANISMS}{extra_settings}"));
    for index in 0..UPSTREAMS {
        gateway.directory.write().upsert(upstream(index));
    }
    gateway.tick_peers();
    gateway
}

/// Returns such a hub once it sends requests to other failure domains.
fn settled(extra_settings: &str) -> Gateway {
    let gateway = gateway(extra_settings);
    thread::sleep(SETTLED);
    gateway
}

fn rooms(hub: &str, work_ms: f32) -> RoomsPart {
    RoomsPart {
        name: hub.into(),
        domain: hub[..1].into(),
        incarnation: 1,
        sequence: 1,
        interval_ms: 10_000,
        rooms: vec![AnnouncedRoom {
            service: "s".into(),
            work_ms,
            best_ms: 0.0,
        }],
    }
}

fn request(parts: &[u64]) -> PlacementRequest {
    let part = |chain: &u64| PromptPart {
        chain: *chain,
        tokens: 500,
    };
    PlacementRequest {
        service: service(),
        target_ms: TARGET_MS,
        prompt: Prompt {
            parts: parts.iter().map(part).collect(),
            tokens_in: Some(1_000),
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
    }
}

fn set_waiting(gateway: &Gateway, domain: &str, tokens: u64) {
    let mut loads = gateway.loads.lock();
    for index in (0..UPSTREAMS).filter(|index| domain_of(*index) == domain) {
        loads.entry(&id(index)).waiting_tokens = tokens;
    }
}

/// Returns how many of 60 requests go to each of the domains.
fn counts(gateway: &Gateway, parts: &[u64]) -> [usize; 3] {
    let mut counts = [0; 3];
    for _ in 0..60 {
        let placement = gateway.choose(&request(parts), "r").unwrap();
        let domain = placement.upstream.domain.as_str();
        counts[usize::from(domain.as_bytes()[0] - b'a')] += 1;
    }
    counts
}

/// Sets loads that differ in each round. Returns the upstreams that a daemon chooses, and those that the
/// least cost over all candidates selects with the same random numbers.
fn choices(gateway: &Gateway, rounds: u64) -> (Vec<UpstreamId>, Vec<UpstreamId>) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let (mut chosen, mut expected) = (Vec::new(), Vec::new());
    let ready = gateway.directory.read().ready_list(&service());
    for round in 0..rounds {
        let tokens = |index: usize| (round * 7 + index as u64 * 13) % 17 * 300;
        for index in 0..UPSTREAMS {
            gateway.loads.lock().entry(&id(index)).waiting_tokens = tokens(index);
        }
        let candidates: Vec<Candidate> = ready
            .upstreams
            .iter()
            .map(|u| {
                let index = (0..UPSTREAMS).find(|index| id(*index) == u.id).unwrap();
                Candidate {
                    tried: false,
                    avoided: false,
                    waiting_tokens: tokens(index),
                    unread_tokens: request(&[]).prompt.unread_tokens(0),
                    active: 0,
                    slots: SLOTS,
                    failure_rate: 0.0,
                    same_domain: domain_of(index) == "a",
                    time_factor: 1.0,
                    memory: MemoryUse::default(),
                }
            })
            .collect();
        let times = gateway.engine_times(&service());
        let least = choose_upstream(&candidates, &times, TARGET_MS, &mut rng).unwrap();
        expected.push(ready.upstreams[least].id.clone());
        chosen.push(
            gateway
                .choose(&request(&[]), "r")
                .unwrap()
                .upstream
                .id
                .clone(),
        );
    }
    (chosen, expected)
}

#[test]
fn with_the_switch_off_choices_are_as_before_with_the_same_random_numbers() {
    let off = settled(OFF);
    off.apply_rooms(&rooms("b1", 1.0e6));
    let (chosen, expected) = choices(&off, 500);
    assert_eq!(chosen, expected);
    assert_eq!(off.rooms_to_announce(100), None);
}

#[test]
fn a_hub_that_has_just_started_chooses_as_before_and_announces_nothing() {
    let on = gateway(ON);
    on.apply_rooms(&rooms("b1", 1.0e6));
    let (chosen, expected) = choices(&on, 20);
    assert_eq!(chosen, expected);
    assert_eq!(on.rooms_to_announce(100), None);
}

#[test]
fn where_no_domain_is_known_to_be_in_time_choices_are_as_before() {
    let (on, off) = (settled(ON), settled(OFF));
    for gateway in [&on, &off] {
        set_waiting(gateway, "a", MANY);
        set_waiting(gateway, "b", MANY);
        set_waiting(gateway, "c", MANY);
        gateway.apply_rooms(&rooms("b1", 1.0e6));
    }
    for _ in 0..200 {
        let [with, without] = [&on, &off].map(|g| g.choose(&request(&[]), "r").unwrap());
        assert_eq!(with.upstream.id, without.upstream.id);
    }
}

#[test]
fn a_domain_keeps_what_it_serves_in_time() {
    let on = settled(ON);
    on.apply_rooms(&rooms("b1", 1.0e6));
    // Enough for least cost to prefer other domains.
    set_waiting(&on, "a", 200);
    assert_eq!(counts(&on, &[]), [60, 0, 0]);
    let off = settled(OFF);
    set_waiting(&off, "a", 200);
    assert!(counts(&off, &[])[0] < 60);
}

#[test]
fn a_domain_that_is_late_sends_to_the_one_whose_room_is_known() {
    let on = settled(ON);
    set_waiting(&on, "a", MANY);
    on.apply_rooms(&rooms("b1", 1.0e6));
    assert_eq!(counts(&on, &[]), [0, 60, 0]);
}

#[test]
fn a_shared_prompt_stays_at_its_home_while_that_is_in_time() {
    let on = settled(ON);
    on.apply_rooms(&rooms("b1", 1.0e6));
    let home_of = |chain: u64| {
        let parts = [chain, chain + 1_000];
        let at = counts(&on, &parts);
        (0..3).find(|domain| at[*domain] == 60)
    };
    let homes: Vec<_> = (0..20).map(home_of).collect();
    assert!(homes.iter().all(Option::is_some), "{homes:?}");
    let elsewhere = (0..20).find(|chain| homes[*chain as usize] == Some(2));
    let elsewhere = elsewhere.expect("some home is in another domain");
    set_waiting(&on, "c", MANY);
    assert_eq!(counts(&on, &[elsewhere, elsewhere + 1_000]), [60, 0, 0]);
}

#[test]
fn a_hub_that_places_for_another_domain_knows_the_room_of_its_own_from_its_neighbours() {
    let on = settled(ON);
    set_waiting(&on, "b", MANY);
    on.apply_rooms(&rooms("a1", 1.0e6));
    let mut of_b = request(&[]);
    of_b.domain = FailureDomain::from("b");
    for _ in 0..30 {
        let placement = on.choose(&of_b, "r").unwrap();
        assert_eq!(placement.upstream.domain.as_str(), "a");
    }
}

#[test]
fn nothing_is_sent_to_a_domain_out_of_reach() {
    let on = settled(ON);
    set_waiting(&on, "a", MANY);
    on.apply_rooms(&rooms("b1", 1.0e6));
    for index in 3..6 {
        on.record_unreachable(&upstream(index));
    }
    assert_eq!(counts(&on, &[])[1], 0);
}

#[test]
fn a_hub_announces_the_room_of_its_own_domain() {
    let on = settled(ON);
    assert!(
        on.rooms_to_announce(100).unwrap().rooms.is_empty(),
        "no route is known"
    );
    on.apply_config(config());
    let idle = on.rooms_to_announce(100).unwrap();
    assert_eq!((idle.domain.as_str(), idle.rooms.len()), ("a", 1));
    assert_eq!(
        idle.rooms[0].work_ms,
        3.0 * in_time_bound_ms(TARGET_MS) as f32
    );
    set_waiting(&on, "b", MANY);
    let same = on.rooms_to_announce(100).unwrap();
    assert_eq!(same.rooms, idle.rooms, "other domains don't count");
    set_waiting(&on, "a", MANY);
    let full = on.rooms_to_announce(100).unwrap();
    assert_eq!(full.rooms[0].work_ms, 0.0);
    assert!(full.sequence > idle.sequence);
}

#[test]
fn numbers_that_cannot_be_true_are_left_out() {
    for (work_ms, best_ms) in [(f32::NAN, 0.0), (-1.0, 0.0), (1.0, f32::INFINITY)] {
        let mut part = rooms("b1", work_ms);
        part.rooms[0].best_ms = best_ms;
        assert!(part.to_figures().rooms.is_empty());
    }
}

#[test]
fn an_announcement_holds_only_so_many_services_and_fits_into_a_datagram() {
    let room = |n: usize| DomainRoom {
        service: ServiceName::from(format!("a-service-with-a-long-name-{n:03}").as_str()),
        work_ms: n as f64,
        best_ms: 0.0,
    };
    let part = RoomsPart::of(&RoomFigures {
        hub: "hub".into(),
        domain: FailureDomain::from("a"),
        incarnation: u64::MAX,
        sequence: u64::MAX,
        interval_ms: 100,
        rooms: (0..200).map(room).collect(),
    });
    assert_eq!(part.rooms.len(), 16);
    assert_eq!(part.rooms[0].work_ms, 199.0, "those with the most room");
    let bytes = Packet::from(Extension::Rooms(part)).encode().unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(Packet::decode(&bytes).unwrap().extensions.len(), 1);
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
            target_latency_ms: TARGET_MS as u64,
            priority: 0,
            services: vec![WeightedService {
                service: service(),
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

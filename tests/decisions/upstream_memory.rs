//! Memory of upstreams: what running requests hold, how daemons announce it, and its effect on
//! placement.

use {
    crate::cluster_support::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{
        cluster::*,
        conf::GatewaySettings,
        gateway::{Gateway, HeaderNames, PlacementRequest, Prompt},
        names::{FailureDomain, ServiceName, UpstreamId},
        policy::*,
        routing::*,
        upstreams::Upstream,
    },
};

const TIMES: EngineTimes = EngineTimes {
    ms_per_token: 0.005,
    first_event_ms: 20.0,
    stay_ms: 1_000.0,
};
const TARGET_MS: f64 = 1_000.0;
/// Memory of an upstream: three of the long prompts fit into it.
const MEMORY_TOKENS: u64 = 200_000;
const TOKENS_OUT: u64 = 500;

fn candidate(memory: MemoryUse) -> Candidate {
    Candidate {
        tried: false,
        avoided: false,
        waiting_tokens: 0,
        unread_tokens: memory.added,
        active: 3,
        slots: 64,
        failure_rate: 0.0,
        same_domain: true,
        time_factor: 1.0,
        memory,
    }
}

#[derive(Clone, Copy)]
struct Running {
    upstream: usize,
    tokens: u64,
    read_ms: f64,
    end_ms: f64,
}

/// Simulates long prompts among short ones at upstreams with little memory. Returns how many requests
/// exceeded the memory of their upstream while another one had enough left.
fn preemptions(counts_memory: bool, seed: u64) -> usize {
    const UPSTREAMS: usize = 6;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut running: Vec<Running> = Vec::new();
    let mut preemptions = 0;
    for step in 0..2_000 {
        let now_ms = f64::from(step) * 50.0;
        running.retain(|r| r.end_ms > now_ms);
        let is_long = rng.random_bool(0.2);
        let prompt = if is_long { 60_000 } else { 2_000 };
        let stay_ms = if is_long { 3_000.0 } else { 500.0 };
        let memory = |index: usize| {
            let here = running.iter().filter(|r| r.upstream == index);
            MemoryUse {
                capacity: MEMORY_TOKENS,
                held: here.map(|r| r.tokens).sum(),
                added: prompt + TOKENS_OUT,
            }
        };
        let candidates: Vec<Candidate> = (0..UPSTREAMS)
            .map(|index| {
                let here = running.iter().filter(|r| r.upstream == index);
                let unread = here.clone().filter(|r| r.read_ms > now_ms);
                Candidate {
                    waiting_tokens: unread.map(|r| r.tokens).sum(),
                    unread_tokens: prompt,
                    active: here.count() as u32,
                    memory: match counts_memory {
                        true => memory(index),
                        false => MemoryUse::default(),
                    },
                    ..candidate(MemoryUse::default())
                }
            })
            .collect();
        let chosen = choose_upstream(&candidates, &TIMES, TARGET_MS, &mut rng).unwrap();
        let has_room = |index| memory(index).excess() == 0;
        preemptions += usize::from(!has_room(chosen) && (0..UPSTREAMS).any(has_room));
        let waiting = candidates[chosen].waiting_tokens + prompt;
        running.push(Running {
            upstream: chosen,
            tokens: prompt + TOKENS_OUT,
            read_ms: now_ms + waiting as f64 * TIMES.ms_per_token,
            end_ms: now_ms + stay_ms,
        });
    }
    preemptions
}

/// Guards against placing by slots and tokens to read alone: a few long prompts fill an upstream's
/// memory long before its slots, and running requests are preempted while others have room.
#[test]
fn long_prompts_don_t_exceed_a_memory_while_another_has_room() {
    for seed in 0..4 {
        assert!(preemptions(false, seed) > 0, "the load fills memories");
        assert_eq!(preemptions(true, seed), 0, "seed {seed}");
    }
}

/// A request that exceeds the memory of every upstream goes to one that answers it in time.
#[test]
fn an_upstream_without_room_is_better_than_one_that_is_late() {
    let full = MemoryUse {
        capacity: MEMORY_TOKENS,
        held: MEMORY_TOKENS,
        added: 1_000,
    };
    let free = MemoryUse { held: 0, ..full };
    let late = Candidate {
        waiting_tokens: 900_000,
        ..candidate(free)
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut choose = |candidates: &[Candidate]| {
        choose_upstream(candidates, &TIMES, TARGET_MS, &mut rng).unwrap()
    };
    assert_eq!(choose(&[candidate(full), candidate(free)]), 1);
    assert_eq!(choose(&[candidate(full), late]), 0);
    assert!(candidate(full).first_event_ms(&TIMES) > candidate(free).first_event_ms(&TIMES));
}

#[test]
fn without_a_known_memory_choices_are_as_before() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for seed in 0..300 {
        let candidates: Vec<Candidate> = (0..20)
            .map(|_| Candidate {
                waiting_tokens: rng.random_range(0..30_000),
                active: rng.random_range(0..80),
                time_factor: rng.random_range(0.5..2.0),
                ..candidate(MemoryUse {
                    capacity: 0,
                    held: rng.random_range(0..1_000_000),
                    added: 5_000,
                })
            })
            .collect();
        let before = candidates.iter().map(|c| Candidate {
            memory: MemoryUse::default(),
            ..*c
        });
        let before: Vec<Candidate> = before.collect();
        let choose = |candidates: &[Candidate]| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            choose_upstream(candidates, &TIMES, TARGET_MS, &mut rng)
        };
        assert_eq!(choose(&candidates), choose(&before));
    }
}

fn held_part(tokens: &[Option<u32>]) -> HeldPart {
    HeldPart {
        tokens: tokens.to_vec(),
    }
}

fn held_at(peers: &PeerTable, upstream: &str) -> Option<HeldTokens> {
    let mut found = None;
    peers.each_held(|id, held| {
        if *id == UpstreamId::from(upstream) {
            found = Some(held);
        }
    });
    found
}

fn held(requests: u32, tokens: Option<u64>) -> HeldTokens {
    let mut held = HeldTokens::default();
    held.add(requests, tokens);
    held
}

fn peers_with_hub() -> PeerTable {
    let mut peers = PeerTable::new(entry("own", "a", 1));
    assert!(peers.apply_digest(digest_of("n", 1), 1_000));
    peers
}

#[test]
fn held_tokens_follow_their_loads_and_end_with_their_hub() {
    let mut peers = peers_with_hub();
    let parts = [
        loads_part(1, 0, 2, &["u1", "u2"]),
        loads_part(1, 1, 2, &["u3"]),
    ];
    peers.apply_held(&parts[0], held_part(&[Some(9_000), None]));
    for part in &parts {
        assert!(peers.apply_loads(part, 1_000));
    }
    assert_eq!(held_at(&peers, "u1"), Some(held(30, Some(9_000))));
    assert_eq!(held_at(&peers, "u2"), Some(held(30, None)));
    assert_eq!(held_at(&peers, "u3"), Some(held(30, None)), "not told");
    // A new incarnation is another upstream, whose memory is empty.
    assert_eq!(held_at(&peers, "u1~2"), None);
    let newer = loads_part(2, 0, 1, &["u1"]);
    peers.apply_held(&newer, held_part(&[Some(70)]));
    assert_eq!(held_at(&peers, "u1"), Some(held(30, Some(9_000))));
    peers.apply_loads(&newer, 1_100);
    assert_eq!(held_at(&peers, "u1"), Some(held(30, Some(70))));
    assert_eq!(held_at(&peers, "u2"), None);
    peers.tick(1, 2_100);
    assert_eq!(held_at(&peers, "u1"), None, "the hub has ended");
}

/// Earlier builds announce no tokens. Their requests count as much as the others on average.
#[test]
fn tokens_that_are_not_told_are_estimated_from_requests() {
    let mut all = held(3, Some(30_000));
    all.merge(held(2, None));
    let per_request = all.per_request().unwrap();
    assert_eq!(all.tokens(per_request), 50_000);
    assert_eq!(held(2, None).per_request(), None);
    assert_eq!(held(2, None).tokens(4_000.0), 8_000);
}

#[test]
fn earlier_builds_read_loads_with_held_tokens() {
    let loads = Datagram::Loads(loads_part(1, 0, 1, &["u1", "u2"]));
    let told = Extension::Held(held_part(&[Some(9_000), None]));
    let packet = Packet::from(loads.clone()).with(told);
    let bytes = packet.encode().unwrap();
    assert_eq!(Packet::decode(&bytes).unwrap(), packet);
    assert!(bytes.starts_with(&loads.encode().unwrap()));
}

/// Returns the upstream that a daemon chooses for a long prompt. Running requests hold most of the memory
/// of `u0`; at `u1`, a prompt waits.
fn chosen_beside_a_full_one(memory_tokens: u64, extra_settings: &str) -> String {
    let settings = "[node]\nname = \"n\"\nzone = \"a\"\n[listen]\nclients = \"127.0.0.1:1\"\n\
                    readiness = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n[source]\n\
                    kind = \"file\"\npath = \"-\"\n";
    let settings = format!("{settings}{extra_settings}");
    let settings = GatewaySettings::parse("settings", &settings).unwrap();
    let gateway = Gateway::new(settings, HeaderNames::default(), 7);
    let service = ServiceName::from("s");
    let engine = EngineCapacity {
        slots: 8,
        memory_tokens,
    };
    gateway.apply_config(RoutingConfig {
        version: 1,
        services: vec![Service {
            name: service.clone(),
            max_connections: 8,
            engine: Some(engine),
            autoscaling: None,
        }],
        ..RoutingConfig::default()
    });
    for name in ["u0", "u1"] {
        gateway.directory.write().upsert(Upstream {
            id: UpstreamId::from(name),
            service: service.clone(),
            address: "127.0.0.1:80".parse().unwrap(),
            domain: FailureDomain::from("a"),
            slots: 8,
            draining: false,
            version: Default::default(),
            reclaimable: false,
            offset: 1,
        });
    }
    let mut loads = gateway.loads.lock();
    let full = loads.entry(&UpstreamId::from("u0"));
    (full.active, full.held_tokens) = (2, 190_000);
    loads.entry(&UpstreamId::from("u1")).waiting_tokens = 3_000;
    drop(loads);
    let request = PlacementRequest {
        service,
        target_ms: TARGET_MS,
        prompt: Prompt {
            parts: Vec::new(),
            tokens_in: Some(20_000),
            tokens_out: TOKENS_OUT,
        },
        tried: Vec::new(),
        avoided: Vec::new(),
        in_cooldown: Vec::new(),
        domain: FailureDomain::from("a"),
        isolation_key: None,
        urgency: None,
        version: None,
        is_counted: false,
    };
    let placement = gateway.choose(&request, "r").unwrap();
    placement.upstream.id.to_string()
}

#[test]
fn a_daemon_counts_memory_where_the_configuration_names_it() {
    const OFF: &str = "[mechanisms]\nupstream_memory = false\n";
    assert_eq!(chosen_beside_a_full_one(MEMORY_TOKENS, ""), "u1");
    assert_eq!(chosen_beside_a_full_one(0, ""), "u0", "unknown");
    assert_eq!(chosen_beside_a_full_one(MEMORY_TOKENS, OFF), "u0", "off");
}

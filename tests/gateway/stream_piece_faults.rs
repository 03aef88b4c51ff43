//! Garbage before a daemon has learned the ids of a service.

use {
    crate::{scripted_upstream::*, support::*},
    std::fmt::Write,
};

/// Returns what a client of a daemon that has just started gets, if the first upstream writes `first`.
async fn fetch_from_new_daemon(first: Script) -> Response {
    let scripts = Scripts::new(first, Script::sound());
    let upstreams = [
        ScriptedUpstream::start(scripts.clone()).await,
        ScriptedUpstream::start(scripts).await,
    ];
    let mut routes = routes_file(1, &[&STREAM], &[]);
    for (n, upstream) in upstreams.iter().enumerate() {
        let _ = write!(
            routes,
            "[[upstreams]]\nid = \"u{n}\"\nservice = \"s\"\naddress = \"{}\"\nzone = \"a\"\nslots = 64\n",
            upstream.address
        );
    }
    let daemon = GatewayDaemon::start(&routes).await;
    let mut client = daemon.client().await;
    client.fetch("a1", "/stream/resume/x", "").await
}

/// Writes the events before `at`, an event with the id `id` that no run made, and the events from `next` on.
fn garbage_before(at: u64, id: u64, next: u64) -> Script {
    Script::new(move |_| {
        let garbage = format!("id: {id}\ndata: garbage\n\n").into_bytes();
        let before = (1..at).map(event).chain([garbage]);
        before.chain((next..=EVENTS).map(event)).collect()
    })
}

fn all_events() -> String {
    let events: Vec<u8> = (1..=EVENTS).flat_map(event).collect();
    String::from_utf8(events).unwrap()
}

/// Guards against garbage as the second event, by which a stream would skip the events up to it.
#[tokio::test]
async fn a_second_event_ahead_is_left_out_by_a_new_daemon() {
    let answer = fetch_from_new_daemon(garbage_before(2, 7, 2)).await;
    assert!(!answer.body.contains("garbage"), "{answer:?}");
    assert_eq!(answer.body, all_events());
}

/// Guards against garbage as the first event.
#[tokio::test]
async fn a_first_event_ahead_is_left_out_by_a_new_daemon() {
    let answer = fetch_from_new_daemon(garbage_before(1, 4, 1)).await;
    assert!(!answer.body.contains("garbage"), "{answer:?}");
    assert_eq!(answer.body, all_events());
}

/// Guards against garbage that lies ahead and ends an answer well.
#[tokio::test]
async fn a_last_event_ahead_does_not_end_a_stream_of_a_new_daemon() {
    let answer = fetch_from_new_daemon(garbage_before(6, 11, EVENTS + 1)).await;
    assert!(!answer.body.contains("garbage"), "{answer:?}");
}

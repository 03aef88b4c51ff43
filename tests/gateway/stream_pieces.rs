//! What upstreams write between, before and after the events of a stream: clients get the events of one run and
//! nothing else, and sound streams reach them byte for byte, however they are written.

use {
    crate::{scripted_upstream::*, support::*},
    futures_util::future::join_all,
    http::StatusCode,
    std::{fmt::Write, sync::Arc, time::Duration},
};

/// Streams by which a daemon learns the ids of a service.
const LEARNED_FROM: usize = 20;
/// The event in whose place garbage stands.
const AT: u64 = 6;

struct World {
    daemon: GatewayDaemon,
    _upstreams: [ScriptedUpstream; 2],
}

impl World {
    async fn start(first: Script, later: Script) -> Self {
        let scripts = Scripts::new(first, later);
        let upstreams = [
            ScriptedUpstream::start(scripts.clone()).await,
            ScriptedUpstream::start(scripts).await,
        ];
        let mut routes = routes_file(1, &[&STREAM, &STREAM_ONCE], &[]);
        for (n, upstream) in upstreams.iter().enumerate() {
            let _ = write!(
                routes,
                "[[upstreams]]\nid = \"u{n}\"\nservice = \"s\"\naddress = \"{}\"\nzone = \"a\"\nslots = 64\n",
                upstream.address
            );
        }
        let daemon = GatewayDaemon::start(&routes).await;
        Self {
            daemon,
            _upstreams: upstreams,
        }
    }

    async fn learn(&self) {
        let fetches = (0..LEARNED_FROM).map(async |n| {
            let attempt = format!("{SOUND}-{n}");
            let answer = self.fetch(&attempt, "/stream/resume/x").await;
            assert!(answer.complete, "{answer:?}");
        });
        join_all(fetches).await;
    }

    async fn fetch(&self, attempt: &str, path: &str) -> Response {
        self.daemon.client().await.fetch(attempt, path, "").await
    }

    async fn faults(&self, kind: &str) -> f64 {
        let line = format!("saddlepulley_stream_faults_total{{kind=\"{kind}\"}}");
        metric(&self.daemon, &line).await
    }
}

/// The events 1 to `EVENTS`, with `garbage` in front of the event `AT`.
fn garbage_at(garbage: impl Into<Vec<u8>>) -> Script {
    garbage_before(AT, garbage)
}

fn garbage_before(at: u64, garbage: impl Into<Vec<u8>>) -> Script {
    let garbage: Arc<[u8]> = garbage.into().into();
    Script::new(move |after| {
        let mut chunks: Vec<Vec<u8>> = (after + 1..=EVENTS).map(event).collect();
        chunks.insert((at - 1 - after) as usize, garbage.to_vec());
        chunks
    })
}

/// All in one chunk.
fn in_one_chunk(script: Script) -> Script {
    let chunks = script.chunks;
    Script::new(move |after| vec![chunks(after).concat()])
}

fn a_byte_at_a_time(script: Script) -> Script {
    let chunks = script.chunks;
    let mut script = Script::new(move |after| {
        chunks(after)
            .concat()
            .chunks(1)
            .map(<[u8]>::to_vec)
            .collect()
    });
    script.pause = Duration::from_micros(200);
    script
}

/// Bytes that are no text, with empty lines among them.
const RANDOM: &[u8] = b"\xff\x00\x9c garbage\n\n\xc3\x28\x01\n\n";

/// An answer with garbage.
struct Garbage {
    name: &'static str,
    /// The kind of fault that it is counted as.
    kind: &'static str,
    /// Number of events in front of it.
    good: u64,
    script: Script,
}

fn garbage() -> Vec<Garbage> {
    let list = forms_of_garbage();
    let garbage = list.into_iter().map(|(name, kind, good, script)| Garbage {
        name,
        kind,
        good,
        script,
    });
    garbage.collect()
}

fn forms_of_garbage() -> Vec<(&'static str, &'static str, u64, Script)> {
    let piece = |id: &str| format!("id: {id}\ndata: garbage\n\n");
    let last = AT - 1;
    let good = |n: u64| String::from_utf8(event(n)).unwrap();
    let mut list = vec![
        ("no id", "no-id", last, garbage_at("data: garbage\n\n")),
        ("random bytes", "bad-line", last, garbage_at(RANDOM)),
        (
            "a line without a colon",
            "bad-line",
            last,
            garbage_at("garbage\n\n"),
        ),
        (
            "a field that is no part of an event",
            "no-id",
            last,
            garbage_at("garbage: x\n\n"),
        ),
        (
            "a type without data",
            "no-id",
            last,
            garbage_at("event: garbage\n\n"),
        ),
        ("an empty id", "bad-id", last, garbage_at(piece(""))),
        (
            "no value of the id",
            "bad-id",
            last,
            garbage_at("id\ndata: garbage\n\n"),
        ),
        ("letters", "bad-id", last, garbage_at(piece("zz"))),
        ("a negative id", "bad-id", last, garbage_at(piece("-1"))),
        (
            "a sign",
            "bad-id",
            last,
            garbage_at(piece(&format!("+{AT}"))),
        ),
        (
            "an id of more than 64 bits",
            "bad-id",
            last,
            garbage_at(piece("18446744073709551616")),
        ),
        ("an id with NUL", "bad-id", last, garbage_at(piece("6\0"))),
        (
            "an id five ahead",
            "not-due",
            last,
            garbage_at(piece(&format!("{}", AT + 5))),
        ),
        (
            "the largest id",
            "not-due",
            last,
            garbage_at(piece("18446744073709551615")),
        ),
        (
            "the last id again",
            "not-rising",
            last,
            garbage_at(piece(&format!("{last}"))),
        ),
        ("an earlier id", "not-rising", last, garbage_at(piece("2"))),
        (
            "two ids",
            "second-id",
            last,
            garbage_at(format!("id: {last}\nid: {AT}\ndata: garbage\n\n")),
        ),
        (
            "an id without data",
            "no-data",
            last,
            garbage_at(format!("id: {AT}\n\n")),
        ),
        (
            "an id, then no field",
            "bad-line",
            last,
            garbage_at(format!("id: {AT}\n\x01\x02garbage\n\n")),
        ),
        (
            "before an event, without an empty line",
            "bad-line",
            last,
            garbage_at("garbage\n"),
        ),
        (
            "another case of the field's name",
            "no-id",
            last,
            garbage_at(format!("ID: {AT}\ndata: garbage\n\n")),
        ),
        (
            "ended by CR LF",
            "no-id",
            last,
            garbage_at("data: garbage\r\n\r\n"),
        ),
        (
            "ended by CR",
            "no-id",
            last,
            garbage_at("data: garbage\r\r"),
        ),
        (
            "in one chunk",
            "no-id",
            last,
            in_one_chunk(garbage_at("data: garbage\n\n")),
        ),
        (
            "a byte at a time",
            "no-id",
            last,
            a_byte_at_a_time(garbage_at("data: garbage\n\n")),
        ),
        (
            "before the first event",
            "no-id",
            0,
            garbage_before(1, "data: garbage\n\n"),
        ),
        (
            "another first id",
            "not-due",
            0,
            garbage_before(1, piece("4")),
        ),
        (
            "after the last event",
            "no-id",
            EVENTS,
            garbage_before(EVENTS + 1, "data: garbage\n\n"),
        ),
        (
            "a further event",
            "no-id",
            EVENTS,
            garbage_before(EVENTS + 1, "data: [DONE]\n\n"),
        ),
    ];
    let gap = format!("{}{}", good(AT), good(AT + 2));
    list.push((
        "a missing event in one chunk",
        "not-due",
        AT,
        Script::new(move |_| {
            let before: Vec<Vec<u8>> = (1..AT).map(event).collect();
            [before, vec![gap.clone().into_bytes()]].concat()
        }),
    ));
    let swapped = format!("{}{}", good(AT), good(last));
    list.push((
        "events that change places in one chunk",
        "not-rising",
        AT,
        Script::new(move |_| {
            let before: Vec<Vec<u8>> = (1..AT).map(event).collect();
            [before, vec![swapped.clone().into_bytes()]].concat()
        }),
    ));
    let mut unframed = garbage_at("data: garbage\n\n");
    unframed.head = UNFRAMED;
    list.push((
        "a body that ends with its connection",
        "no-id",
        last,
        unframed,
    ));
    for (name, head) in [
        ("no type of content", "transfer-encoding: chunked\r\n"),
        (
            "another type of content",
            "content-type: text/html\r\ntransfer-encoding: chunked\r\n",
        ),
        (
            "a longer type of content",
            "content-type: text/event-streams\r\ntransfer-encoding: chunked\r\n",
        ),
    ] {
        let mut script = Script::new(|_| vec![b"<p>garbage</p>\n\n".to_vec()]);
        script.head = head;
        list.push((name, "not-a-stream", 0, script));
    }
    list
}

fn events(to: u64) -> String {
    let events: Vec<u8> = (1..=to).flat_map(event).collect();
    String::from_utf8(events).unwrap()
}

/// Guards against bytes that no run made in a stream that may be taken up: it goes on at another upstream.
#[tokio::test]
async fn garbage_is_left_out_and_the_stream_goes_on_elsewhere() {
    for Garbage {
        name, kind, script, ..
    } in garbage()
    {
        let world = World::start(script, Script::sound()).await;
        world.learn().await;
        let answer = world.fetch("a1", "/stream/resume/x").await;
        assert_eq!(answer.body, events(EVENTS), "{name}: {}", answer.status);
        assert!(answer.complete, "{name}: broken off");
        assert_eq!(world.faults(kind).await, 1.0, "{name}: counted as {kind}");
    }
}

/// Guards against bytes that no run made in a stream that may not be taken up: it breaks off before them.
#[tokio::test]
async fn a_stream_that_may_not_be_taken_up_breaks_off_before_garbage() {
    for Garbage {
        name,
        kind,
        good,
        script,
    } in garbage()
    {
        let world = World::start(script, Script::sound()).await;
        world.learn().await;
        let answer = world.fetch("a1", "/stream/once/x").await;
        if good == 0 {
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{name}");
        } else {
            assert!(!answer.complete, "{name}: looks whole");
            assert_eq!(answer.body, events(good), "{name}");
        }
        assert_eq!(world.faults(kind).await, 1.0, "{name}: counted as {kind}");
    }
}

/// Guards against an event that lies ahead, while a daemon has not learned yet by how much ids rise.
#[tokio::test]
async fn an_event_ahead_is_left_out_where_the_steps_of_ids_are_not_known() {
    let ahead = |n| format!("id: {}\ndata: garbage\n\n", n + 5);
    let places = [1, 2, 3, AT, EVENTS].map(|n| garbage_before(n, ahead(n)));
    let places = places
        .into_iter()
        .chain([in_one_chunk(garbage_at(ahead(AT)))]);
    for script in places {
        let world = World::start(script, Script::sound()).await;
        let answer = world.fetch("a1", "/stream/resume/x").await;
        assert_eq!(answer.body, events(EVENTS));
        assert!(answer.complete);
        assert_eq!(world.faults("falls-back").await, 1.0);
    }
}

/// Guards against the second run of a stream whose first event does not follow the last one of the first run.
#[tokio::test]
async fn a_continuation_that_leaves_events_out_is_not_relayed() {
    let broken = garbage_at("data: garbage\n\n");
    let skipping = Script::new(|after| match after {
        0 => (1..=EVENTS).map(event).collect(),
        _ => (after + 3..=EVENTS).map(event).collect(),
    });
    let world = World::start(broken, skipping).await;
    world.learn().await;
    let answer = world.fetch("a1", "/stream/resume/x").await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(answer.body, events(AT - 1));
}

/// Guards against a failure that breaks off midway and is followed by another upstream's events in one answer.
#[tokio::test]
async fn a_failure_that_breaks_off_is_not_followed_by_events() {
    let mut failure = Script::new(|_| vec![b"not".to_vec(), b" found".to_vec()]);
    failure.status = "404 Not Found";
    failure.head = "transfer-encoding: chunked\r\n";
    failure.is_cut_off = true;
    let world = World::start(failure, Script::sound()).await;
    for (n, path) in ["/stream/resume/x", "/stream/once/x"]
        .into_iter()
        .enumerate()
    {
        let answer = world.fetch(&format!("a{n}"), path).await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND, "{path}");
        assert!(!answer.complete, "{path}: looks whole");
        assert_eq!(answer.body, "not found", "{path}");
    }
}

fn rewritten(rewrite: fn(u64) -> String) -> Script {
    Script::new(move |after| {
        (after + 1..=EVENTS)
            .map(|n| rewrite(n).into_bytes())
            .collect()
    })
}

type SoundStream = (&'static str, fn() -> Script);

/// Sound streams that are written in other ways.
fn sound_streams() -> Vec<SoundStream> {
    vec![
        ("a byte at a time", || a_byte_at_a_time(Script::sound())),
        ("all events in one chunk", || in_one_chunk(Script::sound())),
        ("CR LF", || {
            rewritten(|n| format!("id: {n}\r\ndata: {n}\r\n\r\n"))
        }),
        ("CR", || rewritten(|n| format!("id: {n}\rdata: {n}\r\r"))),
        ("CR LF a byte at a time", || {
            a_byte_at_a_time(rewritten(|n| format!("id: {n}\r\ndata: {n}\r\n\r\n")))
        }),
        ("mixed line ends", || {
            rewritten(|n| format!("id: {n}\r\ndata: {n}\n\r\n"))
        }),
        ("comments", || {
            rewritten(|n| format!(": ping\n\nid: {n}\n:inside\ndata: {n}\n\n"))
        }),
        ("a comment at the end", || {
            rewritten(|n| match n {
                EVENTS => format!("id: {n}\ndata: {n}\n\n: the end\n"),
                _ => format!("id: {n}\ndata: {n}\n\n"),
            })
        }),
        ("a version's line", || {
            rewritten(|n| match n {
                AT => format!("x-weight-versions: 3\nid: {n}\ndata: {n}\n\n"),
                _ => format!("id: {n}\ndata: {n}\n\n"),
            })
        }),
        ("other fields", || {
            rewritten(|n| format!("retry: 500\n\nevent: token\nretry: 100\nid: {n}\ndata: {n}\n\n"))
        }),
        ("no space", || {
            rewritten(|n| format!("id:{n}\ndata:{n}\n\n"))
        }),
        ("the id behind the data", || {
            rewritten(|n| format!("data: {n}\nid: {n}\n\n"))
        }),
        ("two lines of data", || {
            rewritten(|n| format!("id: {n}\ndata: {n}\ndata\ndata: \n\n"))
        }),
        ("further empty lines", || {
            rewritten(|n| format!("id: {n}\ndata: {n}\n\n\n\n"))
        }),
        ("a byte order mark", || {
            rewritten(|n| match n {
                1 => format!("\u{feff}id: {n}\ndata: {n}\n\n"),
                _ => format!("id: {n}\ndata: {n}\n\n"),
            })
        }),
        ("other letters", || {
            rewritten(|n| format!("id: {n}\ndata: \u{c548}\u{b155} \u{1f600}\n\n"))
        }),
        ("steps of three", || {
            rewritten(|n| format!("id: {}\ndata: {n}\n\n", 3 * n))
        }),
        ("ids from zero", || {
            rewritten(|n| format!("id: {}\ndata: {n}\n\n", n - 1))
        }),
        ("uneven steps", || {
            rewritten(|n| format!("id: {}\ndata: {n}\n\n", n * n))
        }),
        ("a last step of its own", || {
            rewritten(|n| format!("id: {}\ndata: {n}\n\n", (4 * n).min(4 * EVENTS - 1)))
        }),
        ("no length and no chunks", || {
            let mut script = Script::sound();
            script.head = UNFRAMED;
            script
        }),
        ("parameters of the type", || {
            let mut script = Script::sound();
            script.head =
                "content-type: Text/Event-Stream; charset=utf-8\r\ntransfer-encoding: chunked\r\n";
            script
        }),
    ]
}

/// Guards against sound streams that are refused or changed because of the way in which they are written.
#[tokio::test]
async fn sound_streams_are_relayed_byte_for_byte() {
    for (name, script) in sound_streams() {
        let written = (script().chunks)(0).concat();
        let world = World::start(script(), script()).await;
        for n in 0..LEARNED_FROM + 10 {
            let path = ["/stream/resume/x", "/stream/once/x"][n % 2];
            let answer = world.fetch(&format!("a{n}"), path).await;
            assert!(answer.complete, "{name}: stream {n}: {answer:?}");
            assert_eq!(answer.body.as_bytes(), written, "{name}: stream {n}");
        }
    }
}

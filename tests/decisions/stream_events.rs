//! Events of streams: how they are read from bytes, and which of them belong to a run.

use {
    bytes::Bytes,
    proptest::prelude::*,
    saddlepulley::{names::*, streams::*},
};

const UNKNOWN: UsualIds = UsualIds {
    first: UsualNumber::Unknown,
    step: UsualNumber::Unknown,
};
const ONE_BY_ONE: UsualIds = UsualIds {
    first: UsualNumber::Always(1),
    step: UsualNumber::Always(1),
};

/// Sound events with comments, fields of all kinds and empty lines, by the end of their lines.
fn sound_stream(line_end: &str) -> Vec<u8> {
    let lines = "id: 1\ndata: a\n\n: ping\n\nid:2\ndata\ndata: \u{1f600}\n\n\nretry: 5\n\n\
                 x-weight-versions: 3\nid: 3\nevent: token\n:inside\ndata: ccc\n\n";
    lines.replace('\n', line_end).into_bytes()
}

/// Reads a stream in the pieces between the cuts.
fn read(reader: &mut EventReader, stream: &[u8], mut cuts: Vec<usize>) -> EventBatch {
    cuts.sort_unstable();
    let (mut from, mut all) = (0, EventBatch::default());
    let mut bytes = Vec::new();
    for cut in cuts.into_iter().chain([stream.len()]) {
        let piece = Bytes::copy_from_slice(&stream[from..cut]);
        from = cut;
        let batch = reader.push(piece, &UNKNOWN);
        bytes.extend_from_slice(&batch.bytes);
        all.last_id = batch.last_id.or(all.last_id);
        all.fault = batch.fault;
        if all.fault.is_some() {
            break;
        }
    }
    all.bytes = bytes.into();
    all
}

fn cuts() -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(0..60_usize, 0..8)
}

proptest! {
    /// However a stream is cut into chunks and its lines end, all of its events are passed on, byte for byte.
    #[test]
    fn sound_streams_are_passed_on_byte_for_byte(
        cuts in cuts(),
        line_end in prop_oneof![Just("\n"), Just("\r\n"), Just("\r")],
    ) {
        let stream = sound_stream(line_end);
        let mut reader = EventReader::after(None);
        let all = read(&mut reader, &stream, cuts);
        prop_assert_eq!(all.fault, None);
        prop_assert_eq!(&all.bytes, &stream);
        prop_assert_eq!(all.last_id, Some(3));
        let rest = reader.finish();
        prop_assert!(rest.is_some_and(|rest| rest.bytes.is_empty()));
    }

    /// However a stream breaks off, what was passed on ends with a whole event.
    #[test]
    fn only_complete_events_are_passed_on(end in 0..90_usize, cuts in cuts()) {
        let stream = sound_stream("\n");
        let cuts = cuts.into_iter().filter(|cut| *cut < end).collect();
        let mut reader = EventReader::after(None);
        let all = read(&mut reader, &stream[..end.min(stream.len())], cuts);
        prop_assert!(stream.starts_with(&all.bytes));
        prop_assert!(all.bytes.is_empty() || all.bytes.ends_with(b"\n\n"));
    }

    /// However a stream is cut into chunks, garbage and all that follows it is left out.
    #[test]
    fn nothing_is_passed_on_from_garbage_on(
        cuts in cuts(),
        garbage in prop_oneof![
            Just("data: x\n\n"), Just("id: x\ndata: x\n\n"), Just("id: 2\ndata: x\n\n"),
            Just("id: 3\n\n"), Just("id: 3\nid: 4\ndata: x\n\n"), Just("\u{1}x\n"), Just("id: 3\nx\ndata: x\n\n"),
        ],
    ) {
        let sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        let stream = format!("{sound}{garbage}id: 3\ndata: c\n\n").into_bytes();
        let cuts = cuts.into_iter().filter(|cut| *cut <= stream.len()).collect();
        let mut reader = EventReader::after(None);
        let all = read(&mut reader, &stream, cuts);
        prop_assert!(all.fault.is_some());
        prop_assert_eq!(all.bytes, sound.as_bytes());
        prop_assert_eq!(reader.last_id(), Some(2));
    }
}

#[test]
fn the_end_inside_an_event_is_not_the_end_of_a_stream() {
    for (rest, is_end) in [
        ("", true),
        (": comment", true),
        (": comment\n", true),
        ("id: 2", false),
        ("id: 2\ndata: x\n", false),
        ("garbage", false),
    ] {
        let mut reader = EventReader::after(None);
        let stream = format!("id: 1\ndata: x\n\n{rest}");
        assert_eq!(read(&mut reader, stream.as_bytes(), Vec::new()).fault, None);
        let finished = reader.finish();
        assert_eq!(finished.is_some(), is_end, "{rest:?}");
        if let Some(finished) = finished {
            assert_eq!(finished.bytes, rest.as_bytes());
        }
    }
}

#[test]
fn an_event_without_end_is_too_large() {
    let mut reader = EventReader::after(None);
    for _ in 0..2 {
        reader.push(Bytes::from(vec![b'x'; 600 * 1024]), &UNKNOWN);
    }
    assert!(reader.is_too_large());
}

/// Returns the verdicts on events in turn, up to the first fault.
fn order(
    mut order: EventOrder,
    usual: &UsualIds,
    ids: &[u64],
) -> Vec<Result<EventVerdict, StreamFault>> {
    let mut verdicts = Vec::new();
    for id in ids {
        let verdict = order.add(*id, usual);
        verdicts.push(verdict);
        if verdict.is_err() {
            break;
        }
    }
    verdicts
}

const PASS: Result<EventVerdict, StreamFault> = Ok(EventVerdict::Pass);
const HOLD: Result<EventVerdict, StreamFault> = Ok(EventVerdict::Hold);

#[test]
fn ids_have_to_rise() {
    let new = || EventOrder::after(None);
    for usual in [UNKNOWN, ONE_BY_ONE] {
        let fault = Err(StreamFault::NotRising { id: 2, last: 2 });
        assert_eq!(order(new(), &usual, &[1, 2, 2]), [PASS, PASS, fault]);
    }
    let taken_up = EventOrder::after(Some(7));
    let fault = Err(StreamFault::NotRising { id: 7, last: 7 });
    assert_eq!(order(taken_up, &UNKNOWN, &[7]), [fault]);
}

#[test]
fn where_ids_are_known_none_may_be_left_out() {
    let not_due = |id, due| Err(StreamFault::NotDue { id, due });
    let new = || EventOrder::after(None);
    assert_eq!(order(new(), &ONE_BY_ONE, &[1, 3]), [PASS, not_due(3, 2)]);
    assert_eq!(order(new(), &ONE_BY_ONE, &[4]), [not_due(4, 1)]);
    let taken_up = EventOrder::after(Some(7));
    assert_eq!(order(taken_up, &ONE_BY_ONE, &[9]), [not_due(9, 8)]);
}

#[test]
fn an_event_that_rises_otherwise_waits_for_the_next_one() {
    let new = || EventOrder::after(None);
    let falls_back = Err(StreamFault::FallsBack { id: 8 });
    assert_eq!(
        order(new(), &UNKNOWN, &[1, 2, 8, 3]),
        [PASS, PASS, HOLD, falls_back]
    );
    assert_eq!(
        order(new(), &UNKNOWN, &[6, 1]),
        [HOLD, Err(StreamFault::FallsBack { id: 6 })]
    );
    let taken_up = EventOrder::after(Some(4));
    assert_eq!(
        order(taken_up, &UNKNOWN, &[9, 5]),
        [HOLD, Err(StreamFault::FallsBack { id: 9 })]
    );
    // Once is enough: the steps of the stream differ.
    assert_eq!(
        order(new(), &UNKNOWN, &[1, 2, 4, 7, 8]),
        [PASS, PASS, HOLD, PASS, PASS]
    );
    let varies = UsualIds {
        first: UsualNumber::Varies,
        step: UsualNumber::Varies,
    };
    assert_eq!(order(new(), &varies, &[1, 2, 8]), [PASS, PASS, PASS]);
}

#[test]
fn the_word_of_a_client_that_can_be_no_id_makes_no_upstream_faulty() {
    let threes = UsualIds {
        first: UsualNumber::Always(3),
        step: UsualNumber::Always(3),
    };
    assert_eq!(
        order(EventOrder::after(Some(7)), &threes, &[9, 12]),
        [PASS, PASS]
    );
    assert_eq!(
        order(EventOrder::after(Some(0)), &threes, &[3, 6]),
        [PASS, PASS]
    );
    let fault = Err(StreamFault::NotDue { id: 12, due: 9 });
    assert_eq!(order(EventOrder::after(Some(6)), &threes, &[12]), [fault]);
}

fn upstream(n: u32) -> UpstreamId {
    UpstreamId::from(format!("u{n}").as_str())
}

fn stream(first: u64, step: u64) -> StreamIds {
    StreamIds {
        first: Some(first),
        step: Some(step),
        is_uneven: false,
    }
}

#[test]
fn ids_are_learned_from_some_streams() {
    let mut history = IdHistory::default();
    for n in 0..7 {
        history.record(&upstream(n % 3), &stream(1, 3));
        assert_eq!(history.usual(), UNKNOWN);
    }
    history.record(&upstream(0), &stream(1, 3));
    let usual = history.usual();
    assert_eq!(usual.first, UsualNumber::Always(1));
    assert_eq!(usual.step, UsualNumber::Always(3));
    assert_eq!(usual.due_after(4), Some(7));
    assert_eq!(usual.due_after(u64::MAX), None);
}

#[test]
fn a_few_upstreams_that_leave_events_out_do_not_change_what_is_known() {
    let mut history = IdHistory::default();
    for n in 0..600 {
        let is_faulty = n % 12 < 2 && n % 2 == 0;
        let ids = StreamIds {
            is_uneven: is_faulty,
            ..stream(1, 1)
        };
        history.record(&upstream(n % 12), &ids);
    }
    assert_eq!(history.usual().step, UsualNumber::Always(1));
}

#[test]
fn garbage_in_the_first_streams_is_no_rule() {
    let mut history = IdHistory::default();
    for _ in 0..3 {
        history.record(&upstream(0), &stream(9, 9));
    }
    for n in 0..40 {
        history.record(&upstream(1 + n % 4), &stream(1, 1));
    }
    assert_eq!(history.usual(), ONE_BY_ONE);
}

#[test]
fn steps_that_differ_at_most_upstreams_are_sound() {
    let mut history = IdHistory::default();
    for n in 0..120 {
        let ids = StreamIds {
            is_uneven: n % 10 == 0,
            ..stream(1, 1)
        };
        history.record(&upstream(n % 3), &ids);
    }
    assert_eq!(history.usual().step, UsualNumber::Varies);
}

#[test]
fn steps_of_each_stream_of_their_own_are_sound() {
    let mut history = IdHistory::default();
    for n in 0..120 {
        history.record(
            &upstream(n % 3),
            &stream(u64::from(n) * 7, 1 + u64::from(n) % 5),
        );
    }
    assert_eq!(history.usual().first, UsualNumber::Varies);
    assert_eq!(history.usual().step, UsualNumber::Varies);
}

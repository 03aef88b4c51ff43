//! Events of streams at the edges of what is known: held ones, second runs, and ids that begin at 0.

use {
    bytes::Bytes,
    saddlepulley::{names::*, streams::*},
};

const UNKNOWN: UsualIds = UsualIds {
    first: UsualNumber::Unknown,
    step: UsualNumber::Unknown,
};

fn counted_from(first: u64) -> UsualIds {
    UsualIds {
        first: UsualNumber::Always(first),
        step: UsualNumber::Always(1),
    }
}

fn push(reader: &mut EventReader, bytes: &str, usual: &UsualIds) -> EventBatch {
    reader.push(Bytes::copy_from_slice(bytes.as_bytes()), usual)
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// Guards against a stream that goes on after an event that its client never got.
#[test]
fn an_event_that_was_held_and_not_passed_on_is_not_the_last_one() {
    let mut reader = EventReader::after(None);
    let ahead = [event(1), event(2), event(4)].concat();
    assert_eq!(push(&mut reader, &ahead, &UNKNOWN).last_id, Some(2));
    let batch = push(&mut reader, &event(6), &counted_from(1));
    assert!(batch.fault.is_some());
    assert_eq!(batch.bytes, "");
    assert_eq!(reader.last_id(), Some(2));
}

/// Guards against a missing piece where the steps of ids become known while an event is held.
#[test]
fn an_event_that_is_held_is_checked_by_what_is_known_since() {
    let mut reader = EventReader::after(None);
    let ahead = [event(1), event(2), event(4)].concat();
    assert_eq!(push(&mut reader, &ahead, &UNKNOWN).last_id, Some(2));
    let batch = push(&mut reader, &event(5), &counted_from(1));
    assert!(batch.fault.is_some(), "{batch:?}");
}

/// Guards against a sound stream that is refused where ids begin at 0 and the client has that event.
#[test]
fn a_stream_whose_ids_begin_at_0_is_taken_up_after_its_first_event() {
    let mut order = EventOrder::after(Some(0));
    assert_eq!(order.add(1, &counted_from(0)), Ok(EventVerdict::Pass));
}

/// Guards against a byte order mark in the middle of a stream, where clients take it for a part of a line.
#[test]
fn the_byte_order_mark_of_a_second_run_is_left_out() {
    let mut reader = EventReader::after(None);
    push(&mut reader, &event(1), &UNKNOWN);
    reader.continue_elsewhere();
    let batch = push(&mut reader, &format!("\u{feff}{}", event(2)), &UNKNOWN);
    assert_eq!(batch.bytes, event(2));
}

/// Guards against garbage as the second event of a stream while the steps of ids are not known.
#[test]
fn a_second_event_that_lies_ahead_is_left_out_where_steps_are_not_known() {
    let mut reader = EventReader::after(None);
    let stream = [event(1), event(7), event(2)].concat();
    let batch = push(&mut reader, &stream, &UNKNOWN);
    assert!(batch.fault.is_some());
    assert_eq!(batch.bytes, event(1));
}

/// Guards against sound streams that break off again and again where an event now and then raises the id by more than one.
#[test]
fn steps_that_are_known_to_differ_are_not_refused_again_later() {
    let mut history = IdHistory::default();
    let mut refused = Vec::new();
    for n in 0..20_000_u32 {
        let skips = n % 49 == 48;
        let usual = history.usual();
        let mut order = EventOrder::after(None);
        for id in (1..=20).filter(|id| !skips || *id != 9) {
            if order.add(id, &usual).is_err() {
                refused.push(n);
                break;
            }
        }
        let upstream = UpstreamId::from(format!("u{}", n % 12).as_str());
        history.record(&upstream, &order.run());
    }
    assert!(refused.iter().all(|n| *n < 2_000), "{refused:?}");
}

//! Splitting of received bytes into events.

use celerypond_relay::EventSplitter;
use rstest::rstest;

#[rstest]
#[case::whole(&["id: 1\ndata: a\n\n"])]
#[case::in_the_field(&["id: ", "1\ndata: a\n\n"])]
#[case::in_the_end(&["id: 1\ndata: a\n", "\n"])]
#[case::byte_by_byte(&["i", "d", ":", " ", "1", "\n", "data: a", "\n", "\n"])]
#[case::long_ends(&["id: 1\r\ndata: a\r\n\r", "\n"])]
fn event_is_found_regardless_of_chunk_boundaries(#[case] pieces: &[&str]) {
    let mut events = EventSplitter::default();
    let mut found = Vec::new();
    for piece in pieces {
        events.push(piece.as_bytes());
        found.extend(events.by_ref());
    }
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].id, Some(1));
    assert!(!events.has_partial());
}

/// An engine dies in the middle of its third event. Guards against passing on a part of it, as
/// another engine sends this event again from its start.
#[test]
fn incomplete_event_is_never_passed_on() {
    let mut events = EventSplitter::default();
    events.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    let ids: Vec<_> = events.by_ref().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2)]);
    events.clear();
    events.push(b"id: 3\ndata: c\n\n");
    assert_eq!(&events.next().unwrap().bytes[..], b"id: 3\ndata: c\n\n");
}

//! Splitting of streams into events, with chunk boundaries at any byte.

use rstest::rstest;

use crate::relay::events::{EventBoundary, EventSplitter};

const STREAM: &str =
    "id: 1\ndata: one\n\n: note\n\nx-version:4\nid: 2\r\ndata: a\r\ndata: b\r\n\r\nid:3\n\n";

fn split(chunks: &[&[u8]]) -> (Vec<(String, Option<String>)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        while let Some(event) = splitter.next_event() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, !splitter.take_rest().is_empty())
}

#[test]
fn a_stream_split_at_any_two_bytes_yields_the_same_events() {
    let bytes = STREAM.as_bytes();
    let (expected, has_partial_event) = split(&[bytes]);
    assert!(!has_partial_event);
    let ids: Vec<Option<&str>> = expected.iter().map(|(_, id)| id.as_deref()).collect();
    assert_eq!(ids, [Some("1"), None, Some("2"), Some("3")]);
    let text: String = expected.iter().map(|(text, _)| text.as_str()).collect();
    assert_eq!(text, STREAM);
    for first in 0..=bytes.len() {
        for second in first..=bytes.len() {
            let chunks = [&bytes[..first], &bytes[first..second], &bytes[second..]];
            assert_eq!(split(&chunks).0, expected, "cut at {first} and {second}");
        }
    }
}

#[test]
fn a_stream_that_ends_anywhere_gives_only_whole_events() {
    let bytes = STREAM.as_bytes();
    let (expected, _) = split(&[bytes]);
    for end in 0..bytes.len() {
        let (events, has_partial_event) = split(&[&bytes[..end]]);
        assert_eq!(events[..], expected[..events.len()], "ended at {end}");
        let length: usize = events.iter().map(|(text, _)| text.len()).sum();
        assert_eq!(has_partial_event, length < end, "ended at {end}");
    }
}

#[rstest]
#[case::short(1_000, false)]
#[case::long(300_000, true)]
fn an_incomplete_event_above_the_limit_is_detected(
    #[case] bytes: usize,
    #[case] is_event_too_long: bool,
) {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; bytes]);
    assert!(splitter.next_event().is_none());
    assert_eq!(splitter.is_event_too_long(), is_event_too_long);
}

struct BoundaryCase {
    stream: &'static str,
    is_within_event: bool,
    /// Expected number of complete events.
    events: u64,
}

#[rstest]
#[case::nothing(BoundaryCase { stream: "", is_within_event: false, events: 0 })]
#[case::after_an_event(BoundaryCase { stream: "id: 1\ndata: a\n\n", is_within_event: false, events: 1 })]
#[case::after_crlf(BoundaryCase { stream: "data: a\r\n\r\n", is_within_event: false, events: 1 })]
#[case::after_cr(BoundaryCase { stream: "data: a\r\rdata: b\r\r", is_within_event: false, events: 2 })]
#[case::within_a_line(BoundaryCase { stream: "data: a\n\nda", is_within_event: true, events: 1 })]
#[case::after_a_line(BoundaryCase { stream: "data: a\n\ndata: b\n", is_within_event: true, events: 1 })]
#[case::after_one_crlf(BoundaryCase { stream: "data: a\r\n", is_within_event: true, events: 0 })]
#[case::after_a_comment(BoundaryCase { stream: "data: a\n\n: note\n", is_within_event: false, events: 1 })]
#[case::within_a_comment(BoundaryCase { stream: "data: a\n\n: no", is_within_event: true, events: 1 })]
#[case::comment_within_an_event(BoundaryCase { stream: "data: a\n: note\n", is_within_event: true, events: 0 })]
#[case::blank_lines(BoundaryCase { stream: "\n\ndata: a\n\n\n", is_within_event: false, events: 1 })]
fn the_boundary_tells_where_a_stream_ends(#[case] case: BoundaryCase) {
    for cut in 0..=case.stream.len() {
        let mut boundary = EventBoundary::default();
        let (first, second) = case.stream.as_bytes().split_at(cut);
        boundary.push(first);
        boundary.push(second);
        let found = (boundary.is_within_event(), boundary.events());
        assert_eq!(found, (case.is_within_event, case.events), "cut at {cut}");
    }
}

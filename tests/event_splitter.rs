//! Splitting of event streams into complete events.

use yuccareel::relay::event_splitter::EventSplitter;

const STREAM: &str = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: none\n\nid: 4\ndata: cut";

/// Guards against events whose boundaries depend on how the bytes are divided into reads, and
/// against forwarding an event that was truncated.
#[test]
fn events_are_complete_for_any_division_of_bytes() {
    for cut in 0..=STREAM.len() {
        let (first, second) = STREAM.as_bytes().split_at(cut);
        let mut splitter = EventSplitter::default();
        let (mut ids, mut text) = (Vec::new(), Vec::new());
        for data in [first, second] {
            splitter.push(data);
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
                text.extend_from_slice(&event.text);
            }
        }
        assert_eq!(ids, [Some(1), Some(2), None], "cut at {cut}");
        let remainder = splitter.take_remainder();
        assert_eq!(&remainder[..], b"id: 4\ndata: cut", "cut at {cut}");
        text.extend_from_slice(&remainder);
        assert_eq!(text, STREAM.as_bytes(), "cut at {cut}");
    }
}

/// Guards against a count of pending bytes that misses those of an event without end.
#[test]
fn bytes_of_an_incomplete_event_are_counted() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\n");
    assert!(splitter.next_event().is_some());
    assert_eq!(splitter.buffered_bytes(), 0);
    for _ in 0..100 {
        splitter.push(&[b'd'; 1_000]);
        assert!(splitter.next_event().is_none());
    }
    assert_eq!(splitter.buffered_bytes(), 100_000);
}

/// Guards against a resumed stream that is given up for a comment, and against text of another
/// answer that passes for one.
#[test]
fn events_without_data_are_comments() {
    let cases = [
        (": ping\n\n", true),
        (":\r\n:\r\n\r\n", true),
        ("data: : x\n\n", false),
        (": ping\ndata: x\n\n", false),
        ("HTTP/1.1 503 x\r\n\r\n", false),
    ];
    for (text, is_comment) in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(text.as_bytes());
        let event = splitter.next_event().unwrap();
        assert_eq!(event.is_comment(), is_comment, "{text:?}");
    }
}

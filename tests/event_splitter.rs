//! Splitting of streams into whole events.

use yuccareel::relay::event_splitter::EventSplitter;

const STREAM: &str = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: none\n\nid: 4\ndata: cut";

/// Guards against events that depend on how their bytes arrive, and against a cut event that is
/// passed on as whole.
#[test]
fn events_are_whole_however_they_arrive() {
    for cut in 0..=STREAM.len() {
        let (first, second) = STREAM.as_bytes().split_at(cut);
        let mut splitter = EventSplitter::default();
        let (mut numbers, mut text) = (Vec::new(), Vec::new());
        for piece in [first, second] {
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                numbers.push(event.id);
                text.extend_from_slice(&event.text);
            }
        }
        assert_eq!(numbers, [Some(1), Some(2), None], "cut at {cut}");
        let rest = splitter.take_remainder();
        assert_eq!(&rest[..], b"id: 4\ndata: cut", "cut at {cut}");
        text.extend_from_slice(&rest);
        assert_eq!(text, STREAM.as_bytes(), "cut at {cut}");
    }
}

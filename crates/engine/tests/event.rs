//! Events that are passed on as they are.

use std::io::{BufReader, Cursor, Read, repeat};

use engine::read_event;

const MAX_BYTES: u64 = 1000;

#[test]
fn events_are_read_one_by_one_and_an_incomplete_one_is_dropped() {
    let text = "id: 1\ndata: a\n\n: on\r\n\r\ndata: cut";
    let mut reader = BufReader::new(Cursor::new(text));
    let mut next = || read_event(&mut reader, MAX_BYTES).expect("the text can be read");
    assert_eq!(next().as_deref(), Some("id: 1\ndata: a\n\n"));
    assert_eq!(next().as_deref(), Some(": on\r\n\r\n"));
    assert_eq!(next(), None);
}

/// another daemon that sends a line or an event without end filled the memory of the one that forwards it
#[test]
fn an_event_without_end_is_an_error() {
    let line = repeat(b'x');
    let lines = Cursor::new("data: x\n".repeat(1000)).chain(repeat(b'\r'));
    assert!(read_event(&mut BufReader::new(line), MAX_BYTES).is_err());
    assert!(read_event(&mut BufReader::new(lines), MAX_BYTES).is_err());
}

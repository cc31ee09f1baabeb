//! Parsing of server-sent events.

use bench::client::{Event, Events};

fn read_all(text: &str) -> Vec<Event> {
    let mut events = Events::new(text.as_bytes());
    let mut list = Vec::new();
    while let Some(event) = events.next_event().expect("body must be readable") {
        list.push(event);
    }
    list
}

#[test]
fn reads_fields_in_any_order_and_both_kinds_of_line_end() {
    let events = read_all("id: a:1\ndata: x\n\ndata:y\r\nevent: finish\r\n\r\n");
    let first = Event {
        id: "a:1".to_owned(),
        data: "x".to_owned(),
        ..Event::default()
    };
    let second = Event {
        name: "finish".to_owned(),
        data: "y".to_owned(),
        ..Event::default()
    };
    assert_eq!(events, [first, second]);
}

#[test]
fn joins_data_lines_and_gives_comments_as_empty_events() {
    let events = read_all(": waiting\n\ndata: a\ndata: b\n\n");
    assert_eq!(events[0], Event::default());
    assert_eq!(events[1].data, "a\nb");
}

#[test]
fn drops_an_unterminated_event() {
    assert!(read_all("data: a\n").is_empty());
}

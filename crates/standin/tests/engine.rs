//! Streams of the simulated engine: tokens, prefix cache, cancellation, reattachment.

mod support;

use std::time::{Duration, Instant};

use schema::engine::{Events, Load};
use standin::engine::{Options, Run, Server, token};
use support::{
    Item, Stream, assert_tokens, completion, delete, eventually, get, get_json, post,
    prompt_of_words,
};

fn start_fast_engine() -> Server {
    Server::start(Options::builder().step_us(2_000).build()).expect("engine should start")
}

#[test]
fn generates_the_tokens_of_the_prompt() {
    let engine = start_fast_engine();
    let mut stream = Stream::open(engine.address(), &completion("a", "a short prompt", 20));
    let (chunks, finish) = stream.read_to_end();
    assert_eq!(chunks.len(), 20);
    assert_tokens("a short prompt", 0, &chunks);
    let finish = finish.expect("stream should finish");
    assert_eq!(finish.finish_reason, "length");
    assert_eq!(finish.usage.prompt_tokens, 3);
    assert_eq!(finish.usage.completion_tokens, 20);
    assert_eq!(finish.usage.recomputed_tokens, 3);
}

#[test]
fn sends_each_token_when_it_is_generated() {
    let options = Options::builder().step_us(50_000).build();
    let engine = Server::start(options).expect("engine should start");
    let started = Instant::now();
    let mut stream = Stream::open(engine.address(), &completion("a", "prompt", 40));
    assert!(matches!(stream.next_event(), Item::Token(_)));
    assert!(started.elapsed() < Duration::from_secs(1));
    assert_eq!(stream.read_to_end().0.len(), 39);
    assert!(started.elapsed() >= Duration::from_secs(2));
}

#[test]
fn resumes_after_prior_tokens() {
    let engine = start_fast_engine();
    let mut request = completion("a", "prompt", 10);
    request.prior = (0..4).map(|index| token("prompt", index)).collect();
    let (chunks, _) = Stream::open(engine.address(), &request).read_to_end();
    assert_eq!(chunks.len(), 6);
    assert_tokens("prompt", 4, &chunks);
}

#[test]
fn refuses_prior_tokens_of_another_prompt() {
    let engine = start_fast_engine();
    let mut request = completion("a", "prompt", 10);
    request.prior = vec![token("another prompt", 0)];
    let response = post(engine.address(), "/v1/completions", &request);
    assert_eq!(response.status().as_u16(), 400);
    assert_eq!(response.headers()["x-not-run"], "true");
    assert!(engine.record().is_empty());
}

#[test]
fn refuses_a_duplicate_request_id() {
    let engine = start_fast_engine();
    let request = completion("a", "prompt", 3);
    Stream::open(engine.address(), &request).read_to_end();
    let response = post(engine.address(), "/v1/completions", &request);
    assert_eq!(response.status().as_u16(), 409);
    assert!(!response.headers().contains_key("x-not-run"));
}

#[test]
fn recomputes_no_cached_blocks_of_a_prefix() {
    let engine = start_fast_engine();
    let prompt = prompt_of_words(100);
    Stream::open(engine.address(), &completion("a", &prompt, 5)).read_to_end();
    let longer = format!("{prompt} {}", prompt_of_words(10));
    let (_, finish) = Stream::open(engine.address(), &completion("b", &longer, 5)).read_to_end();
    let usage = finish.expect("stream should finish").usage;
    assert_eq!(usage.cached_tokens, 96);
    assert_eq!(usage.recomputed_tokens, 14);
}

#[test]
fn reattaches_after_a_lost_connection_and_cancels_after_the_grace_period() {
    let options = Options::builder().step_us(5_000).grace_ms(300).build();
    let engine = Server::start(options).expect("engine should start");
    let mut first = Stream::open(engine.address(), &completion("a", "prompt", 60));
    assert!(matches!(first.next_event(), Item::Token(_)));
    drop(first);
    let (chunks, finish) = Stream::reattach(engine.address(), "a", 1).read_to_end();
    assert_eq!(chunks.len(), 59);
    assert_tokens("prompt", 1, &chunks);
    assert!(finish.is_some());

    let mut abandoned = Stream::open(engine.address(), &completion("b", "prompt", 100_000));
    abandoned.next_event();
    drop(abandoned);
    eventually("cancellation after the grace period", || {
        let runs: Vec<Run> = get_json(engine.address(), "/control/record");
        runs.iter()
            .any(|run| run.request_id == "b" && run.cancelled)
    });
}

#[test]
fn a_new_reader_replaces_the_old_one() {
    let engine = start_fast_engine();
    let mut old = Stream::open(engine.address(), &completion("a", "prompt", 2_000));
    old.next_event();
    let mut new = Stream::reattach(engine.address(), "a", 0);
    assert!(matches!(new.next_event(), Item::Token(_)));
    assert_eq!(old.read_to_end().1, None);
    assert_eq!(
        get(engine.address(), "/v1/streams/unknown")
            .status()
            .as_u16(),
        404
    );
}

#[test]
fn cancels_on_request() {
    let engine = start_fast_engine();
    let mut stream = Stream::open(engine.address(), &completion("a", "prompt", 100_000));
    stream.next_event();
    assert_eq!(
        delete(engine.address(), "/v1/streams/a").status().as_u16(),
        200
    );
    let (_, finish) = stream.read_to_end();
    assert_eq!(
        finish.expect("stream should finish").finish_reason,
        "cancelled"
    );
    assert_eq!(
        delete(engine.address(), "/v1/streams/b").status().as_u16(),
        404
    );
    eventually("stream ended in the record", || engine.record()[0].ended);
    assert!(engine.record()[0].cancelled);
}

#[test]
fn admits_the_highest_priority_first() {
    let options = Options::builder().step_us(5_000).slots(1).lag_ms(0).build();
    let engine = Server::start(options).expect("engine should start");
    let address = engine.address();
    let mut running = Stream::open(address, &completion("running", "prompt", 100_000));
    running.next_event();
    let mut low = completion("low", "prompt", 1);
    low.priority = 1;
    let mut high = completion("high", "prompt", 100_000);
    high.priority = 8;
    let mut low = Stream::open(address, &low);
    assert_eq!(low.next_item(), Item::Comment);
    let mut high = Stream::open(address, &high);
    eventually("both streams waiting", || {
        get_json::<Load>(address, "/v1/load").waiting == 2
    });
    delete(address, "/v1/streams/running");
    assert!(matches!(high.next_event(), Item::Token(_)));
    let runs = engine.record();
    assert!(
        runs.iter()
            .any(|run| run.request_id == "low" && run.generated == 0)
    );
    delete(address, "/v1/streams/high");
    assert_eq!(low.read_to_end().0.len(), 1);
}

#[test]
fn publishes_cache_events_after_a_delay() {
    let options = Options::builder()
        .step_us(1_000)
        .cache_blocks(8)
        .event_lag_ms(1_000)
        .gap_percent(0)
        .build();
    let engine = Server::start(options).expect("engine should start");
    Stream::open(engine.address(), &completion("a", &prompt_of_words(64), 1)).read_to_end();
    let early: Events = get_json(engine.address(), "/v1/events?since=0");
    assert!(early.events.is_empty());
    let mut next = 0;
    eventually("event for the blocks of the prompt", || {
        let events: Events = get_json(engine.address(), "/v1/events?since=0");
        next = events.next;
        events.events.iter().any(|event| event.stored.len() == 4) && !events.gap
    });
    Stream::open(
        engine.address(),
        &completion("b", &format!("other {}", prompt_of_words(96)), 1),
    )
    .read_to_end();
    eventually("event for the evicted blocks", || {
        let events: Events = get_json(engine.address(), &format!("/v1/events?since={next}"));
        events.events.iter().any(|event| event.removed.len() == 2)
    });
}

#[test]
fn reports_a_gap_for_lost_events() {
    let options = Options::builder().event_lag_ms(0).gap_percent(100).build();
    let engine = Server::start(options).expect("engine should start");
    Stream::open(engine.address(), &completion("a", &prompt_of_words(64), 1)).read_to_end();
    let events: Events = get_json(engine.address(), "/v1/events?since=0");
    assert!(events.gap);
    assert!(events.events.is_empty());
    assert!(events.next > 0);
}

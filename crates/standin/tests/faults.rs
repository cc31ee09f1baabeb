//! Preemption notice, orders, KV cache import and faults of the simulated engine.

mod support;

use std::time::Duration;

use schema::config::Fencing;
use schema::engine::{Import, Imported, Load, Order};
use standin::engine::{Faults, Notice, Options, Server, token};
use support::{
    Item, Stream, assert_tokens, completion, eventually, get, get_json, post, prompt_of_words, put,
    try_post,
};

fn start_fast_engine() -> Server {
    Server::start(Options::builder().step_us(2_000).build()).expect("engine should start")
}

fn order(fence: u64, model: &str) -> Order {
    Order {
        fence,
        model: model.to_owned(),
        adapter: String::new(),
        version: String::new(),
        role: "mixed".to_owned(),
    }
}

#[test]
fn stops_after_its_notice_period() {
    let options = Options::builder().step_us(5_000).lag_ms(500).build();
    let engine = Server::start(options).expect("engine should start");
    let address = engine.address();
    let mut stream = Stream::open(address, &completion("a", "prompt", 100_000));
    stream.next_event();
    post(address, "/control/notice", &Notice { seconds: 2.0 });
    assert!(!get_json::<Load>(address, "/v1/load").leaving);
    eventually("notice in the load report", || {
        get_json::<Load>(address, "/v1/load").leaving
    });
    let (chunks, finish) = stream.read_to_end();
    assert!(chunks.len() > 20);
    assert_eq!(finish, None);
    engine.wait();
    eventually("refused connections", || {
        attohttpc::get(format!("http://{address}/v1/load"))
            .read_timeout(Duration::from_secs(1))
            .send()
            .is_err()
    });
}

#[test]
fn checks_fencing_tokens_if_configured() {
    let checked = start_fast_engine();
    assert_eq!(
        put(checked.address(), "/v1/orders", &order(5, "homily"))
            .status()
            .as_u16(),
        200
    );
    assert_eq!(
        put(checked.address(), "/v1/orders", &order(4, "other"))
            .status()
            .as_u16(),
        409
    );
    assert_eq!(
        get_json::<Order>(checked.address(), "/v1/orders"),
        order(5, "homily")
    );

    let options = Options::builder().fencing(Fencing::Ignored).build();
    let ignoring = Server::start(options).expect("engine should start");
    put(ignoring.address(), "/v1/orders", &order(5, "homily"));
    assert_eq!(
        put(ignoring.address(), "/v1/orders", &order(4, "other"))
            .status()
            .as_u16(),
        200
    );
    assert_eq!(
        get_json::<Order>(ignoring.address(), "/v1/orders"),
        order(4, "other")
    );
}

#[test]
fn refuses_work_while_a_model_loads() {
    let options = Options::builder().step_us(2_000).load_ms(300).build();
    let engine = Server::start(options).expect("engine should start");
    put(engine.address(), "/v1/orders", &order(1, "homily"));
    let response = post(
        engine.address(),
        "/v1/completions",
        &completion("a", "prompt", 1),
    );
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["x-not-run"], "true");
    eventually("model loaded", || {
        let response = post(
            engine.address(),
            "/v1/completions",
            &completion("b", "prompt", 1),
        );
        response.status().as_u16() == 200
    });
    let mut other = completion("c", "prompt", 1);
    other.model = "other".to_owned();
    assert_eq!(
        post(engine.address(), "/v1/completions", &other)
            .status()
            .as_u16(),
        404
    );
}

#[test]
fn imports_the_kv_cache_of_a_stream() {
    let source = start_fast_engine();
    let target = start_fast_engine();
    let prompt = prompt_of_words(160);
    let mut stream = Stream::open(source.address(), &completion("a", &prompt, 32));
    stream.read_to_end();
    let body = Import {
        source: format!("http://{}", source.address()),
        request_id: "a".to_owned(),
    };
    let imported: Imported = post(target.address(), "/v1/kv/import", &body)
        .json()
        .expect("request should get a response");
    assert_eq!(imported.tokens, 192);
    assert!(imported.bytes >= 192 * 1_024);
    let mut resumed = completion("a", &prompt, 40);
    resumed.prior = (0..32).map(|index| token(&prompt, index)).collect();
    let (chunks, finish) = Stream::open(target.address(), &resumed).read_to_end();
    assert_tokens(&prompt, 32, &chunks);
    assert_eq!(
        finish
            .expect("stream should finish")
            .usage
            .recomputed_tokens,
        0
    );
}

#[test]
fn import_fails_if_the_source_is_unreachable() {
    let target = start_fast_engine();
    let body = Import {
        source: "http://127.0.0.1:9".to_owned(),
        request_id: "a".to_owned(),
    };
    assert_eq!(
        post(target.address(), "/v1/kv/import", &body)
            .status()
            .as_u16(),
        502
    );
}

#[test]
fn a_freeze_affects_open_streams_only() {
    let engine = start_fast_engine();
    let address = engine.address();
    let response = attohttpc::post(format!("http://{address}/v1/completions"))
        .read_timeout(Duration::from_secs(1))
        .json(&completion("a", "prompt", 1_000))
        .expect("request body should serialise")
        .send()
        .expect("request should get a response");
    let mut stream = Stream::from_response(response);
    assert!(matches!(stream.next_event(), Item::Token(_)));
    engine.set_faults(Faults {
        freeze: true,
        ..Faults::default()
    });
    let (frozen, finish) = stream.read_to_end();
    assert_eq!(finish, None);
    let from = frozen.len() as u32 + 1;
    let (chunks, finish) = Stream::reattach(address, "a", from).read_to_end();
    assert!(finish.is_some());
    assert_tokens("prompt", from, &chunks);
    assert_eq!(from + chunks.len() as u32, 1_000);
}

#[test]
fn failed_requests_run_or_not_as_the_fault_says() {
    let engine = start_fast_engine();
    let address = engine.address();
    engine.set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    let refused = post(address, "/v1/completions", &completion("a", "prompt", 1));
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["x-not-run"], "true");
    engine.set_faults(Faults {
        fail_before: 1,
        ..Faults::default()
    });
    assert!(try_post(address, "/v1/completions", &completion("b", "prompt", 1)).is_err());
    assert!(engine.record().is_empty());
    engine.set_faults(Faults {
        fail_after: 1,
        ..Faults::default()
    });
    assert!(try_post(address, "/v1/completions", &completion("c", "prompt", 1)).is_err());
    assert_eq!(engine.record().len(), 1);
    assert_eq!(Stream::reattach(address, "c", 0).read_to_end().0.len(), 1);
    assert_eq!(get(address, "/v1/streams/b").status().as_u16(), 404);
}

#[test]
fn no_tokens_are_generated_during_a_stall() {
    let engine = start_fast_engine();
    let mut stream = Stream::open(engine.address(), &completion("a", "prompt", 100_000));
    stream.next_event();
    engine.set_faults(Faults {
        stall: true,
        ..Faults::default()
    });
    while stream.next_item() != Item::Comment {}
    engine.set_faults(Faults::default());
    assert!(matches!(stream.next_event(), Item::Token(_)));
}

//! Traces: their file, their seeds, their shapes.

use bench::trace::{Trace, make};
use proptest::prelude::*;
use schema::trace::Shape;

fn shapes() -> impl Strategy<Value = Shape> {
    prop_oneof![Just(Shape::Archive), Just(Shape::Thistlewood)]
}

proptest! {
    #[test]
    fn a_trace_survives_its_file(shape in shapes(), seed: u64) {
        let trace = make(shape, seed, 5, 10.0);
        let text = trace.text().expect("a text");
        prop_assert_eq!(Trace::parse(&text).expect("a trace"), trace);
    }

    #[test]
    fn the_same_seed_gives_the_same_trace(shape in shapes(), seed: u64) {
        let trace = make(shape, seed, 5, 10.0);
        prop_assert_eq!(&trace, &make(shape, seed, 5, 10.0));
        prop_assert_ne!(&trace.calls, &make(shape, seed ^ 1, 5, 10.0).calls);
    }

    #[test]
    fn calls_come_in_order_and_within_the_time(shape in shapes(), seed: u64) {
        let trace = make(shape, seed, 5, 10.0);
        prop_assert!(trace.calls.is_sorted_by_key(|call| call.at_ms));
        prop_assert!(trace.calls.iter().all(|call| call.at_ms < 5_000));
    }
}

#[test]
fn the_mean_rate_is_the_one_asked_for() {
    for shape in [Shape::Archive, Shape::Thistlewood] {
        let trace = make(shape, 1, 400, 20.0);
        let rate = trace.calls.len() as f64 / 400.0;
        assert!((18.0..22.0).contains(&rate), "{shape}: {rate}");
    }
}

#[test]
fn a_call_of_an_unknown_class_is_refused() {
    let mut trace = make(Shape::Archive, 1, 5, 10.0);
    trace.calls[0].class = 9;
    let text = trace.text().expect("a text");
    let error = Trace::parse(&text).expect_err("no such class");
    assert!(error.to_string().contains("line 2"), "{error}");
}

#[test]
fn a_broken_line_is_named() {
    let trace = make(Shape::Archive, 1, 5, 10.0);
    let text = trace.text().expect("a text") + "{\n";
    let error = Trace::parse(&text).expect_err("a broken line");
    let line = format!("line {}", trace.calls.len() + 2);
    assert!(error.to_string().contains(&line), "{error}");
}

#[test]
fn bookings_may_not_run_twice() {
    for shape in [Shape::Archive, Shape::Thistlewood] {
        let trace = make(shape, 1, 60, 20.0);
        let mut bookings = trace.calls.iter().filter(|call| call.output == 0);
        assert!(bookings.clone().count() > 0, "{shape}");
        assert!(
            bookings.all(|call| !trace.class(call).idempotent),
            "{shape}"
        );
    }
}

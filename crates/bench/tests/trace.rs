//! Traces: file format, seeds and call distribution.

use bench::trace::{Trace, generate};
use proptest::prelude::*;
use schema::trace::Shape;

fn shapes() -> impl Strategy<Value = Shape> {
    prop_oneof![Just(Shape::Archive), Just(Shape::Thistlewood)]
}

proptest! {
    #[test]
    fn a_trace_round_trips_through_its_file_format(shape in shapes(), seed: u64) {
        let trace = generate(shape, seed, 5, 10.0);
        let text = trace.text().expect("trace must serialize");
        prop_assert_eq!(Trace::parse(&text).expect("trace must parse"), trace);
    }

    #[test]
    fn the_same_seed_gives_the_same_trace(shape in shapes(), seed: u64) {
        let trace = generate(shape, seed, 5, 10.0);
        prop_assert_eq!(&trace, &generate(shape, seed, 5, 10.0));
        prop_assert_ne!(&trace.calls, &generate(shape, seed ^ 1, 5, 10.0).calls);
    }

    #[test]
    fn calls_are_sorted_and_within_the_duration(shape in shapes(), seed: u64) {
        let trace = generate(shape, seed, 5, 10.0);
        prop_assert!(trace.calls.is_sorted_by_key(|call| call.at_ms));
        prop_assert!(trace.calls.iter().all(|call| call.at_ms < 5_000));
    }
}

#[test]
fn the_mean_rate_is_the_requested_one() {
    for shape in [Shape::Archive, Shape::Thistlewood] {
        let trace = generate(shape, 1, 400, 20.0);
        let rate = trace.calls.len() as f64 / 400.0;
        assert!((18.0..22.0).contains(&rate), "{shape}: {rate}");
    }
}

#[test]
fn a_call_of_an_unknown_class_is_rejected() {
    let mut trace = generate(Shape::Archive, 1, 5, 10.0);
    trace.calls[0].class = 9;
    let text = trace.text().expect("trace must serialize");
    let error = Trace::parse(&text).expect_err("unknown class must be rejected");
    assert!(error.to_string().contains("line 2"), "{error}");
}

#[test]
fn the_error_names_an_invalid_line() {
    let trace = generate(Shape::Archive, 1, 5, 10.0);
    let text = trace.text().expect("trace must serialize") + "{\n";
    let error = Trace::parse(&text).expect_err("invalid line must be rejected");
    let line = format!("line {}", trace.calls.len() + 2);
    assert!(error.to_string().contains(&line), "{error}");
}

#[test]
fn bookings_are_not_idempotent() {
    for shape in [Shape::Archive, Shape::Thistlewood] {
        let trace = generate(shape, 1, 60, 20.0);
        let mut bookings = trace.calls.iter().filter(|call| call.output == 0);
        assert!(bookings.clone().count() > 0, "{shape}");
        assert!(
            bookings.all(|call| !trace.class(call).idempotent),
            "{shape}"
        );
    }
}

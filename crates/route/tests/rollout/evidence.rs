//! Evidence is summed and sent without a change of its counts, and its size is bounded.

use proptest::prelude::*;
use route::rollout::{Evidence, Sample};

type Response = (u32, bool, u64, u8, bool, f64);

fn response() -> impl Strategy<Value = Response> {
    (
        0u32..200,
        any::<bool>(),
        0u64..5,
        0u8..20,
        any::<bool>(),
        0.0..20.0,
    )
}

fn evidence(responses: &[Response]) -> Evidence {
    let mut evidence = Evidence::new();
    for (second, is_target, route, vm, is_failed, ratio) in responses {
        let sample = Sample {
            vm: &vm.to_string(),
            is_failed: *is_failed,
            ratio: Some(*ratio),
        };
        evidence.record(*second, *is_target, *route, &sample);
    }
    evidence
}

proptest! {
    /// daemons that add the same reports in another order decide the same
    #[test]
    fn sum_does_not_depend_on_the_order(
        responses in prop::collection::vec(response(), 0..60),
        split in 0usize..60,
    ) {
        let (first, second) = responses.split_at(split.min(responses.len()));
        let mut forward = evidence(first);
        forward.add(&evidence(second));
        let mut backward = evidence(second);
        backward.add(&evidence(first));
        prop_assert_eq!(&forward, &backward);
        prop_assert_eq!(&forward, &evidence(&responses));
    }

    #[test]
    fn message_is_read_as_it_was_written(responses in prop::collection::vec(response(), 0..60)) {
        let evidence = evidence(&responses);
        let text = serde_json::to_string(&evidence).expect("text");
        prop_assert_eq!(serde_json::from_str::<Evidence>(&text).expect("evidence"), evidence);
    }

    /// no text of a peer causes a panic
    #[test]
    fn any_text_is_read_or_refused(text in "[A-Za-z0-9+/]{0,80}") {
        let _ = Evidence::try_from(text);
    }

    /// a report of the latest seconds brings a peer's copy up to date
    #[test]
    fn part_since_a_second_completes_an_older_copy(
        before in prop::collection::vec(response(), 0..40),
        after in prop::collection::vec(response(), 0..40),
        last in 20u32..400,
    ) {
        let at = |responses: &[Response], first: u32, seconds: u32| -> Vec<Response> {
            let moved = responses.iter().map(|response| {
                let (second, is_target, route, vm, is_failed, ratio) = *response;
                (first + second % seconds, is_target, route, vm, is_failed, ratio)
            });
            moved.collect()
        };
        let mut own = evidence(&at(&before, 0, last + 1));
        let mut copy = own.clone();
        own.add(&evidence(&at(&after, last - 2, 5)));
        copy.replace(&own.since(last.saturating_sub(2)));
        prop_assert_eq!(copy, own);
    }
}

/// a service with many routes in a roll-out of an hour would otherwise fill reports and memory
#[test]
fn size_is_bounded() {
    let responses: Vec<Response> = (0..100_000u32)
        .map(|number| {
            (
                number / 28,
                number % 2 == 0,
                u64::from(number % 251),
                number as u8,
                false,
                1.0,
            )
        })
        .collect();
    let evidence = evidence(&responses);
    assert!(evidence.len() <= 6144, "{} cells", evidence.len());
    let text = String::from(evidence);
    assert!(text.len() < 128 * 1024, "{} bytes", text.len());
}

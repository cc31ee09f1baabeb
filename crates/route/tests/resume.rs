//! Migration of streams off a VM that received a preemption notice.

use std::time::Duration;

use proptest::prelude::*;
use route::resume::{Kv, Plan, Stream, Successor, assign, plan};

const STEP: Duration = Duration::from_millis(30);

fn successor() -> Successor {
    Successor {
        queue: Duration::ZERO,
        prefill: Duration::from_micros(250),
        step: STEP,
        slots: 16,
        streams: 0,
        crosses_link: false,
    }
}

fn stream(remaining_tokens: u32) -> Stream {
    Stream {
        generated_tokens: 100,
        remaining_tokens,
        step: STEP,
    }
}

fn kv(bytes: u64) -> Kv {
    Kv {
        bytes,
        bytes_per_second: 1_000_000_000,
        tokens: 8000,
    }
}

#[test]
fn stream_about_to_end_finishes() {
    let time_left = Duration::from_secs(30);
    assert_eq!(
        plan(&stream(100), time_left, &kv(1), &successor()),
        Plan::Finish
    );
}

#[test]
fn long_stream_is_exported_if_faster_than_a_prefill() {
    let time_left = Duration::from_secs(30);
    let small = kv(500_000_000);
    assert_eq!(
        plan(&stream(5000), time_left, &small, &successor()),
        Plan::Export
    );
    let large = kv(5_000_000_000);
    assert_eq!(
        plan(&stream(5000), time_left, &large, &successor()),
        Plan::Resume
    );
}

#[test]
fn cache_is_not_exported_across_the_link() {
    let remote = Successor {
        crosses_link: true,
        ..successor()
    };
    let time_left = Duration::from_secs(30);
    assert_eq!(
        plan(&stream(5000), time_left, &kv(1000), &remote),
        Plan::Resume
    );
}

proptest! {
    #[test]
    fn plans_fit_into_the_time_left(
        remaining_tokens in 0u32..5000,
        left_ms in 0u64..60_000,
        bytes in 0u64..20_000_000_000,
    ) {
        let time_left = Duration::from_millis(left_ms);
        let kv = kv(bytes);
        match plan(&stream(remaining_tokens), time_left, &kv, &successor()) {
            Plan::Finish => {
                prop_assert!(remaining_tokens == 0 || STEP * remaining_tokens <= time_left);
            }
            Plan::Export => prop_assert!(route::resume::export_time(&kv) < time_left),
            Plan::Resume => (),
        }
    }

    #[test]
    fn streams_of_one_vm_are_spread_evenly(streams in 1usize..64, vms in 1usize..12) {
        let successors = vec![successor(); vms];
        let chosen = assign(&vec![1000; streams], &successors);
        prop_assert_eq!(chosen.len(), streams);
        let counts = (0..vms).map(|vm| chosen.iter().filter(|chosen| **chosen == vm).count());
        let largest = counts.max().unwrap_or(0);
        prop_assert!(largest <= streams.div_ceil(vms));
    }
}

#[test]
fn successor_across_the_link_is_the_last_choice() {
    let local = Successor {
        queue: Duration::from_secs(1),
        ..successor()
    };
    let remote = Successor {
        crosses_link: true,
        ..successor()
    };
    assert_eq!(assign(&[100, 100, 100], &[remote, local]), [1, 1, 1]);
    assert!(assign(&[100], &[]).is_empty());
}

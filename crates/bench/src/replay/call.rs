//! Prepares the calls of a trace for sending.

use std::time::Duration;

use macro_rules_attribute::apply;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::data;
use schema::trace::Call;
use standin::engine::prompt_hash;

use crate::client::Request;
use crate::trace::Trace;

/// a call with its body, time and daemons
#[apply(data!)]
pub struct Prepared {
    /// arrival time after the start of the replay
    pub at: Duration,
    /// index of its class
    pub class: usize,
    /// group whose prefix its prompt starts with
    pub group: u32,
    /// name of its workspace
    pub workspace: String,
    /// index of the daemon that it is sent to
    pub daemon: usize,
    /// index of the daemon that a repeat is sent to
    pub repeat_daemon: usize,
    /// target for the first token
    pub first_token: Duration,
    /// it is sent twice under one idempotency key
    pub repeated: bool,
    /// request body
    pub body: Body,
}

/// request body of a call
#[apply(data!)]
pub enum Body {
    /// a completion of a model service
    Model {
        /// request for the completion
        request: Request,
        /// hash of its prompt, as in the engines' records
        hash: u64,
    },
    /// a call of a plain service that must not run twice
    Booking {
        /// path below `/services/`
        path: String,
        /// idempotency key, unique in the replay
        key: String,
        /// text that is sent
        text: String,
    },
}

/// prepares all calls of a trace; `seed` determines the words and daemons
pub fn prepare(trace: &Trace, seed: u64, daemons: usize) -> Vec<Prepared> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut prepared = Vec::with_capacity(trace.calls.len());
    for (number, call) in trace.calls.iter().enumerate() {
        let class = trace.class(call);
        let body = if call.output == 0 {
            Body::Booking {
                path: format!("{}/bookings", class.service),
                key: format!("{}-{seed}-{number}", class.name),
                text: private_words(call, seed, number),
            }
        } else {
            let request = Request::new(&class.service, &prompt(call, seed, number), call.output)
                .priority(class.priority)
                .deadline(Duration::from_millis(class.deadline_ms));
            let hash = prompt_hash(&request.engine_prompt());
            Body::Model { request, hash }
        };
        prepared.push(Prepared {
            at: Duration::from_millis(call.at_ms.into()),
            class: call.class as usize,
            group: call.group,
            workspace: trace.header.workspaces[call.workspace as usize].clone(),
            daemon: rng.random_range(0..daemons),
            repeat_daemon: rng.random_range(0..daemons),
            first_token: Duration::from_millis(class.first_token_ms.into()),
            repeated: call.repeated,
            body,
        });
    }
    prepared
}

/// the prefix of the call's group, followed by words that no other call has
fn prompt(call: &Call, seed: u64, number: usize) -> String {
    let group = call.group;
    let shared: Vec<String> = (0..call.shared)
        .map(|word| format!("s{seed}g{group}w{word}"))
        .collect();
    format!("{} {}", shared.join(" "), private_words(call, seed, number))
}

fn private_words(call: &Call, seed: u64, number: usize) -> String {
    let words: Vec<String> = (0..call.private)
        .map(|word| format!("s{seed}c{number}w{word}"))
        .collect();
    words.join(" ")
}

//! A call of a trace, made ready to be sent.

use std::time::Duration;

use macro_rules_attribute::apply;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::data;
use schema::trace::Call;
use standin::engine::prompt_hash;

use crate::client::Ask;
use crate::trace::Trace;

/// a call, ready to be sent
#[apply(data!)]
pub struct Ready {
    /// time of arrival after the start
    pub at: Duration,
    /// place of its class
    pub class: usize,
    /// group whose words its prompt begins with
    pub group: u32,
    /// name of its workspace
    pub workspace: String,
    /// daemon that it is sent to
    pub daemon: usize,
    /// daemon that a repetition is sent to
    pub repeat_daemon: usize,
    /// target for the first token
    pub first_token: Duration,
    /// sent again under its key
    pub repeated: bool,
    /// what is asked for
    pub body: Body,
}

/// what a call asks for
#[apply(data!)]
pub enum Body {
    /// a completion
    Model {
        /// the completion
        ask: Ask,
        /// hash of its prompt, as records show it
        hash: u64,
    },
    /// a call of a plain service that must not run twice
    Booking {
        /// path below the services
        path: String,
        /// idempotency key, unlike all others
        key: String,
        /// what is sent
        text: String,
    },
}

/// makes all calls of a trace ready; the seed draws words and daemons
pub fn prepare(trace: &Trace, seed: u64, daemons: usize) -> Vec<Ready> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ready = Vec::with_capacity(trace.calls.len());
    for (number, call) in trace.calls.iter().enumerate() {
        let class = trace.class(call);
        let body = if call.output == 0 {
            Body::Booking {
                path: format!("{}/bookings", class.service),
                key: format!("{}-{seed}-{number}", class.name),
                text: private_words(call, seed, number),
            }
        } else {
            let ask = Ask::new(&class.service, &prompt(call, seed, number), call.output)
                .priority(class.priority)
                .deadline(Duration::from_millis(class.deadline_ms));
            let hash = prompt_hash(&ask.engine_prompt());
            Body::Model { ask, hash }
        };
        ready.push(Ready {
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
    ready
}

/// the words of the group, then words that no other call has
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

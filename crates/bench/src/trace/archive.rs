//! Workload of the Archive deployment: long summaries of low priority, short look-ups in
//! the same transcripts, few dedications, and weekends on which half of the calls share a
//! few prompts.

use std::ops::Range;

use schema::trace::Class;

use super::arrival::Phase;
use super::generate::Workload;
use super::sampler::Kind;

const MODEL: &str = "homily-models";
const DESK: &str = "archive-desk";

/// workload of the Archive
pub fn workload() -> Workload {
    Workload {
        workspaces: vec![
            "temple-offices",
            "congregations",
            "researchers",
            "priests",
            "visitors",
        ],
        kinds: vec![
            model("summary", (3, 5_000), 25.0, 120..200),
            model("outline", (4, 3_000), 15.0, 60..100),
            model("lookup", (6, 460), 55.0, 8..20),
            dedication(),
        ],
        groups: 24,
        shared: 1_200..2_400,
        phases: vec![
            Phase {
                fraction: 0.4,
                weight: 1.0,
            },
            Phase {
                fraction: 0.3,
                weight: 1.6,
            },
            Phase {
                fraction: 0.3,
                weight: 0.8,
            },
        ],
        hot_phase: Some(1),
    }
}

/// a call kind of the model service; `first_token_ms` is the target for the first token
fn model(
    name: &str,
    (priority, first_token_ms): (u8, u32),
    weight: f64,
    output: Range<u32>,
) -> Kind {
    Kind {
        class: Class {
            name: name.to_owned(),
            service: MODEL.to_owned(),
            priority,
            first_token_ms,
            deadline_ms: 60_000,
            idempotent: true,
        },
        weight,
        private: 10..40,
        output,
        repeated: 0.0,
    }
}

fn dedication() -> Kind {
    Kind {
        class: Class {
            name: "dedication".to_owned(),
            service: DESK.to_owned(),
            priority: 8,
            first_token_ms: 1_000,
            deadline_ms: 20_000,
            idempotent: false,
        },
        weight: 5.0,
        private: 12..30,
        output: 0..0,
        repeated: 0.2,
    }
}

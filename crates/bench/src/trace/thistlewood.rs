//! Workload of the Thistlewood deployment: short interactive completions, two peaks on a
//! tour day, and bookings with deposits at the desk.

use std::ops::Range;

use schema::trace::Class;

use super::arrival::Phase;
use super::generate::Workload;
use super::sampler::Kind;

const MODEL: &str = "tasting-assistant";
const DESK: &str = "booking-desk";

/// workload of Thistlewood
pub fn workload() -> Workload {
    let phase = |fraction, weight| Phase { fraction, weight };
    Workload {
        workspaces: vec!["guests", "still-house", "tours", "agencies", "staff"],
        kinds: vec![
            model("question", (6, 460), 58.0, 15..40),
            model("itinerary", (5, 460), 20.0, 50..90),
            model("guide", (4, 1_000), 10.0, 80..120),
            deposit(),
        ],
        groups: 16,
        shared: 300..700,
        phases: vec![
            phase(0.25, 0.6),
            phase(0.2, 2.0),
            phase(0.2, 0.6),
            phase(0.2, 1.6),
            phase(0.15, 0.5),
        ],
        hot_phase: None,
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
            deadline_ms: 20_000,
            idempotent: true,
        },
        weight,
        private: 10..80,
        output,
        repeated: 0.0,
    }
}

fn deposit() -> Kind {
    Kind {
        class: Class {
            name: "deposit".to_owned(),
            service: DESK.to_owned(),
            priority: 8,
            first_token_ms: 1_000,
            deadline_ms: 10_000,
            idempotent: false,
        },
        weight: 12.0,
        private: 8..20,
        output: 0..0,
        repeated: 0.2,
    }
}

//! Whether a request may be sent again, and how often over all daemons.

use std::time::Duration;

use proptest::prelude::*;
use route::retry::{Allowance, FailedAttempt, RepeatLimit, Resend, may_resend};
use route::verdict::Progress::{self, Answered, Refused, Sent, Unsent};
use tokio::time::Instant;

#[test]
fn request_is_sent_again_as_its_progress_and_limits_allow() {
    // progress, repeatable, VMs sent to, VMs not reached, maximum VMs sent to, expected
    let cases: [(Progress, bool, u32, u32, u32, Resend); 13] = [
        (Unsent, false, 0, 1, 1, Resend::Free),
        (Unsent, false, 1, 1, 1, Resend::Free),
        (Unsent, true, 0, 4, 3, Resend::Never),
        (Refused, false, 1, 0, 1, Resend::Never),
        (Refused, false, 1, 0, 2, Resend::IfAllowance),
        (Refused, true, 2, 0, 2, Resend::Never),
        (Sent, false, 1, 0, 3, Resend::Never),
        (Sent, true, 1, 0, 2, Resend::IfAllowance),
        (Sent, true, 2, 0, 2, Resend::Never),
        (Answered, false, 1, 0, 3, Resend::Never),
        (Answered, true, 1, 0, 2, Resend::IfAllowance),
        (Answered, true, 2, 0, 2, Resend::Never),
        (Sent, true, 1, 3, 2, Resend::IfAllowance),
    ];
    for (progress, repeatable, sent, unsent, max_sent, expected) in cases {
        let failed = FailedAttempt {
            progress,
            repeatable,
            sent,
            unsent,
            max_sent,
        };
        assert_eq!(may_resend(&failed), expected, "{failed:?}");
    }
}

const LIMIT: RepeatLimit = RepeatLimit {
    ratio: 0.2,
    window: Duration::from_secs(10),
    burst: 56.0,
};

proptest! {
    /// over all daemons, no window has more repeats than the limit allows
    #[test]
    fn repeats_stay_within_the_limit(gaps_ms in prop::collection::vec(0u64..40, 200..600)) {
        const DAEMONS: usize = 8;
        let start = Instant::now();
        let mut allowances = vec![Allowance::new(LIMIT); DAEMONS];
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now = start;
        for (index, gap) in gaps_ms.iter().enumerate() {
            now += Duration::from_millis(*gap);
            let allowance = &mut allowances[index % DAEMONS];
            allowance.record_request(now);
            requests.push(now);
            for _ in 0..3 {
                if allowance.try_take(DAEMONS, now) {
                    repeats.push(now);
                }
            }
        }
        for end in &repeats {
            let within = |at: &&Instant| **at <= *end && *end - **at <= LIMIT.window;
            let requested = requests.iter().filter(within).count() as f64;
            let repeated = repeats.iter().filter(within).count() as f64;
            prop_assert!(repeated <= requested * LIMIT.ratio + LIMIT.burst);
        }
    }
}

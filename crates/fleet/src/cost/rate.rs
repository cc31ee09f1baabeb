//! Cost of VMs per generated token.

use std::time::Duration;

use macro_rules_attribute::apply;

const HOUR_SECONDS: f64 = 3_600.0;

/// tokens that the price refers to
const PRICED_TOKENS: f64 = 1_000.0;

/// cost of VMs and number of tokens that they generated
#[apply(schema::data!)]
#[derive(Default)]
pub struct Cost {
    /// cost, millionths of the currency
    pub micros: f64,
    /// generated tokens
    pub tokens: f64,
}

impl Cost {
    /// adds the cost of a VM that ran for `time`
    pub fn add_vm_time(&mut self, micros_per_hour: u64, time: Duration) {
        self.micros += micros_per_hour as f64 * time.as_secs_f64() / HOUR_SECONDS;
    }

    /// adds the tokens generated in `time`
    pub fn add_tokens(&mut self, tokens_per_second: f64, time: Duration) {
        self.tokens += tokens_per_second * time.as_secs_f64();
    }

    /// cost of a thousand tokens, millionths of the currency; `None` without tokens
    #[must_use]
    pub fn per_thousand_tokens(&self) -> Option<f64> {
        (self.tokens > 0.0).then(|| self.micros * PRICED_TOKENS / self.tokens)
    }
}

/// cost of a thousand tokens of a VM with a constant token rate, millionths of the currency;
/// `None` for a rate of 0
#[must_use]
pub fn per_thousand_tokens(micros_per_hour: u64, tokens_per_second: f64) -> Option<f64> {
    let mut cost = Cost::default();
    cost.add_vm_time(micros_per_hour, Duration::from_secs(1));
    cost.add_tokens(tokens_per_second, Duration::from_secs(1));
    cost.per_thousand_tokens()
}

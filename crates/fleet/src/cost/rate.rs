//! Prices over time, and tokens.

use std::time::Duration;

use macro_rules_attribute::apply;

/// seconds of the hour that prices are for
const HOUR_SECONDS: f64 = 3_600.0;

/// tokens that a price is given for
const THOUSAND: f64 = 1_000.0;

/// what VMs cost and what they generated over some time
#[apply(schema::data!)]
#[derive(Default)]
pub struct Bill {
    /// millionths of the currency
    pub micros: f64,
    /// tokens generated
    pub tokens: f64,
}

impl Bill {
    /// adds VMs that ran for some time at a price an hour
    pub fn charge(&mut self, micros_per_hour: u64, time: Duration) {
        self.micros += micros_per_hour as f64 * time.as_secs_f64() / HOUR_SECONDS;
    }

    /// adds tokens that were generated at a rate a second
    pub fn generate(&mut self, tokens_per_second: f64, time: Duration) {
        self.tokens += tokens_per_second * time.as_secs_f64();
    }

    /// millionths of the currency for a thousand tokens; `None` if there were none
    #[must_use]
    pub fn per_thousand(&self) -> Option<f64> {
        (self.tokens > 0.0).then(|| self.micros * THOUSAND / self.tokens)
    }
}

/// millionths of the currency for a thousand tokens of a VM that generates at a steady rate
#[must_use]
pub fn per_thousand(micros_per_hour: u64, tokens_per_second: f64) -> Option<f64> {
    let mut bill = Bill::default();
    bill.charge(micros_per_hour, Duration::from_secs(1));
    bill.generate(tokens_per_second, Duration::from_secs(1));
    bill.per_thousand()
}

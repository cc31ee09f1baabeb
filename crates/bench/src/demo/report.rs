//! Checks of the demo and their table.

use macro_rules_attribute::apply;
use schema::data;

/// width of the column `expected`, characters
const EXPECTED_WIDTH: usize = 56;

/// one check, a row of the table
#[apply(data!)]
pub struct Check {
    /// expected behaviour
    pub expected: String,
    /// observed behaviour
    pub seen: String,
    /// true if the expectation held
    pub held: bool,
}

/// all checks, in order
#[derive(Clone, Debug, Default)]
pub struct Report {
    checks: Vec<Check>,
}

impl Report {
    /// adds a check and prints whether it held
    pub fn add(&mut self, expected: &str, seen: impl Into<String>, held: bool) {
        let check = Check {
            expected: expected.to_owned(),
            seen: seen.into(),
            held,
        };
        println!(
            "  {}: {}",
            if check.held { "held" } else { "FAILED" },
            check.expected
        );
        self.checks.push(check);
    }

    /// true if all checks held
    pub fn held(&self) -> bool {
        self.checks.iter().all(|check| check.held)
    }

    /// prints the table
    pub fn print(&self) {
        println!();
        println!("{:<EXPECTED_WIDTH$}  {:<6}  seen", "expected", "held");
        for check in &self.checks {
            let held = if check.held { "yes" } else { "NO" };
            println!(
                "{:<EXPECTED_WIDTH$}  {held:<6}  {}",
                check.expected, check.seen
            );
        }
    }
}

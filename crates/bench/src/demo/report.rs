//! What the demo saw.

use macro_rules_attribute::apply;
use schema::data;

/// width of the column with what was expected
const EXPECTED_WIDTH: usize = 56;

/// one line of the table
#[apply(data!)]
pub struct Line {
    /// what should hold
    pub expected: String,
    /// what was seen
    pub seen: String,
    /// it held
    pub held: bool,
}

/// all lines
#[derive(Clone, Debug, Default)]
pub struct Report {
    lines: Vec<Line>,
}

impl Report {
    /// adds a line
    pub fn add(&mut self, expected: &str, seen: impl Into<String>, held: bool) {
        let line = Line {
            expected: expected.to_owned(),
            seen: seen.into(),
            held,
        };
        println!(
            "  {}: {}",
            if line.held { "held" } else { "FAILED" },
            line.expected
        );
        self.lines.push(line);
    }

    /// true if all held
    pub fn held(&self) -> bool {
        self.lines.iter().all(|line| line.held)
    }

    /// prints the table
    pub fn print(&self) {
        println!();
        println!("{:<EXPECTED_WIDTH$}  {:<6}  seen", "expected", "held");
        for line in &self.lines {
            let held = if line.held { "yes" } else { "NO" };
            println!(
                "{:<EXPECTED_WIDTH$}  {held:<6}  {}",
                line.expected, line.seen
            );
        }
    }
}

//! Collects the faults of one document.

use std::collections::BTreeMap;
use std::fmt::Display;

use super::fault::Fault;
use super::rule::{self, Rule};

/// the faults found so far
#[derive(Debug, Default)]
pub(super) struct Collector {
    faults: Vec<Fault>,
}

impl Collector {
    /// adds a fault
    pub(super) fn add(&mut self, path: &str, problem: impl Display, allowed: impl Display) {
        self.faults.push(Fault {
            path: path.to_owned(),
            problem: problem.to_string(),
            allowed: allowed.to_string(),
        });
    }

    /// requires that `text` satisfies the rule
    pub(super) fn check_text(&mut self, path: &str, text: &str, rule: &Rule) {
        if !(rule.accepts)(text) {
            self.add(path, format_args!("{text:?}"), rule.allowed);
        }
    }

    /// requires that a number is not zero
    pub(super) fn check_positive(&mut self, path: &str, number: u64) {
        if number == 0 {
            self.add(path, 0, "1 or more");
        }
    }

    /// requires that a number is within `min..=max`
    pub(super) fn check_range(&mut self, path: &str, number: u64, min: u64, max: u64) {
        if !(min..=max).contains(&number) {
            self.add(path, number, format_args!("{min} to {max}"));
        }
    }

    /// adds a fault for each repetition of a text; `path_of` returns the path of an index
    pub(super) fn check_unique<'a>(
        &mut self,
        texts: impl Iterator<Item = &'a str>,
        path_of: impl Fn(usize) -> String,
    ) {
        let mut seen = BTreeMap::new();
        for (index, text) in texts.enumerate() {
            if let Some(first) = seen.get(text) {
                let problem = format!("{text:?} is already used at {}", path_of(*first));
                self.add(&path_of(index), problem, "a unique value");
                continue;
            }
            seen.insert(text, index);
        }
    }

    /// requires that `name` is among the declared names
    pub(super) fn check_reference(&mut self, path: &str, name: &str, declared: &[&str]) {
        if !declared.contains(&name) {
            self.add(
                path,
                format_args!("{name:?} is not declared"),
                rule::list_names(declared),
            );
        }
    }

    /// returns the faults as an error if there are any
    pub(super) fn into_result(self) -> Result<(), Vec<Fault>> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(self.faults)
    }
}

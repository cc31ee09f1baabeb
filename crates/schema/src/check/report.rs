//! Collects the faults of one document.

use std::collections::BTreeMap;
use std::fmt::Display;

use super::fault::Fault;
use super::rule::{self, Rule};

/// the faults found so far
#[derive(Debug, Default)]
pub(super) struct Report {
    faults: Vec<Fault>,
}

impl Report {
    /// notes a fault
    pub(super) fn add(&mut self, path: &str, wrong: impl Display, allowed: impl Display) {
        self.faults.push(Fault {
            path: path.to_owned(),
            wrong: wrong.to_string(),
            allowed: allowed.to_string(),
        });
    }

    /// notes a fault if `text` breaks the rule
    pub(super) fn text(&mut self, path: &str, text: &str, rule: &Rule) {
        if !(rule.holds)(text) {
            self.add(path, format_args!("{text:?}"), rule.allowed);
        }
    }

    /// notes a fault if a number is zero
    pub(super) fn positive(&mut self, path: &str, number: u64) {
        if number == 0 {
            self.add(path, 0, "1 or more");
        }
    }

    /// notes a fault if a number lies outside `least..=most`
    pub(super) fn within(&mut self, path: &str, number: u64, least: u64, most: u64) {
        if !(least..=most).contains(&number) {
            self.add(path, number, format_args!("{least} to {most}"));
        }
    }

    /// notes a fault for each text that stood before; `name` gives the path of an index
    pub(super) fn unique<'a>(
        &mut self,
        texts: impl Iterator<Item = &'a str>,
        name: impl Fn(usize) -> String,
    ) {
        let mut seen = BTreeMap::new();
        for (index, text) in texts.enumerate() {
            if let Some(first) = seen.get(text) {
                let wrong = format!("{text:?} stands at {} already", name(*first));
                self.add(&name(index), wrong, "each only once");
                continue;
            }
            seen.insert(text, index);
        }
    }

    /// notes a fault if `text` is not among the known names
    pub(super) fn reference(&mut self, path: &str, text: &str, known: &[&str]) {
        if !known.contains(&text) {
            self.add(
                path,
                format_args!("no {text:?} is declared"),
                rule::list(known),
            );
        }
    }

    /// the outcome
    pub(super) fn finish(self) -> Result<(), Vec<Fault>> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(self.faults)
    }
}

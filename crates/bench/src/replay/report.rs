//! Prints the results of a replay as a table or JSON.

use std::io;

use macro_rules_attribute::apply;
use schema::message;

use super::figures::Times;
use super::{Check, Figures, Output};

/// width of the column with the names of figures
const NAME_WIDTH: usize = 44;

/// width of a policy's column
const FIGURE_WIDTH: usize = 24;

/// width of the column with the expected outcomes
const EXPECTED_WIDTH: usize = 62;

/// maximum of failure reasons printed for a policy
const MAX_REASONS: usize = 8;

/// results of a replay
#[apply(message!)]
pub struct Report {
    /// name of the trace
    pub trace: String,
    /// seed of the replay
    pub seed: u64,
    /// factor on the arrival rate
    pub speed: f64,
    /// injected fault
    pub faults: String,
    /// names of the VMs that failed
    pub failed_vms: Vec<String>,
    /// figures of each policy, baselines first
    pub runs: Vec<Figures>,
    /// expected outcomes, compared with the last policy's figures
    pub checks: Vec<Check>,
}

impl Report {
    /// true if no expected outcome was missed
    pub fn met(&self) -> bool {
        self.checks.iter().all(|check| check.met != Some(false))
    }

    /// prints the report
    pub fn print(&self, output: Output) -> io::Result<()> {
        match output {
            Output::Table => self.print_table(),
            Output::Json => println!("{}", serde_json::to_string_pretty(self)?),
        }
        Ok(())
    }

    fn print_table(&self) {
        println!(
            "trace {}, seed {}, speed {}, faults {} {}",
            self.trace,
            self.seed,
            self.speed,
            self.faults,
            self.failed_vms.join(" ")
        );
        self.print_line("policy", |run| run.policy.clone());
        self.print_line("load average before, after", |run| {
            format!("{:.1}, {:.1}", run.load_average[0], run.load_average[1])
        });
        self.print_ends();
        self.print_times();
        self.print_work();
        for run in &self.runs {
            for (reason, count) in run.reasons.iter().take(MAX_REASONS) {
                println!("{} {count} times: {reason}", run.policy);
            }
        }
        println!();
        println!("{:<EXPECTED_WIDTH$} {:<6} measured", "expected", "met");
        for check in &self.checks {
            let met = match check.met {
                Some(true) => "yes",
                Some(false) => "NO",
                None => "-",
            };
            println!(
                "{:<EXPECTED_WIDTH$} {met:<6} {}",
                check.expected, check.measured
            );
        }
    }

    fn print_ends(&self) {
        self.print_line("calls", |run| run.calls.to_string());
        self.print_line("complete / wrong / interrupted", |run| {
            let ends = &run.ends;
            format!("{} / {} / {}", ends.complete, ends.wrong, ends.interrupted)
        });
        self.print_line("verdict not_run / may_have_run", |run| {
            format!("{} / {}", run.ends.not_run, run.ends.may_have_run)
        });
        self.print_line("attempts per request", |run| {
            format!("{:.3}", run.attempts_per_request)
        });
        self.print_line("reattached to a stream", |run| run.reattached.to_string());
    }

    fn print_times(&self) {
        self.print_line("first token p50/p95/p99, ms", |run| {
            format_times(&run.first_token)
        });
        let classes = self.runs.first().map(|run| &run.first_token_by_class);
        for class in classes.into_iter().flat_map(|classes| classes.keys()) {
            self.print_line(&format!("  {class}"), |run| {
                let times = run.first_token_by_class.get(class);
                times.map(format_times).unwrap_or_default()
            });
        }
        self.print_line("between tokens p50/p95/p99, ms", |run| {
            format_times(&run.between_tokens)
        });
        self.print_line("first tokens within target", |run| {
            format!("{:.3}", run.first_token_attainment)
        });
        self.print_line("times between tokens within target", |run| {
            format!("{:.3}", run.between_tokens_attainment)
        });
        self.print_line("calls that missed a target", |run| {
            format!("{:.3}", run.missed)
        });
        self.print_line("sent late p50/p95/p99, ms", |run| {
            format_times(&run.sent_late)
        });
    }

    fn print_work(&self) {
        self.print_line("generated tokens", |run| run.generated.to_string());
        self.print_line("computed prompt tokens per generated", |run| {
            format!("{:.3}", run.recomputed)
        });
        self.print_line("  of these computed again", |run| {
            format!("{:.3}", run.computed_again)
        });
        self.print_line("cost per 1,000 tokens in target, millionths", |run| {
            format!("{:.1}", run.cost)
        });
        self.print_line("runs / bytes across the link", |run| {
            format!("{} / {}", run.link_runs, run.link_bytes)
        });
        self.print_line("bytes between regions, platform", |run| {
            run.platform_bytes.to_string()
        });
    }

    fn print_line(&self, name: &str, figure: impl Fn(&Figures) -> String) {
        print!("{name:<NAME_WIDTH$}");
        for run in &self.runs {
            print!(" {:>FIGURE_WIDTH$}", figure(run));
        }
        println!();
    }
}

fn format_times(times: &Times) -> String {
    format!("{:.0} / {:.0} / {:.0}", times.p50, times.p95, times.p99)
}

//! Text output of `trace`.

use schema::operator::Trace;

use super::render::Render;
use super::table::Table;

impl Render for Trace {
    fn to_text(&self) -> String {
        let start = self
            .spans
            .iter()
            .map(|span| span.start_us)
            .min()
            .unwrap_or_default();
        let mut table = Table::new(&["AFTER", "TOOK", "DAEMON", "SPAN", "NOTE"]);
        for span in &self.spans {
            table.add_row(&[
                &format_milliseconds(span.start_us - start),
                &format_milliseconds(span.duration_us),
                &span.daemon,
                &span.name,
                &span.note,
            ]);
        }
        let mut text = format!("request {}\n{}", self.id, table.to_text());
        if !self.missing.is_empty() {
            let names = self.missing.join(", ");
            text.push_str(&format!(
                "\nspans may be missing, no response from: {names}"
            ));
        }
        text
    }
}

/// formats microseconds as milliseconds with one decimal
fn format_milliseconds(us: u64) -> String {
    format!("{}.{} ms", us / 1000, us % 1000 / 100)
}

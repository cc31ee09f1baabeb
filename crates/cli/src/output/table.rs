//! Text tables.

/// spaces between columns
const COLUMN_GAP: usize = 2;

/// a table with a header row; each column is as wide as its widest cell
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// creates a table with a header row
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|cell| (*cell).to_owned()).collect();
        Table { rows: vec![header] }
    }

    /// adds a row; an empty cell is shown as `-`
    pub fn add_row(&mut self, cells: &[&str]) {
        let cells = cells
            .iter()
            .map(|cell| {
                if cell.is_empty() {
                    "-".to_owned()
                } else {
                    (*cell).to_owned()
                }
            })
            .collect();
        self.rows.push(cells);
    }

    /// whether there is no row besides the header
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.len() <= 1
    }

    /// formats the table
    #[must_use]
    pub fn to_text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let mut lines = Vec::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(cell);
                let padding = width + COLUMN_GAP - cell.chars().count();
                line.push_str(&" ".repeat(padding));
            }
            lines.push(line.trim_end().to_owned());
        }
        lines.join("\n")
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    }
}

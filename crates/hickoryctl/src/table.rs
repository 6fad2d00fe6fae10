//! Text tables with aligned columns.

use std::fmt;

const COLUMN_SEPARATOR: &str = "  ";

/// A table whose first row is the header.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that has only a header.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        Self { rows: vec![header.map(str::to_owned).to_vec()] }
    }

    /// Appends a row, which must have as many cells as the header.
    pub fn push_row<const N: usize>(&mut self, cells: [&dyn fmt::Display; N]) {
        self.rows.push(cells.iter().map(ToString::to_string).collect());
    }

    fn width(&self, column: usize) -> usize {
        self.rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.rows[0].len()).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
            writeln!(f, "{}", cells.join(COLUMN_SEPARATOR).trim_end())?;
        }
        Ok(())
    }
}

//! Text tables.

use std::fmt;

const GAP: &str = "  ";

/// A table with a header, printed in aligned columns.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table without rows.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        Self { rows: vec![header.map(str::to_owned).to_vec()] }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [&dyn fmt::Display; N]) {
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
            writeln!(f, "{}", cells.join(GAP).trim_end())?;
        }
        Ok(())
    }
}
